"""Attempts of calls at targets, and the outcomes that they record."""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import ServiceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.clock import get_elapsed_time
from goldcrestvane_daemon.frontend.call_context import CallContext, get_fingerprint
from goldcrestvane_daemon.frontend.call_log import build_program_fields
from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker
from goldcrestvane_daemon.frontend.event_reader import EventReader, compute_patience
from goldcrestvane_daemon.frontend.memory_budget import MemoryBudget
from goldcrestvane_daemon.frontend.metrics import FIRST_EVENT_SECONDS
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.frontend.queue import ServiceQueue
from goldcrestvane_daemon.frontend.rate_limits import TargetRateLimits
from goldcrestvane_daemon.frontend.refusals import StreamStalled
from goldcrestvane_daemon.frontend.stream_origins import StreamOrigins
from goldcrestvane_daemon.frontend.target_responses import (
    remove_content_length,
    validate_response,
)
from goldcrestvane_daemon.frontend.turn_output import OutputCopies
from goldcrestvane_daemon.frontend.turn_recorder import TurnRecorder
from goldcrestvane_daemon.frontend.upstream import (
    ConnectFailed,
    TargetConnectionPool,
    TargetFailed,
    TargetRequest,
)
from goldcrestvane_daemon.http1 import ServerConnection
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.platform.headers import ResponseHead, build_target_headers
from goldcrestvane_daemon.routes import CallKind
from goldcrestvane_daemon.targets import Target, TargetTable
from goldcrestvane_daemon.tasks import Task, run_supervised

LOOKUP_TIMEOUT_FACTOR = 2.0
"""Multiple of the route's objective after which a lookup goes to another target."""

MIN_LOOKUP_TIMEOUT_SECONDS = 0.25
"""Minimum timeout of a lookup. Healthy targets take at most 0.11 s."""

FAILURE_SILENCE_SECONDS = 1.0
"""Time without a response that counts as a failure of the target."""

MAX_PRIORITY = 9

ANOTHER_INSTANCE_STATUS = 421
"""Status of a process at the target's address that is not the target."""

REJECTION_RETRY_SECONDS = 0.05
"""Time for which a target that rejected a call gets no calls. A slot usually becomes
free within this time."""

logger = get_logger("call")


class AttemptResult(Enum):
    """Result of one attempt."""

    ANSWERED = "answered"
    """The client received the whole response."""

    NOT_RUN = "not_run"
    """The target did not run the call and never will."""

    LOST = "lost"
    """The target may have run the call."""


class AttemptReport(msgspec.Struct, frozen=True):
    """Outcome of one attempt.

    Attributes:
        result: Result of the attempt.
        healthy: Whether the target worked correctly.
        event_seconds: Mean interval between two events; None if unknown.
    """

    result: AttemptResult
    healthy: bool = True
    event_seconds: float | None = None


@final
class AttemptRunner:
    """Sends calls to targets and forwards their responses."""

    def __init__(
        self,
        *,
        targets: TargetTable,
        health: HealthTracker,
        turns: TurnRecorder,
        copies: OutputCopies,
        origins: StreamOrigins,
        crash_tracker: CrashTracker,
        frontends: FrontendPeers,
        rate_limits: TargetRateLimits,
        response_memory: MemoryBudget,
        nursery: trio.Nursery,
        on_slowdown: Callable[[ServiceId], None],
    ) -> None:
        self._on_slowdown = on_slowdown
        self._targets = targets
        self._health = health
        self._turns = turns
        self._copies = copies
        self._origins = origins
        self._crash_tracker = crash_tracker
        self._frontends = frontends
        self._nursery = nursery
        self._rate_limits = rate_limits
        self._connections = TargetConnectionPool(self._handle_head, response_memory)

    def _handle_head(self, target: Target, head: ResponseHead) -> None:
        if head.leaving and self._targets.mark_leaving(target):
            logger.info("a target leaves", extra={"target": target.instance})
        if head.load is not None and head.load.slowdown is not None:
            self._on_slowdown(target.service)
        if head.status != ANOTHER_INSTANCE_STATUS:
            self._rate_limits.observe(target, head.rate_limit)

    def remove_target(self, target: Target) -> None:
        """Drops the state and the connections of a target that no longer exists."""
        self._health.forget(target.instance)
        self._rate_limits.forget(target)
        self._nursery.start_soon(
            run_supervised,
            Task.CONNECTION_CLOSE,
            self._connections.close_target,
            target,
        )

    async def run(
        self,
        connection: ServerConnection,
        call: CallContext,
        target: Target,
        queue: ServiceQueue,
        connection_headers: list[tuple[bytes, bytes]],
    ) -> AttemptResult:
        """Sends the call to one target and forwards its response."""
        began = trio.current_time()
        try:
            report = await self._exchange(
                connection, call, target, queue, connection_headers
            )
        except ConnectFailed as error:
            self._record_failure(call, target, error, unreachable=True)
            if error.refused:
                self._record_end(target)
            if target.instance in call.attempted_targets:
                call.departed_targets.add(target.instance)
            return AttemptResult.NOT_RUN
        except TargetFailed as error:
            if error.is_blameless:
                self._health.record_cancellation(
                    target.instance, now=trio.current_time()
                )
                return AttemptResult.LOST
            self._record_failure(call, target, error, unreachable=False)
            if error.connection_lost:
                self._nursery.start_soon(
                    run_supervised, Task.DEATH_REPORT, self._detect_crash, call, target
                )
            return AttemptResult.LOST
        except StreamStalled as error:
            # The client has left by now, so no other target continues the stream.
            self._record_failure(call, target, error, unreachable=False)
            raise
        except BaseException:
            # The client disconnected or the deadline passed. Only a long silence counts
            # against the target.
            now = trio.current_time()
            if not call.response_started and now - began > FAILURE_SILENCE_SECONDS:
                self._health.record_failure(target.instance, now=now, unreachable=False)
            else:
                self._health.record_cancellation(target.instance, now=now)
            raise
        if report.result is AttemptResult.ANSWERED:
            self._record_response(target, queue, report)
            self._clear_deaths(call)
        return report.result

    def _record_response(
        self, target: Target, queue: ServiceQueue, report: AttemptReport
    ) -> None:
        if not report.healthy:
            now = trio.current_time()
            self._health.record_failure(target.instance, now=now, unreachable=False)
            return
        slowdown = self._targets.get_load(target).slowdown.mean
        slowness = queue.compute_slowness(
            report.event_seconds, slowdown=slowdown or 1.0
        )
        self._health.record_success(target.instance, slowness=slowness)

    async def _exchange(
        self,
        connection: ServerConnection,
        call: CallContext,
        target: Target,
        queue: ServiceQueue,
        connection_headers: list[tuple[bytes, bytes]],
    ) -> AttemptReport:
        """Sends the call on one connection and forwards the response.

        Raises:
            ConnectFailed: Nothing was sent.
            TargetFailed: The target may have run the call.
        """
        recorded = await self._origins.start_recording(call, target)
        async with TargetRequest(
            self._connections, target, call=call.headers.call
        ) as request:
            call.attempted_targets.append(target.instance)
            body: bytes | None = None
            with _create_lookup_timeout(call) as timeout:
                head = await self._send(call, target, request)
                call.is_framed = request.is_framed
                queue.update_load(target, head.load)
                if not _is_stream(call, head):
                    body = await request.read_body()
            if timeout.cancelled_caught:
                raise TargetFailed("No response in time; another target may run it.")
            if not head.executed:
                self._record_rejection(call, target, head)
                call.attempted_targets.pop()
                return AttemptReport(AttemptResult.NOT_RUN)
            validate_response(head)
            if head.status >= 500 and _may_retry(call):
                raise TargetFailed(f"Got status {head.status}.")
            if body is not None and call.response_started:
                raise TargetFailed(
                    f"Got status {head.status} for the rest of a stream."
                )
            event_seconds = None
            headers = remove_content_length(head.forwarded) + connection_headers
            if body is None:

                async def handle_first_event() -> None:
                    now = trio.current_time()
                    queue.prompt_reading.record_first_event(call.prompt, now=now)
                    await self._origins.fix_origin(call, target, recorded)

                event_seconds = await self._forward_stream(
                    connection, call, request, headers, handle_first_event
                )
            else:
                call.response_started = True
                await connection.respond(head.status, headers, body)
        healthy = head.status < 500
        return AttemptReport(
            AttemptResult.ANSWERED, healthy=healthy, event_seconds=event_seconds
        )

    async def _send(
        self, call: CallContext, target: Target, request: TargetRequest
    ) -> ResponseHead:
        parts = call.body_parts
        headers = build_target_headers(
            call.headers,
            instance=target.instance,
            seconds_left=call.seconds_left,
            body_length=sum(map(len, parts)),
            priority=min(call.priority, MAX_PRIORITY),
            last_event=call.last_event,
            account=call.account_id,
        )
        head, now = call.head, trio.current_time()
        logger.info(
            "sent to a target",
            extra={
                **build_program_fields(call),
                "target": target.instance,
                "software": target.software,
                "last_event": call.last_event,
                "resumes": call.headers.resumes,
                "load": round(self._targets.get_load(target).estimate(now), 1),
                "waited_ms": round((now - call.arrived) * 1000, 1),
                "standing": call.admission_class.value,
            },
        )
        response = await request.send(head.method, head.path, headers, parts)
        if response.executed:
            call.drop_chain()
        return response

    def _record_rejection(
        self, call: CallContext, target: Target, head: ResponseHead
    ) -> None:
        now = trio.current_time()
        self._targets.get_load(target).rejects_until = now + REJECTION_RETRY_SECONDS
        self._health.record_cancellation(target.instance, now=now)
        logger.info(
            "rejected by a target",
            extra={
                "call": call.headers.call,
                "target": target.instance,
                "status": head.status,
            },
        )

    def _record_failure(
        self, call: CallContext, target: Target, error: Exception, *, unreachable: bool
    ) -> None:
        self._health.record_failure(
            target.instance, now=trio.current_time(), unreachable=unreachable
        )
        logger.warning(
            "a target failed",
            extra={
                "call": call.headers.call,
                "target": target.instance,
                "reason": str(error),
                "events": call.events,
            },
        )

    def _record_end(self, target: Target) -> None:
        if self._targets.mark_ended(target, now=get_elapsed_time()):
            logger.info(
                "a target seems to have ended",
                extra={
                    "target": target.instance,
                    "software": target.software,
                    "born_ms": target.born_ms,
                },
            )

    async def _forward_stream(
        self,
        connection: ServerConnection,
        call: CallContext,
        request: TargetRequest,
        headers: list[tuple[bytes, bytes]],
        handle_first_event: Callable[[], Awaitable[None]],
    ) -> float | None:
        """Forwards events as they arrive and returns their mean interval in seconds.

        Args:
            connection: Connection of the client.
            call: The call.
            request: Request at the target.
            headers: Headers of the response.
            handle_first_event: Called before the first event of the target is forwarded.
        """
        reader = EventReader(
            request,
            patience_seconds=compute_patience(call.route),
            has_events=call.events > 0,
            sequence=call.sequence,
        )
        events_before = call.events
        first_at = 0.0
        if call.output.data:
            await request.hold(len(call.output.data))
        while (blocks := await reader.read()) is not None:
            events = [each for each in blocks if each.is_output]
            if events and call.events == events_before:
                first_at = trio.current_time()
                await handle_first_event()
                if events_before == 0 and call.copies_output:
                    assert call.headers.call is not None
                    self._copies.start(call.headers.call, call.output)
            if events and not call.response_started:
                # The response starts with the first event. If the target fails before
                # that, the call can still be attempted at another target.
                call.response_started = True
                FIRST_EVENT_SECONDS.observe(trio.current_time() - call.arrived)
                await connection.start_response(200, headers)
            for event in events:
                call.events += 1
                if call.route.stores_turns:
                    await request.hold(len(event.data))
                    call.output.add(event)
            if call.response_started:
                await connection.send_body(b"".join(each.raw for each in blocks))
        intervals = call.events - events_before - 1
        event_seconds = None
        if intervals > 0 and not reader.left_unread:
            event_seconds = (trio.current_time() - first_at) / intervals
        if not call.response_started:
            call.response_started = True
            await connection.start_response(200, headers)
        if call.is_stored:
            await self._turns.store(call)
        await connection.end_response()
        return event_seconds

    async def _detect_crash(self, call: CallContext, target: Target) -> None:
        """Checks whether a failed target has died, and reports its death to peers."""
        if await self._detect_end(target):
            fingerprint = get_fingerprint(call)
            # A target that starts again under its id may die again.
            deaths = [target.lifetime]
            self._crash_tracker.record_deaths(fingerprint, deaths)
            self._frontends.report_deaths(fingerprint, deaths)
            logger.warning(
                "a target died with a request",
                extra={
                    "call": call.headers.call,
                    "target": target.instance,
                    "fingerprint": fingerprint,
                    "events": call.events,
                    "deaths": self._crash_tracker.count_deaths(fingerprint),
                    "blocked": self._crash_tracker.is_blocked(fingerprint),
                },
            )

    def _clear_deaths(self, call: CallContext) -> None:
        """Records that a target survived a request, here and at other frontends."""
        if self._crash_tracker.is_empty:
            return
        fingerprint = get_fingerprint(call)
        cleared = self._crash_tracker.clear(fingerprint)
        if not cleared:
            return
        self._frontends.report_deaths(fingerprint, [], cleared)
        logger.info(
            "a request is cleared of deaths of targets",
            extra={
                "call": call.headers.call,
                "fingerprint": fingerprint,
                "targets": cleared,
            },
        )

    async def _detect_end(self, target: Target) -> bool:
        """Returns whether a failed target accepts no connection; records its end if so."""
        try:
            stream = await self._connections.connect(target)
        except ConnectFailed as error:
            if error.refused:
                self._record_end(target)
            return True
        await trio.aclose_forcefully(stream)
        return False


def _is_stream(call: CallContext, head: ResponseHead) -> bool:
    """Returns whether a response is forwarded while it arrives."""
    return call.route.kind is CallKind.STREAM and head.status == 200


def _may_retry(call: CallContext) -> bool:
    """Returns whether a call may run at another target after a failure."""
    if call.response_started or not call.route.repeatable:
        return False
    return len(call.counted_targets) < call.route.max_attempts


def _create_lookup_timeout(call: CallContext) -> trio.CancelScope:
    """Returns a scope that cancels a lookup that another target can still run."""
    if call.route.kind is not CallKind.IDEMPOTENT:
        return trio.CancelScope()
    if len(call.counted_targets) >= call.route.max_attempts:
        return trio.CancelScope()
    seconds = max(
        MIN_LOOKUP_TIMEOUT_SECONDS, LOOKUP_TIMEOUT_FACTOR * call.route.objective_seconds
    )
    return trio.CancelScope(deadline=trio.current_time() + seconds)
