"""Handling of one call: route, ledger, queue, attempts and refusal."""

from collections.abc import Callable
from typing import final

import trio

from goldcrestvane_common.ids import DomainId, InstanceId, ServiceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.account_gate import AccountGate
from goldcrestvane_daemon.frontend.attempts import (
    REJECTION_RETRY_SECONDS,
    AttemptResult,
    AttemptRunner,
)
from goldcrestvane_daemon.frontend.call_context import (
    CallContext,
    build_call_context,
    get_fingerprint,
)
from goldcrestvane_daemon.frontend.call_log import log_end, log_refusal
from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.memory_budget import MemoryBudget
from goldcrestvane_daemon.frontend.metrics import ATTEMPTS, OPEN_SECONDS, RUNNING
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.frontend.permits import PermitClient, PermitSource
from goldcrestvane_daemon.frontend.queue import ServiceQueue
from goldcrestvane_daemon.frontend.quota_client import (
    CallQuota,
    QuotaClient,
    QuotaSource,
)
from goldcrestvane_daemon.frontend.rate_limits import TargetRateLimits
from goldcrestvane_daemon.frontend.refusals import (
    NOT_RUN_STATUSES,
    CrashedTargets,
    OutcomeUnknown,
    Overloaded,
    Refusal,
    TimedOut,
)
from goldcrestvane_daemon.frontend.stream_origins import StreamOrigins
from goldcrestvane_daemon.frontend.stream_takeover import StreamTakeover
from goldcrestvane_daemon.frontend.turn_output import OutputCopies
from goldcrestvane_daemon.frontend.turn_recorder import TurnRecorder
from goldcrestvane_daemon.http1 import ConnectionLost, RequestHead, ServerConnection
from goldcrestvane_daemon.ledger.messages import RateLimit
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.placement.inputs import PlacementOptions
from goldcrestvane_daemon.placement.prompt_reading import PromptRequest
from goldcrestvane_daemon.platform.headers import build_refusal_headers
from goldcrestvane_daemon.routes import RouteTable
from goldcrestvane_daemon.targets import Target, TargetTable
from goldcrestvane_daemon.tasks import Task, run_supervised

MAX_REJECTIONS = 40
"""Number of rejected attempts after which a call is refused."""

MAX_EXTRA_ATTEMPTS = 2
"""Attempts of a repeatable call beyond the route's maximum, at targets that were
attempted before."""

MIN_SECONDS_LEFT = 0.02
"""Minimum time left for another attempt: a round trip to a target."""

TIMEOUT_RETRY_SECONDS = 0.1

EJECTION_OPTIONS = PlacementOptions(
    eject_failure_share=0.25, first_ejection_seconds=0.5, max_ejection_seconds=4.0
)
"""Ejection is short because targets restart within seconds. Healthy targets fail one
call in a hundred, so two failures in the last dozen calls mark an outlier."""

logger = get_logger("call")


@final
class CallService:
    """Runs the calls of clients."""

    def __init__(
        self,
        *,
        targets: TargetTable,
        ledger: LedgerClient,
        permits: PermitSource,
        domain: DomainId,
        crash_tracker: CrashTracker,
        frontends: FrontendPeers,
        account_gate: AccountGate,
        response_memory: MemoryBudget,
        nursery: trio.Nursery,
        chain_memory: MemoryBudget | None = None,
        on_slowdown: Callable[[ServiceId], None] = lambda service: None,
        quotas: QuotaSource | None = None,
    ) -> None:
        """Creates the service.

        Args:
            targets: Targets of all services.
            ledger: Records turns.
            permits: Issues permits for targets that state a rate limit.
            domain: Failure domain of this process.
            crash_tracker: Requests with which targets died.
            frontends: Other frontends, which learn of such requests.
            account_gate: Checks the API keys of calls.
            response_memory: Bounds the memory of responses.
            nursery: Runs tasks that outlast a call.
            chain_memory: Bounds the memory of stored turns that calls continue; None if it
                has no bound.
            on_slowdown: Called with the service when one of its targets reports how long
                work takes there.
            quotas: Members of the ledger that issue tokens of quotas, if any.
        """
        self._account_gate = account_gate
        self._quotas = QuotaClient(quotas, nursery)
        self._crash_tracker = crash_tracker
        self._targets = targets
        self._turns = TurnRecorder(ledger, chain_memory)
        self._domain = domain
        self._nursery = nursery
        copies = OutputCopies(ledger, nursery)
        self._takeover = StreamTakeover(self._turns, copies)
        self._origins = StreamOrigins(self._turns, targets, nursery)
        self._health = HealthTracker(EJECTION_OPTIONS)
        self._rate_limits = TargetRateLimits(
            PermitClient(permits, nursery), on_change=self._dispatch_all
        )
        self._attempts = AttemptRunner(
            targets=targets,
            health=self._health,
            turns=self._turns,
            copies=copies,
            origins=self._origins,
            crash_tracker=crash_tracker,
            frontends=frontends,
            rate_limits=self._rate_limits,
            response_memory=response_memory,
            nursery=nursery,
            on_slowdown=on_slowdown,
        )
        self._queues: dict[ServiceId, ServiceQueue] = {}

    def get_queue(self, service: ServiceId) -> ServiceQueue:
        """Returns the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue(
                service,
                table=self._targets,
                health=self._health,
                rate_limits=self._rate_limits,
                domain=self._domain,
            )
        return queue

    def handle_targets_changed(self, removed: Target | None) -> None:
        """Dispatches waiting calls after the targets or the configuration changed.

        Args:
            removed: The target that was removed or replaced, if any.
        """
        if removed is not None:
            self._attempts.remove_target(removed)
        self._dispatch_all()

    def adopt_rate_limit(self, limit: RateLimit) -> None:
        """Records the rate limit of a target that another frontend has observed."""
        self._rate_limits.adopt(limit)

    def _dispatch_all(self) -> None:
        for queue in self._queues.values():
            queue.dispatch_waiting()

    async def handle(
        self,
        connection: ServerConnection,
        head: RequestHead,
        body: bytes,
        routes: RouteTable | None,
        connection_headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Answers one call of a client.

        Args:
            connection: The client's connection.
            head: The request.
            body: Its body.
            routes: Routes of the configuration in force.
            connection_headers: Response headers that concern the client's connection.

        Raises:
            ConnectionLost: The response was cut off; the connection must be closed.
        """
        arrived = trio.current_time()
        call: CallContext | None = None
        outcome = "client_gone"
        RUNNING.inc()
        try:
            call = build_call_context(head, body, routes, arrived)
            await self._account_gate.admit(call)
            self._check_crash_history(call)
            with self._quotas.open(call) as quota:
                await self._run(connection, call, quota, connection_headers)
            outcome = "answered"
        except Refusal as error:
            refusal = _correct_refusal(call, error)
            outcome = refusal.kind
            if call is not None and call.response_started:
                raise ConnectionLost(str(refusal)) from refusal
            log_refusal(call, head, refusal)
            headers = build_refusal_headers(
                call=call.headers.call if call else None,
                retry_after=refusal.retry_after,
                status=refusal.status,
            )
            await connection.respond(
                refusal.status, headers + connection_headers, refusal.encode()
            )
        except ConnectionLost:
            outcome = "connection_lost"
            raise
        finally:
            RUNNING.dec()
            log_end(call, outcome, arrived)

    def _check_crash_history(self, call: CallContext) -> None:
        """Raises CrashedTargets if too many targets died while they ran the request."""
        if self._crash_tracker.is_empty:
            return
        if self._crash_tracker.is_blocked(get_fingerprint(call)):
            raise CrashedTargets(
                "Targets died each time they ran this request; do not send it again."
            )

    async def _run(
        self,
        connection: ServerConnection,
        call: CallContext,
        quota: CallQuota,
        connection_headers: list[tuple[bytes, bytes]],
    ) -> None:
        with trio.CancelScope(deadline=call.deadline) as scope:
            await quota.acquire()
            if not call.is_turn:
                self._origins.set_resumed_origin(call)
                await self._run_attempts(connection, call, quota, connection_headers)
                return
            try:
                self._origins.plan_record(call)
                charges = await self._turns.open(call)
                self._origins.set_resumed_origin(call)
                await self._takeover.run(call, charges)
                OPEN_SECONDS.observe(trio.current_time() - call.arrived)
                await self._run_attempts(connection, call, quota, connection_headers)
            finally:
                call.drop_chain()
                call.output.close()
                if not call.settled:
                    # This also applies if the client disconnected or the deadline passed.
                    self._nursery.start_soon(
                        run_supervised, Task.TURN, self._turns.settle, call
                    )
        if scope.cancelled_caught:
            raise _build_timeout(call)

    async def _run_attempts(
        self,
        connection: ServerConnection,
        call: CallContext,
        quota: CallQuota,
        connection_headers: list[tuple[bytes, bytes]],
    ) -> None:
        queue = self.get_queue(call.service)
        account = call.account.account if call.account else None
        prompt = call.headers.prompt
        excluded: set[InstanceId] = set()
        while True:
            call.prompt = PromptRequest(prompt) if prompt is not None else None
            target = await queue.acquire(
                affinity=call.affinity,
                priority=call.priority,
                arrived=call.arrived,
                seconds_left=call.seconds_left,
                excluded=frozenset(excluded),
                allowed=self._list_allowed_targets(call),
                origin=call.origin,
                admission_class=call.admission_class,
                program_seconds_left=call.program_seconds_left,
                account=account,
                prompt=call.prompt,
                on_wait=call.drop_chain,
            )
            try:
                await self._turns.load_chain(call)
                if call.seconds_left <= MIN_SECONDS_LEFT:
                    # An attempt would still run at the deadline, so that the client could
                    # not be told that the call has not run.
                    raise _build_timeout(call)
                # The token of the first attempt may have been used or returned since.
                await quota.acquire()
                self._account_gate.recheck(call)
                # Targets may have died with the request while this call waited.
                self._check_crash_history(call)
            except BaseException:
                queue.release(target, account=account, prompt=call.prompt)
                raise
            call.target = target.instance
            result = AttemptResult.LOST
            started = trio.current_time()
            quota.begin_attempt()
            try:
                result = await self._attempts.run(
                    connection, call, target, queue, connection_headers
                )
            finally:
                quota.end_attempt()
                ran = result is not AttemptResult.NOT_RUN
                seconds = trio.current_time() - started
                queue.release(
                    target,
                    run_seconds=seconds if ran else None,
                    account=account,
                    prompt=call.prompt,
                )
                ATTEMPTS.labels(result.value).inc()
            if result is AttemptResult.ANSWERED:
                return
            excluded.add(target.instance)
            if result is AttemptResult.NOT_RUN:
                call.rejections += 1
            failure = _find_final_failure(call, result)
            if failure is not None:
                raise failure

    def _list_allowed_targets(self, call: CallContext) -> frozenset[InstanceId] | None:
        """Returns the targets that a call may still use; None allows all targets."""
        for instance in call.counted_targets:
            if self._targets.get(instance) is None:
                call.departed_targets.add(instance)
        if len(call.counted_targets) < call.route.max_attempts:
            return None
        return frozenset(call.counted_targets)


def _find_final_failure(call: CallContext, result: AttemptResult) -> Refusal | None:
    """Returns the refusal of a call that is not retried; None to retry it."""
    in_time = call.seconds_left > MIN_SECONDS_LEFT
    if result is AttemptResult.NOT_RUN:
        if in_time and call.rejections < MAX_REJECTIONS:
            return None
    elif (
        in_time
        and call.route.repeatable
        and len(call.attempted_targets) < call.route.max_attempts + MAX_EXTRA_ATTEMPTS
    ):
        return None
    if call.attempted_targets:
        return OutcomeUnknown(
            f"{len(call.attempted_targets)} targets failed; the call may have run."
        )
    return Overloaded(
        f"{call.rejections} targets rejected the call; retry later.",
        retry_after=REJECTION_RETRY_SECONDS,
    )


def _correct_refusal(call: CallContext | None, refusal: Refusal) -> Refusal:
    """Replaces a refusal that would wrongly promise that the call has not run."""
    if call is None or not call.attempted_targets:
        return refusal
    if refusal.status not in NOT_RUN_STATUSES:
        return refusal
    return OutcomeUnknown(
        f"{call.attempted_targets[-1]} may have run the call. {refusal}"
    )


def _build_timeout(call: CallContext) -> Refusal:
    if call.attempted_targets:
        return TimedOut(
            f"No response from {call.attempted_targets[-1]} in time; "
            "the call may have run."
        )
    return Overloaded(
        "The call waited for a target until its deadline; it has not run.",
        retry_after=TIMEOUT_RETRY_SECONDS,
    )
