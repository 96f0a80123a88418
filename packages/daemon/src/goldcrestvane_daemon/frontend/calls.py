"""The way of one call: queue, attempts at targets, answer."""

from enum import Enum
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import DomainId, InstanceId, ServiceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.events import EventSplitter
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.metrics import (
    ATTEMPTS,
    CALL_SECONDS,
    CALLS,
    FIRST_EVENT_SECONDS,
    OPEN_SECONDS,
    RUNNING,
)
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.frontend.plan import PlannedCall, plan_call
from goldcrestvane_daemon.frontend.queue import ServiceQueue
from goldcrestvane_daemon.frontend.refusals import (
    CrashedTargets,
    OutcomeUnknown,
    Overloaded,
    Refusal,
    TimedOut,
)
from goldcrestvane_daemon.frontend.suspects import Suspects, build_fingerprint
from goldcrestvane_daemon.frontend.turns import TurnKeeper
from goldcrestvane_daemon.frontend.upstream import (
    Attempt,
    ConnectFailed,
    TargetBroke,
    TargetConnections,
)
from goldcrestvane_daemon.http1 import ConnectionLost, RequestHead, ServerConnection
from goldcrestvane_daemon.placement.facts import PlacementOptions
from goldcrestvane_daemon.placement.health import HealthView
from goldcrestvane_daemon.platform.headers import (
    AnswerHead,
    build_refusal_headers,
    build_target_headers,
)
from goldcrestvane_daemon.routes import CallKind, RouteTable
from goldcrestvane_daemon.targets import Target, TargetTable

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer that is held whole before it is passed on."""

MAX_REJECTIONS = 40
"""Attempts that did not run after which a call is given up."""

MAX_REPEATS = 2
"""Attempts of a repeatable call beyond its route's, at targets that it tried before."""

MIN_SECONDS_LEFT = 0.02
"""Time left under which no target is asked any more: a round trip."""

LOOKUP_TARGETS = 2.0
"""Multiple of its objective after which a lookup is tried at another target."""

MIN_LOOKUP_SECONDS = 0.25
"""Shortest time that a target has for a lookup; healthy ones take 0.11 s at most."""

SILENT_SECONDS = 1.0
"""Time without an answer that counts as a failure of the target."""

MAX_PRIORITY = 9
REJECTED_SECONDS = 0.05
"""Pause after a target rejected a call: the time in which a slot gets free."""

TIMEOUT_RETRY_SECONDS = 0.1

EJECTION = PlacementOptions(eject_share=0.25, eject_seconds=0.5, max_eject_seconds=4.0)
"""Targets restart within seconds; one that is left out is tried again soon. Healthy
targets fail one call of a hundred, so two of the latest dozen are an outlier."""

logger = get_logger("call")


class AttemptReport(msgspec.Struct, frozen=True):
    """How one attempt ended.

    Attributes:
        result: What became of it.
        healthy: Whether the target did its work.
        pace: Seconds an event, or a whole answer, took; None if that is not known.
    """

    result: "AttemptResult"
    healthy: bool = True
    pace: float | None = None


class AttemptResult(Enum):
    """What became of one attempt."""

    ANSWERED = "answered"
    """The client has the whole answer."""

    NOT_RUN = "not_run"
    """The target did not run the call and never will."""

    LOST = "lost"
    """The target may have run the call."""


@final
class CallService:
    """Runs clients' calls."""

    def __init__(
        self,
        *,
        targets: TargetTable,
        ledger: LedgerClient,
        domain: DomainId,
        suspects: Suspects,
        frontends: FrontendPeers,
        nursery: trio.Nursery,
    ) -> None:
        self._suspects = suspects
        self._frontends = frontends
        self._targets = targets
        self._turns = TurnKeeper(ledger)
        self._domain = domain
        self._nursery = nursery
        self._health = HealthView(EJECTION)
        self._connections = TargetConnections()
        self._queues: dict[ServiceId, ServiceQueue] = {}

    def get_queue(self, service: ServiceId) -> ServiceQueue:
        """Returns the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue(
                service, table=self._targets, health=self._health, domain=self._domain
            )
        return queue

    def note_targets_changed(self, gone: Target | None) -> None:
        """Lets waiting calls use what has changed."""
        if gone is not None:
            self._health.forget(gone.instance)
            self._nursery.start_soon(self._connections.forget, gone)
        for queue in self._queues.values():
            queue.place_waiting()

    async def handle(
        self,
        connection: ServerConnection,
        head: RequestHead,
        body: bytes,
        routes: RouteTable | None,
        answer_headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Answers one call of a client.

        Args:
            connection: The client's connection.
            head: The request.
            body: Its body.
            routes: The configuration in force.
            answer_headers: Headers that concern the client's connection.

        Raises:
            ConnectionLost: The answer broke off; the connection must be closed.
        """
        arrived = trio.current_time()
        call: PlannedCall | None = None
        outcome = "client_gone"
        RUNNING.inc()
        try:
            call = plan_call(head, body, routes, arrived)
            self._check_suspect(call)
            await self._run(connection, call, answer_headers)
            outcome = "answered"
        except Refusal as error:
            refusal = _correct_promise(call, error)
            outcome = refusal.kind
            if call is not None and call.answer_begun:
                raise ConnectionLost(str(refusal)) from refusal
            _log_refusal(call, head, refusal)
            headers = build_refusal_headers(
                call=call.headers.call if call else None,
                retry_after=refusal.retry_after,
            )
            await connection.respond(
                refusal.status, headers + answer_headers, refusal.encode()
            )
        except ConnectionLost:
            outcome = "connection_lost"
            raise
        finally:
            RUNNING.dec()
            _log_end(call, outcome, arrived)

    def _check_suspect(self, call: PlannedCall) -> None:
        """Raises CrashedTargets when too many targets died with the request."""
        if self._suspects.is_empty:
            return
        head = call.head
        fingerprint = build_fingerprint(head.method, head.path, call.client_body)
        if self._suspects.is_refused(fingerprint):
            raise CrashedTargets(
                "Targets died each time they ran this request; do not send it again."
            )

    async def _note_death(self, call: PlannedCall, target: Target) -> None:
        """Finds out whether a target that broke off has died, and tells the others."""
        try:
            stream = await self._connections.connect(target)
        except ConnectFailed:
            head = call.head
            fingerprint = build_fingerprint(head.method, head.path, call.client_body)
            deaths = [target.instance]
            self._suspects.note(fingerprint, deaths)
            self._frontends.report_deaths(fingerprint, deaths)
            logger.warning(
                "a target died with a request",
                extra={
                    "call": call.headers.call,
                    "target": target.instance,
                    "fingerprint": fingerprint,
                },
            )
        else:
            await trio.aclose_forcefully(stream)

    async def _run(
        self,
        connection: ServerConnection,
        call: PlannedCall,
        answer_headers: list[tuple[bytes, bytes]],
    ) -> None:
        with trio.CancelScope(deadline=call.deadline) as scope:
            if not call.is_turn:
                await self._run_attempts(connection, call, answer_headers)
                return
            try:
                await self._turns.open(call)
                OPEN_SECONDS.observe(trio.current_time() - call.arrived)
                await self._run_attempts(connection, call, answer_headers)
            finally:
                if not call.settled:
                    # Also when the client has left or the time is over.
                    self._nursery.start_soon(self._turns.settle, call)
        if scope.cancelled_caught:
            raise _build_timeout(call)

    async def _run_attempts(
        self,
        connection: ServerConnection,
        call: PlannedCall,
        answer_headers: list[tuple[bytes, bytes]],
    ) -> None:
        queue = self.get_queue(call.service)
        excluded: set[InstanceId] = set()
        while True:
            target = await queue.acquire(
                key=call.affinity_key,
                priority=call.route.priority,
                arrived=call.arrived,
                seconds_left=call.seconds_left,
                excluded=frozenset(excluded),
                allowed=self._find_allowed(call),
            )
            result = AttemptResult.LOST
            started = trio.current_time()
            try:
                result = await self._attempt(
                    connection, call, target, queue, answer_headers
                )
            finally:
                ran = result is not AttemptResult.NOT_RUN
                seconds = trio.current_time() - started
                queue.release(target, run_seconds=seconds if ran else None)
                ATTEMPTS.labels(result.value).inc()
            if result is AttemptResult.ANSWERED:
                return
            excluded.add(target.instance)
            if result is AttemptResult.NOT_RUN:
                call.rejections += 1
            failure = _find_final_failure(call, result)
            if failure is not None:
                raise failure

    def _find_allowed(self, call: PlannedCall) -> frozenset[InstanceId] | None:
        """Returns the targets that a call may still use; None if it may use any."""
        for instance in call.counted:
            if self._targets.get(instance) is None:
                call.ended.add(instance)
        if len(call.counted) < call.route.attempts:
            return None
        return frozenset(call.counted)

    async def _attempt(
        self,
        connection: ServerConnection,
        call: PlannedCall,
        target: Target,
        queue: ServiceQueue,
        answer_headers: list[tuple[bytes, bytes]],
    ) -> AttemptResult:
        """Sends the call to one target and passes its answer on."""
        began = trio.current_time()
        try:
            report = await self._exchange(
                connection, call, target, queue, answer_headers
            )
        except ConnectFailed as error:
            self._note_failure(call, target, error, dead=True)
            if target.instance in call.tried:
                call.ended.add(target.instance)
            return AttemptResult.NOT_RUN
        except TargetBroke as error:
            self._note_failure(call, target, error, dead=False)
            if error.unanswered:
                self._nursery.start_soon(self._note_death, call, target)
            return AttemptResult.LOST
        except BaseException:
            # The client left, or the time ended; only a long silence says something.
            now = trio.current_time()
            if not call.answer_begun and now - began > SILENT_SECONDS:
                self._health.note_failure(target.instance, now=now, dead=False)
            else:
                self._health.note_cancelled(target.instance, now=now)
            raise
        if report.result is AttemptResult.ANSWERED:
            self._note_answer(target, queue, report)
        return report.result

    def _note_answer(
        self, target: Target, queue: ServiceQueue, report: AttemptReport
    ) -> None:
        if not report.healthy:
            now = trio.current_time()
            self._health.note_failure(target.instance, now=now, dead=False)
            return
        slowness = queue.rate_pace(report.pace)
        self._health.note_success(target.instance, slowness=slowness)

    async def _exchange(
        self,
        connection: ServerConnection,
        call: PlannedCall,
        target: Target,
        queue: ServiceQueue,
        answer_headers: list[tuple[bytes, bytes]],
    ) -> AttemptReport:
        """Sends the call on one connection and passes the answer on.

        Raises:
            ConnectFailed: Nothing was sent.
            TargetBroke: The target may have run the call.
        """
        async with Attempt(self._connections, target) as attempt:
            call.tried.append(target.instance)
            body: bytes | None = None
            with _limit_attempt(call) as limit:
                head = await self._send(call, target, attempt)
                queue.report(target, head.load)
                if not _is_stream(call, head):
                    body = await attempt.read_body(MAX_ANSWER_BYTES)
            if limit.cancelled_caught:
                raise TargetBroke("No answer; a lookup may run elsewhere as well.")
            if not head.executed:
                self._note_rejection(call, target, head)
                call.tried.pop()
                return AttemptReport(AttemptResult.NOT_RUN)
            _check_answer(head)
            if head.status >= 500 and _may_try_another(call):
                raise TargetBroke(f"Got status {head.status}.")
            pace = None
            headers = _drop_length(head.forwarded) + answer_headers
            if body is None:
                pace = await self._pass_stream(connection, call, attempt, headers)
            else:
                call.answer_begun = True
                await connection.respond(head.status, headers, body)
        healthy = head.status < 500
        return AttemptReport(AttemptResult.ANSWERED, healthy=healthy, pace=pace)

    async def _send(
        self, call: PlannedCall, target: Target, attempt: Attempt
    ) -> AnswerHead:
        headers = build_target_headers(
            call.headers,
            instance=target.instance,
            seconds_left=call.seconds_left,
            body_length=len(call.body),
            priority=min(call.route.priority, MAX_PRIORITY),
            last_event=call.last_event,
        )
        head = call.head
        logger.info(
            "sent to a target",
            extra={
                "call": call.headers.call,
                "target": target.instance,
                "load": round(
                    self._targets.get_load(target).estimate(trio.current_time()), 1
                ),
                "waited_ms": round((trio.current_time() - call.arrived) * 1000, 1),
            },
        )
        return await attempt.send(
            head.method, head.path, headers, call.body, call=call.headers.call
        )

    def _note_rejection(
        self, call: PlannedCall, target: Target, head: AnswerHead
    ) -> None:
        now = trio.current_time()
        self._targets.get_load(target).full_until = now + REJECTED_SECONDS
        self._health.note_cancelled(target.instance, now=now)
        logger.info(
            "rejected by a target",
            extra={
                "call": call.headers.call,
                "target": target.instance,
                "status": head.status,
            },
        )

    def _note_failure(
        self, call: PlannedCall, target: Target, error: Exception, *, dead: bool
    ) -> None:
        self._health.note_failure(target.instance, now=trio.current_time(), dead=dead)
        logger.warning(
            "a target failed",
            extra={
                "call": call.headers.call,
                "target": target.instance,
                "reason": str(error),
                "events": call.events,
            },
        )

    async def _pass_stream(
        self,
        connection: ServerConnection,
        call: PlannedCall,
        attempt: Attempt,
        headers: list[tuple[bytes, bytes]],
    ) -> float | None:
        """Passes events on as they arrive; returns the seconds an event took."""
        splitter = EventSplitter()
        events_before = call.events
        first_at = 0.0
        async for chunk in attempt.read_chunks():
            events = splitter.feed(chunk)
            if not events:
                continue
            if call.events == events_before:
                first_at = trio.current_time()
            if not call.answer_begun:
                # Begun with the first event, so that a target that breaks off
                # before it leaves the call free for another attempt.
                call.answer_begun = True
                FIRST_EVENT_SECONDS.observe(trio.current_time() - call.arrived)
                await connection.begin_answer(200, headers)
            for event in events:
                call.events += 1
                call.last_event = event.number or call.last_event
                if call.route.keeps_turns:
                    call.output += event.data + b"\n"
            await connection.send_body(b"".join(event.raw for event in events))
        if splitter.remainder:
            raise TargetBroke("The stream ended within an event.")
        pauses = call.events - events_before - 1
        pace = (trio.current_time() - first_at) / pauses if pauses > 0 else None
        if not call.answer_begun:
            call.answer_begun = True
            await connection.begin_answer(200, headers)
        if call.is_kept:
            await self._turns.keep(call)
        await connection.end_answer()
        return pace


def _is_stream(call: PlannedCall, head: AnswerHead) -> bool:
    """Tells whether an answer is passed on while it arrives."""
    return call.route.kind is CallKind.STREAM and head.status == 200


def _may_try_another(call: PlannedCall) -> bool:
    """Tells whether a call that a target failed may run at a further target."""
    if call.answer_begun or not call.route.repeatable:
        return False
    return len(call.counted) < call.route.attempts


def _limit_attempt(call: PlannedCall) -> trio.CancelScope:
    """Returns a scope that ends the attempt of a lookup that may go elsewhere."""
    if call.route.kind is not CallKind.IDEMPOTENT:
        return trio.CancelScope()
    if len(call.counted) >= call.route.attempts:
        return trio.CancelScope()
    seconds = max(MIN_LOOKUP_SECONDS, LOOKUP_TARGETS * call.route.target_seconds)
    return trio.CancelScope(deadline=trio.current_time() + seconds)


def _find_final_failure(call: PlannedCall, result: AttemptResult) -> Refusal | None:
    """Returns the refusal of a call that is not tried again, or None."""
    in_time = call.seconds_left > MIN_SECONDS_LEFT
    if result is AttemptResult.NOT_RUN:
        if in_time and call.rejections < MAX_REJECTIONS:
            return None
    elif (
        in_time
        and call.route.repeatable
        and len(call.tried) < call.route.attempts + MAX_REPEATS
    ):
        return None
    if call.tried:
        return OutcomeUnknown(
            f"{len(call.tried)} targets broke off; the call may have run."
        )
    return Overloaded(
        f"{call.rejections} targets rejected the call; come back later.",
        retry_after=REJECTED_SECONDS,
    )


def _correct_promise(call: PlannedCall | None, refusal: Refusal) -> Refusal:
    """Returns a refusal that does not promise "not run" of a call that may have run."""
    if call is None or not call.tried or refusal.status != Refusal.status:
        return refusal
    return OutcomeUnknown(f"{call.tried[-1]} may have run the call. {refusal}")


def _build_timeout(call: PlannedCall) -> Refusal:
    if call.tried:
        return TimedOut(
            f"No answer from {call.tried[-1]} in time; the call may have run."
        )
    return Overloaded(
        "The call waited for all of its time; it has not run.",
        retry_after=TIMEOUT_RETRY_SECONDS,
    )


def _check_answer(head: AnswerHead) -> None:
    """Raises TargetBroke when an answer cannot be a target's own."""
    if 200 <= head.status < 300 and not head.signed:
        raise TargetBroke(f"Got status {head.status} without a signature.")
    if head.status in (408, 421, 429, 503):
        # These promise the client that the call has not run; this target did not.
        raise TargetBroke(f"Got status {head.status} for a call that may have run.")
    if head.encoded:
        raise TargetBroke("Got a body with an encoding that nobody asked for.")


def _drop_length(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    return [(name, value) for name, value in headers if name != b"content-length"]


def _log_refusal(call: PlannedCall | None, head: RequestHead, refusal: Refusal) -> None:
    logger.warning(
        "refused",
        extra={
            "call": call.headers.call if call else None,
            "path": head.path.decode("latin-1"),
            "refusal": refusal.kind,
            "status": refusal.status,
            "reason": str(refusal),
            "retry_after": refusal.retry_after,
        },
    )


def _log_end(call: PlannedCall | None, outcome: str, arrived: float) -> None:
    kind = call.route.kind.value if call else "none"
    CALLS.labels(kind, outcome).inc()
    if call is None:
        return
    seconds = trio.current_time() - arrived
    if outcome == "answered":
        CALL_SECONDS.labels(kind).observe(seconds)
    logger.info(
        "call ended",
        extra={
            "call": call.headers.call,
            "program": call.headers.program,
            "route": call.route.name,
            "version": call.version,
            "outcome": outcome,
            "targets": call.tried,
            "events": call.events,
            "ms": round(seconds * 1000, 1),
        },
    )
