"""Runs a program's call: reserve, claim, dispatch, record the end.

The claim of a call that must not be repeated is durable before any byte leaves for
the target. A claim without an outcome is never run again.
"""

import itertools
import time
from dataclasses import dataclass
from typing import Protocol, final

import msgspec
import trio

from goldcrestvane_common.errors import (
    DeadlineExceeded,
    NotFound,
    Outcome,
    ServiceError,
    Unavailable,
)
from goldcrestvane_common.ids import (
    CallId,
    Fingerprint,
    InstanceId,
    ServiceId,
    TeamId,
    hash_text,
)
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    DISPATCH_CANCEL_PATH,
    CallRequest,
    CancelRequest,
    DispatchAnswer,
    DispatchRequest,
    Instance,
    Message,
    ModelBody,
)
from goldcrestvane_common.settings import (
    HistoryMode,
    ServiceKind,
    ServiceSettings,
    TeamSettings,
)
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.owner import records
from goldcrestvane_daemon.owner.budgets import (
    Reservation,
    check_calls,
    count_seconds_left,
    hash_messages,
    reserve_tokens,
)
from goldcrestvane_daemon.owner.shard import (
    COMMIT_WAIT_SECONDS,
    OwnedShard,
    build_ended,
    build_wrong_owner,
)
from goldcrestvane_daemon.owner.state import CachedPrefix, Program
from goldcrestvane_daemon.owner.targets import TargetConnector, TargetDirectory
from goldcrestvane_daemon.placement import Attempt
from goldcrestvane_daemon.quarantine import Quarantine, Verdict, build_refusal

RESERVE_WAIT_SECONDS = 0.05
CLAIM_WAIT_SECONDS = 2.0
OUTAGE_RETRY_SECONDS = 2.0
MAX_ATTEMPTS = 3

logger = get_logger("calls")


class Chooser(Protocol):
    """Chooses targets and learns from what became of the calls sent there."""

    def choose(
        self,
        request: DispatchRequest,
        *,
        excluded: set[InstanceId],
        cache_weight: float,
        cached: CachedPrefix | None,
    ) -> tuple[Instance, Attempt]:
        """Returns the target for a call; raises Unavailable when there is none."""
        ...

    def record_answer(self, attempt: Attempt, answer: DispatchAnswer) -> None:
        """Notes a whole answer."""
        ...

    def record_error(self, attempt: Attempt, error: BaseException) -> None:
        """Notes a call that ended without an answer."""
        ...

    def count_call(self, service: ServiceId) -> None:
        """Counts a first attempt."""
        ...

    def allow_retry(self, service: ServiceId) -> bool:
        """Returns whether the retry budget allows one more attempt."""
        ...


@final
@dataclass(frozen=True, kw_only=True)
class Call:
    """A call whose turn has come.

    Attributes:
        request: What the entry passed on.
        request_hash: Hash of the request.
        program: Program that issued the call.
        service: Settings of the service to call.
        cache_weight: The team's weight of cache reuse against latency.
        messages: The whole prompt of a model call.
        ends_at: Value of trio's clock at the deadline, in seconds.
        stream: Whether the caller reads the answer as it grows.
    """

    request: CallRequest
    request_hash: str
    program: Program
    service: ServiceSettings
    cache_weight: float
    messages: list[Message]
    ends_at: float
    stream: bool

    @property
    def once(self) -> bool:
        """Whether the call must not be run again when its outcome is lost."""
        if self.service.kind is ServiceKind.MODEL:
            return False
        return not self.service.operations[self.request.operation].idempotent


def build_call(
    shard: OwnedShard,
    request: CallRequest,
    request_hash: str,
    *,
    team: TeamSettings,
    stream: bool,
) -> Call:
    """Returns a call that passed the checks on settings and time.

    Raises:
        NotFound: The team declares no such service or operation.
        BudgetExceeded: A budget of calls or seconds has ended.
    """
    program = shard.get_program((request.team, request.program))
    service = _find_service(team, request)
    check_calls(shard.state, program)
    budget_seconds = count_seconds_left(shard.state, program, now=time.time())
    limit = service.timeout_seconds
    if request.kind is ServiceKind.TOOL:
        limit = service.operations[request.operation].timeout_seconds
    seconds = min(request.deadline_seconds, budget_seconds, limit)
    return Call(
        request=request,
        request_hash=request_hash,
        program=program,
        service=service,
        cache_weight=team.cache_weight,
        messages=_compose_prompt(program, request),
        ends_at=trio.current_time() + seconds,
        stream=stream and request.kind is ServiceKind.MODEL,
    )


def _find_service(team: TeamSettings, request: CallRequest) -> ServiceSettings:
    service = team.services.get(request.service)
    if service is None or service.kind is not request.kind:
        raise NotFound(
            f"Team {request.team} declares no {request.kind.value} service "
            f"{request.service!r}. Declare it in the settings.",
            field="service",
        )
    is_tool = request.kind is ServiceKind.TOOL
    if is_tool and request.operation not in service.operations:
        raise NotFound(
            f"Service {request.service!r} declares no operation "
            f"{request.operation!r}. Declare it in the settings.",
            field="operation",
        )
    return service


def _compose_prompt(program: Program, request: CallRequest) -> list[Message]:
    if request.model is None:
        return []
    if program.history_mode is HistoryMode.OWNER:
        return program.history + request.model.messages
    return request.model.messages


@final
class CallRunner:
    """Runs calls of owned shards."""

    def __init__(
        self,
        *,
        connector: TargetConnector,
        directory: TargetDirectory,
        chooser: Chooser,
        quarantine: Quarantine,
    ) -> None:
        self._quarantine = quarantine
        self._connector = connector
        self._directory = directory
        self._chooser = chooser
        self._attempts = itertools.count(1)

    async def run(self, shard: OwnedShard, call: Call, execution: Execution) -> None:
        """Runs a call to its end and records it; errors go to the execution."""
        key = (call.program.key, call.request.sequence)
        try:
            with execution.scope:
                await self._run_attempts(shard, call, execution)
            if execution.scope.cancelled_caught:
                await self._cancel(shard, call, execution)
        except ServiceError as error:
            execution.fail(error)
        except Exception:
            logger.exception("call %s of %s failed", key[1], key[0])
            execution.fail(ServiceError("The owner failed on this call; report it."))
        finally:
            shard.executions.pop(key, None)
            shard.notify(call.program.key)

    async def _cancel(
        self, shard: OwnedShard, call: Call, execution: Execution
    ) -> None:
        """Ends a repeatable call whose program has ended, here and at the target."""
        started = call.program.started.get(call.request.sequence)
        if started is not None:
            self._release(shard, call, spent_tokens=started.reserved_tokens)
        execution.fail(build_ended(call.program.key))
        target = self._directory.find_instance(execution.target)
        if target is not None:
            await self._connector.send_order(
                target, DISPATCH_CANCEL_PATH, CancelRequest(execution.call)
            )

    async def _run_attempts(
        self, shard: OwnedShard, call: Call, execution: Execution
    ) -> None:
        if await self._join_attempt(shard, call, execution):
            return
        self._chooser.count_call(call.request.service)
        tried: set[InstanceId] = set()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                await self._run_attempt(shard, call, execution, tried)
                return
            except ServiceError as error:
                last = attempt == MAX_ATTEMPTS
                if last or not self._may_retry(shard, call, execution, error):
                    raise
                execution.discard_text()

    def _may_retry(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        error: ServiceError,
    ) -> bool:
        repeatable = error.call_outcome is Outcome.NOT_RUN or (
            error.call_outcome is Outcome.INCOMPLETE and not call.once
        )
        alive = not shard.journal.deposed.is_set() and call.program.is_open
        in_time = trio.current_time() < call.ends_at
        if execution.streamed or not (repeatable and alive and in_time):
            return False
        return self._chooser.allow_retry(call.request.service)

    async def _run_attempt(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        tried: set[InstanceId],
    ) -> None:
        reservation = Reservation()
        if call.request.model is not None:
            body = ModelBody(call.messages, call.request.model.max_tokens)
            reservation = reserve_tokens(shard.state, call.program, body)
        dispatch = self._build_dispatch(shard, call, self._build_call_id(shard, call))
        if dispatch.model is not None:
            model = ModelBody(call.messages, reservation.max_tokens)
            dispatch = msgspec.structs.replace(dispatch, model=model)
        dispatch = await self._check_suspect(call, dispatch)
        try:
            answer = await self._try_target(
                shard, call, dispatch, execution, tried, reservation
            )
        except BaseException:
            await self._settle_suspect(dispatch, survived=False)
            raise
        await self._settle_suspect(dispatch, survived=True)
        await self._finish(shard, call, execution, answer)

    async def _check_suspect(
        self, call: Call, dispatch: DispatchRequest
    ) -> DispatchRequest:
        """Claims a request with which a target died, to run it alone."""
        verdict = self._quarantine.get_verdict(dispatch.service, dispatch.fingerprint)
        if verdict is Verdict.FREE:
            return dispatch
        if verdict is Verdict.REFUSED:
            raise build_refusal()
        left = max(0.0, call.ends_at - trio.current_time())
        await self._quarantine.claim_alone(
            dispatch.service, dispatch.fingerprint, seconds=left
        )
        return msgspec.structs.replace(dispatch, alone=True)

    async def _settle_suspect(
        self, dispatch: DispatchRequest, *, survived: bool
    ) -> None:
        if not dispatch.alone:
            return
        with trio.CancelScope(shield=True):
            await self._quarantine.settle(
                dispatch.service, dispatch.fingerprint, survived=survived
            )

    async def _try_target(
        self,
        shard: OwnedShard,
        call: Call,
        dispatch: DispatchRequest,
        execution: Execution,
        tried: set[InstanceId],
        reservation: Reservation,
    ) -> DispatchAnswer:
        target, attempt = self._chooser.choose(
            dispatch,
            excluded=tried,
            cache_weight=call.cache_weight,
            cached=call.program.cached_prefix,
        )
        tried.add(target.instance)
        execution.call = dispatch.call
        execution.target = target.instance
        try:
            dispatch = await self._prepare(shard, call, dispatch, target, reservation)
            answer = await self._send(shard, call, dispatch, target, execution)
        except BaseException as error:
            self._chooser.record_error(attempt, error)
            raise
        self._chooser.record_answer(attempt, answer)
        return answer

    async def _prepare(
        self,
        shard: OwnedShard,
        call: Call,
        dispatch: DispatchRequest,
        target: Instance,
        reservation: Reservation,
    ) -> DispatchRequest:
        """Makes the start durable and returns the dispatch for this incarnation."""
        incarnation = await self._connector.get_incarnation(target)
        prepared = msgspec.structs.replace(dispatch, incarnation=incarnation)
        await self._claim(shard, call, prepared, target, reservation)
        left = max(0.0, call.ends_at - trio.current_time())
        return msgspec.structs.replace(prepared, deadline_seconds=left)

    async def _send(
        self,
        shard: OwnedShard,
        call: Call,
        dispatch: DispatchRequest,
        target: Instance,
        execution: Execution,
    ) -> DispatchAnswer:
        """Sends a started call and records its failure, if it fails."""
        try:
            return await self._connector.send_call(
                target, dispatch, execution, stream=call.stream
            )
        except ServiceError as error:
            if isinstance(error, Unavailable):
                self._connector.forget_incarnation(target.instance)
            await self._record_failure(shard, call, execution, error)
            raise

    async def _finish(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        answer: DispatchAnswer,
    ) -> None:
        await self._record_answer(shard, call, execution, answer)
        execution.finish(answer.value, answer.usage)

    async def _join_attempt(
        self, shard: OwnedShard, call: Call, execution: Execution
    ) -> bool:
        """Joins the attempt that a former owner started; returns whether it ended.

        An attempt that cannot be joined gives its number back.

        Raises:
            ServiceError: A reader already has a part of the answer that broke off.
        """
        started = call.program.started.get(call.request.sequence)
        if started is None:
            return False
        target = self._directory.find_instance(started.target)
        if target is None or started.request_hash != call.request_hash:
            self._release(shard, call, spent_tokens=started.reserved_tokens)
            return False
        dispatch = msgspec.structs.replace(
            self._build_dispatch(shard, call, started.call),
            incarnation=started.incarnation,
        )
        execution.call = started.call
        execution.target = started.target
        try:
            answer = await self._connector.send_call(
                target, dispatch, execution, stream=call.stream
            )
        except ServiceError:
            self._release(shard, call, spent_tokens=started.reserved_tokens)
            if execution.streamed:
                raise
            execution.discard_text()
            return False
        await self._finish(shard, call, execution, answer)
        return True

    def _build_call_id(self, shard: OwnedShard, call: Call) -> CallId:
        number = next(self._attempts)
        program = hash_text("\n".join(call.program.key))
        return CallId(
            f"{shard.shard}.{shard.journal.epoch}.{program:x}."
            f"{call.request.sequence}.{number}"
        )

    def _build_dispatch(
        self, shard: OwnedShard, call: Call, call_id: CallId
    ) -> DispatchRequest:
        request = call.request
        model = None
        if request.model is not None:
            model = ModelBody(call.messages, request.model.max_tokens)
        return DispatchRequest(
            call=call_id,
            incarnation="",
            shard=shard.shard,
            epoch=shard.journal.epoch,
            team=request.team,
            program=request.program,
            service=request.service,
            kind=request.kind,
            deadline_seconds=max(0.0, call.ends_at - trio.current_time()),
            priority=call.program.priority,
            attained_tokens=call.program.spent_tokens,
            fingerprint=build_fingerprint(request.team, request, call.messages),
            idempotent=not call.once,
            operation=request.operation,
            model=model,
            tool=request.tool,
        )

    async def _claim(
        self,
        shard: OwnedShard,
        call: Call,
        dispatch: DispatchRequest,
        target: Instance,
        reservation: Reservation,
    ) -> None:
        """Makes the start durable; one that must not be repeated waits for it.

        Raises:
            Unavailable: The claim is not durable; the call is not sent.
            WrongOwner: The shard has another owner.
        """
        if call.once and shard.journal.down:
            raise _build_outage()
        record = records.CallStarted(
            team=call.request.team,
            program=call.request.program,
            sequence=call.request.sequence,
            request_hash=call.request_hash,
            call=dispatch.call,
            target=target.instance,
            incarnation=dispatch.incarnation,
            reserved_tokens=reservation.total,
            once=call.once,
        )
        if not call.once:
            await shard.commit(record, wait=RESERVE_WAIT_SECONDS)
            return
        wait = min(CLAIM_WAIT_SECONDS, call.ends_at - trio.current_time())
        durable = await shard.commit(record, wait=wait)
        if durable and trio.current_time() < call.ends_at:
            return
        self._release(shard, call)
        if durable:
            raise DeadlineExceeded(
                "The deadline passed before the call was sent. Send it with more time.",
                retry_after=1.0,
            )
        raise _build_outage()

    def _release(self, shard: OwnedShard, call: Call, *, spent_tokens: int = 0) -> None:
        record = records.CallReleased(
            team=call.request.team,
            program=call.request.program,
            sequence=call.request.sequence,
            spent_tokens=spent_tokens,
        )
        shard.append(record)

    async def _record_failure(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        error: ServiceError,
    ) -> None:
        if shard.journal.deposed.is_set():
            raise build_wrong_owner(shard.shard, outcome=error.call_outcome) from error
        if call.once and error.call_outcome is Outcome.UNKNOWN:
            record = records.CallEnded(
                team=call.request.team,
                program=call.request.program,
                sequence=call.request.sequence,
                request_hash=call.request_hash,
                call=execution.call,
                target=execution.target,
                error=error.to_body(),
            )
            await shard.commit(record)
            return
        spent = 0
        started = call.program.started.get(call.request.sequence)
        if error.call_outcome is not Outcome.NOT_RUN and started is not None:
            spent = started.reserved_tokens
        self._release(shard, call, spent_tokens=spent)

    async def _record_answer(
        self,
        shard: OwnedShard,
        call: Call,
        execution: Execution,
        answer: DispatchAnswer,
    ) -> None:
        """Records the answer; one that may run again needs the record first."""
        record = _build_call_ended(call, execution, answer)
        try:
            await shard.commit(record, wait=COMMIT_WAIT_SECONDS)
        except ServiceError as error:
            if call.once:
                return  # The new owner asks the target's sidecar for the same answer.
            raise build_wrong_owner(shard.shard, outcome=Outcome.INCOMPLETE) from error


def _build_call_ended(
    call: Call, execution: Execution, answer: DispatchAnswer
) -> records.CallEnded:
    record = records.CallEnded(
        team=call.request.team,
        program=call.request.program,
        sequence=call.request.sequence,
        request_hash=call.request_hash,
        call=execution.call,
        target=execution.target,
        answer=answer.value,
        usage=answer.usage,
    )
    if call.request.model is None:
        return record
    reply = Message("assistant", msgspec.json.decode(answer.value, type=str))
    covered = [*call.messages, reply]
    kept: list[Message] = []
    if call.program.history_mode is HistoryMode.OWNER:
        kept = [*call.request.model.messages, reply]
    return msgspec.structs.replace(
        record,
        messages=kept,
        prompt_messages=len(covered),
        prompt_hash=hash_messages(covered),
    )


def build_fingerprint(
    team: TeamId, request: CallRequest, messages: list[Message]
) -> Fingerprint:
    """Returns a hash of team and content, equal for a request sent under a new id."""
    content = (team, request.service, request.operation, messages, request.tool)
    return Fingerprint(f"{hash_text(msgspec.json.encode(content).decode()):016x}")


def _build_outage() -> Unavailable:
    return Unavailable(
        "The platform is down, so the call cannot be claimed; it did not run. "
        "Send it again later.",
        retry_after=OUTAGE_RETRY_SECONDS,
    )
