"""Runs a call: chooses a target, starts and sends the call, and records its end."""

import itertools
from typing import Protocol, final

import msgspec
import trio

from goldcrestvane_common.errors import (
    Outcome,
    ServiceError,
    Unavailable,
    WrongIncarnation,
)
from goldcrestvane_common.ids import CallId, InstanceId, ServiceId, hash_text
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    CancelCallRequest,
    DispatchRequest,
    DispatchResponse,
    Instance,
)
from goldcrestvane_common.paths import (
    DISPATCH_CANCEL_PATH,
)
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.owner.budgets import bound_prompt_tokens
from goldcrestvane_daemon.owner.call_start import CallStarter, build_rollback
from goldcrestvane_daemon.owner.calls import Call, build_dispatch
from goldcrestvane_daemon.owner.metrics import OwnerMetrics
from goldcrestvane_daemon.owner.outcomes import (
    NOT_RUN_OUTCOMES,
    build_answered_call_ended,
    build_call_ended,
    finalize_error,
)
from goldcrestvane_daemon.owner.records import CallStarted
from goldcrestvane_daemon.owner.refusals import (
    build_program_ended,
    build_wrong_owner,
)
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)
from goldcrestvane_daemon.owner.state import CachedPrefix
from goldcrestvane_daemon.owner.suspects import SuspectGuard
from goldcrestvane_daemon.owner.target_connector import TargetConnector, TargetDirectory
from goldcrestvane_daemon.placement import Attempt

MAX_ATTEMPTS = 3

logger = get_logger("calls")


class Selector(Protocol):
    """Chooses targets, based on the outcomes of earlier calls."""

    def choose(
        self,
        request: DispatchRequest,
        *,
        excluded: set[InstanceId],
        cache_weight: float,
        cached: CachedPrefix | None,
    ) -> tuple[Instance, Attempt]:
        """Returns the target for a call.

        Raises:
            Unavailable: No target can take the call.
        """
        ...

    def record_answer(self, attempt: Attempt, answer: DispatchResponse) -> None:
        """Records an attempt that returned a complete answer."""
        ...

    def record_error(self, attempt: Attempt, error: BaseException) -> None:
        """Records an attempt that ended without an answer."""
        ...

    def count_call(self, service: ServiceId) -> None:
        """Counts the first attempt of a call towards the retry budget."""
        ...

    def try_acquire_retry(self, service: ServiceId) -> bool:
        """Returns whether the retry budget allows another attempt."""
        ...


@final
class CallRunner:
    """Runs calls of owned shards."""

    def __init__(
        self,
        *,
        connector: TargetConnector,
        directory: TargetDirectory,
        selector: Selector,
        starter: CallStarter,
        suspects: SuspectGuard,
        metrics: OwnerMetrics,
    ) -> None:
        self._metrics = metrics
        self._starter = starter
        self._suspects = suspects
        self._connector = connector
        self._directory = directory
        self._selector = selector
        self._attempt_numbers = itertools.count(1)

    async def run(self, shard: OwnedShard, call: Call, execution: Execution) -> None:
        """Runs a call until it ends and records the outcome.

        Errors are reported through the execution.
        """
        key = (call.program.key, call.request.sequence)
        try:
            with execution.scope:
                await self._run_attempts(shard, call, execution)
            if execution.scope.cancelled_caught:
                await self._cancel(shard, call, execution)
            else:
                self._metrics.count_answer(call.request.service)
        except ServiceError as error:
            self._metrics.count_error(call.request.service, error)
            execution.fail(error)
        except Exception:
            logger.exception("call %s of program %s failed", key[1], key[0])
            execution.fail(
                ServiceError("The owner failed to run the call. Report this error.")
            )
        finally:
            shard.executions.pop(key, None)
            shard.notify(call.program.key)

    async def _cancel(
        self, shard: OwnedShard, call: Call, execution: Execution
    ) -> None:
        """Cancels a repeatable call of an ended program, also at its target."""
        started = call.program.started_calls.get(call.request.sequence)
        if started is not None:
            shard.append(build_rollback(call, spent_tokens=started.reserved_tokens))
        execution.fail(build_program_ended(call.program.key))
        target = self._directory.find_instance(execution.target)
        if target is not None:
            await self._connector.send_command(
                target, DISPATCH_CANCEL_PATH, CancelCallRequest(execution.call)
            )

    async def _run_attempts(
        self, shard: OwnedShard, call: Call, execution: Execution
    ) -> None:
        may_have_run = call.request.sequence in call.program.started_calls
        if await self._join_attempt(shard, call, execution):
            return
        self._selector.count_call(call.request.service)
        attempted_targets: set[InstanceId] = set()
        restarted_targets: set[InstanceId] = set()
        attempts = 0
        while True:
            try:
                await self._run_attempt(shard, call, execution, attempted_targets)
                return
            except ServiceError as error:
                may_have_run |= error.call_outcome not in NOT_RUN_OUTCOMES
                if self._may_send_again(
                    shard, call, execution, error, restarted_targets
                ):
                    attempted_targets.discard(execution.target)
                    continue
                attempts += 1
                is_last = attempts == MAX_ATTEMPTS
                if is_last or not self._may_retry(shard, call, execution, error):
                    raise finalize_error(error, may_have_run=may_have_run) from error
                execution.discard_text()

    def _may_send_again(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        error: ServiceError,
        restarted_targets: set[InstanceId],
    ) -> bool:
        """Returns whether only this owner's knowledge of a sidecar was out of date.

        The sidecar has restarted since its incarnation was asked for. The call has not
        reached the target, so sending it again is no retry. Each target has one chance.
        """
        if not isinstance(error, WrongIncarnation):
            return False
        if execution.target in restarted_targets:
            return False
        restarted_targets.add(execution.target)
        return self._is_repeatable(shard, call, execution, error)

    def _may_retry(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        error: ServiceError,
    ) -> bool:
        """Returns whether another attempt is allowed, and counts it."""
        if not self._is_repeatable(shard, call, execution, error):
            return False
        return self._selector.try_acquire_retry(call.request.service)

    def _is_repeatable(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        error: ServiceError,
    ) -> bool:
        is_repeatable = error.call_outcome is Outcome.NOT_RUN or (
            error.call_outcome is Outcome.INCOMPLETE and not call.at_most_once
        )
        is_current = not shard.journal.ownership_lost.is_set() and call.program.is_open
        before_deadline = trio.current_time() < call.deadline
        is_undelivered = not execution.partially_delivered
        return is_undelivered and is_repeatable and is_current and before_deadline

    async def _run_attempt(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        attempted_targets: set[InstanceId],
    ) -> None:
        call_id = self._build_call_id(shard, call)
        dispatch = await self._suspects.check(
            build_dispatch(shard, call, call_id, max_tokens=_get_max_tokens(call))
        )
        try:
            answer = await self._try_target(
                shard, call, dispatch, execution, attempted_targets
            )
        except BaseException:
            await self._suspects.release(dispatch, target_survived=False)
            raise
        await self._suspects.release(dispatch, target_survived=True)
        await self._record_and_finish(shard, call, execution, answer)

    async def _try_target(
        self,
        shard: OwnedShard,
        call: Call,
        dispatch: DispatchRequest,
        execution: Execution,
        attempted_targets: set[InstanceId],
    ) -> DispatchResponse:
        target, attempt = self._selector.choose(
            dispatch,
            excluded=attempted_targets,
            cache_weight=call.cache_weight,
            cached=call.program.cached_prefix,
        )
        attempted_targets.add(target.instance)
        execution.call = dispatch.call
        execution.target = target.instance
        try:
            incarnation = await self._connector.get_incarnation(target)
            dispatch = msgspec.structs.replace(dispatch, incarnation=incarnation)
            dispatch = await self._starter.start(shard, call, dispatch, target)
            answer = await self._send(shard, call, dispatch, target, execution)
        except BaseException as error:
            self._selector.record_error(attempt, error)
            raise
        self._selector.record_answer(attempt, answer)
        return answer

    async def _send(
        self,
        shard: OwnedShard,
        call: Call,
        dispatch: DispatchRequest,
        target: Instance,
        execution: Execution,
    ) -> DispatchResponse:
        """Sends a started call and records a failure."""
        try:
            return await self._connector.send_call(
                target, dispatch, execution, stream=call.stream
            )
        except ServiceError as error:
            if isinstance(error, Unavailable):
                self._connector.forget_incarnation(target.instance)
            await self._record_failure(shard, call, execution, error)
            raise

    async def _record_and_finish(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        answer: DispatchResponse,
    ) -> None:
        await self._record_answer(shard, call, execution, answer)
        execution.finish(answer.value, answer.usage, finish_reason=answer.finish_reason)

    async def _join_attempt(
        self, shard: OwnedShard, call: Call, execution: Execution
    ) -> bool:
        """Joins an attempt that a former owner started, if there is one.

        If the attempt cannot be joined, its start is rolled back.

        Returns:
            Whether the call ended with the answer of that attempt.

        Raises:
            ServiceError: The attempt failed after a reader had received a part of its
                answer.
        """
        started = call.program.started_calls.get(call.request.sequence)
        if started is None:
            if call.request.resume is not None:
                logger.warning(
                    "shard %s with epoch %s has no start of attempt %s",
                    shard.shard,
                    shard.journal.epoch,
                    call.request.resume.stream_id,
                )
            return False
        target = self._directory.find_instance(started.target)
        if target is None or started.request_hash != call.request_hash:
            logger.warning("attempt %s cannot be joined by its target", started.call)
            shard.append(build_rollback(call, spent_tokens=started.reserved_tokens))
            return False
        dispatch = msgspec.structs.replace(
            build_dispatch(
                shard,
                call,
                started.call,
                max_tokens=_get_joined_max_tokens(call, started),
            ),
            incarnation=started.incarnation,
        )
        execution.call = started.call
        execution.target = started.target
        try:
            answer = await self._connector.send_call(
                target, dispatch, execution, stream=call.stream
            )
        except ServiceError as error:
            logger.info("attempt %s cannot be joined: %s", started.call, error)
            shard.append(build_rollback(call, spent_tokens=started.reserved_tokens))
            if execution.partially_delivered:
                raise
            execution.discard_text()
            return False
        await self._record_and_finish(shard, call, execution, answer)
        return True

    def _build_call_id(self, shard: OwnedShard, call: Call) -> CallId:
        number = next(self._attempt_numbers)
        program = hash_text("\n".join(call.program.key))
        return CallId(
            f"{shard.shard}.{shard.journal.epoch}.{program:x}."
            f"{call.request.sequence}.{number}"
        )

    async def _record_failure(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        error: ServiceError,
    ) -> None:
        if shard.journal.ownership_lost.is_set():
            raise build_wrong_owner(shard.shard, outcome=error.call_outcome) from error
        if call.at_most_once and error.call_outcome is Outcome.UNKNOWN:
            await shard.commit_or_replicate(
                build_call_ended(call, execution, error=error)
            )
            return
        spent = 0
        started = call.program.started_calls.get(call.request.sequence)
        if error.call_outcome is not Outcome.NOT_RUN and started is not None:
            spent = started.reserved_tokens
        shard.append(build_rollback(call, spent_tokens=spent))

    async def _record_answer(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        answer: DispatchResponse,
    ) -> None:
        """Records the answer of a call.

        The answer of a repeatable call is delivered only once it is recorded, since
        the next owner may otherwise run the call again and get another answer.
        """
        record = build_answered_call_ended(call, execution, answer)
        try:
            await shard.commit_or_replicate(record)
        except ServiceError as error:
            logger.info("call %s ended after its shard was lost", execution.call)
            if call.at_most_once:
                return  # The next owner gets the same answer from the target's sidecar.
            raise build_wrong_owner(shard.shard, outcome=Outcome.INCOMPLETE) from error


def _get_max_tokens(call: Call) -> int:
    return call.request.model.max_tokens if call.request.model is not None else 0


def _get_joined_max_tokens(call: Call, started: CallStarted) -> int:
    """Returns the answer tokens left within a former owner's reservation."""
    reserved = started.reserved_tokens
    left = reserved - bound_prompt_tokens(call.program, call.messages)
    return max(1, min(_get_max_tokens(call), left))
