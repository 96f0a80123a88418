"""One attempt of a call at one target, and what is learnt of the target."""

from enum import Enum
from typing import final

import msgspec
import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.call_context import CallContext
from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker, build_fingerprint
from goldcrestvane_daemon.frontend.events import EventSplitter
from goldcrestvane_daemon.frontend.metrics import FIRST_EVENT_SECONDS
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.frontend.queue import ServiceQueue
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

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer that is held whole before it is passed on."""

LOOKUP_TARGETS = 2.0
"""Multiple of its objective after which a lookup is tried at another target."""

MIN_LOOKUP_SECONDS = 0.25
"""Shortest time that a target has for a lookup; healthy ones take 0.11 s at most."""

SILENT_SECONDS = 1.0
"""Time without an answer that counts as a failure of the target."""

MAX_PRIORITY = 9

REJECTION_RETRY_SECONDS = 0.05
"""Pause after a target rejected a call: the time in which a slot gets free."""

logger = get_logger("call")


class AttemptResult(Enum):
    """What became of one attempt."""

    ANSWERED = "answered"
    """The client has the whole answer."""

    NOT_RUN = "not_run"
    """The target did not run the call and never will."""

    LOST = "lost"
    """The target may have run the call."""


class AttemptReport(msgspec.Struct, frozen=True):
    """How one attempt ended.

    Attributes:
        result: What became of it.
        healthy: Whether the target did its work.
        event_seconds: Seconds an event, or a whole answer, took; None if that is
            not known.
    """

    result: AttemptResult
    healthy: bool = True
    event_seconds: float | None = None


@final
class AttemptRunner:
    """Sends calls to targets and passes their answers on."""

    def __init__(
        self,
        *,
        targets: TargetTable,
        health: HealthTracker,
        turns: TurnRecorder,
        crash_tracker: CrashTracker,
        frontends: FrontendPeers,
        nursery: trio.Nursery,
    ) -> None:
        self._targets = targets
        self._health = health
        self._turns = turns
        self._crash_tracker = crash_tracker
        self._frontends = frontends
        self._nursery = nursery
        self._connections = TargetConnectionPool()

    def forget(self, target: Target) -> None:
        """Drops what is known of a target that is gone."""
        self._health.forget(target.instance)
        self._nursery.start_soon(self._connections.forget, target)

    async def run(
        self,
        connection: ServerConnection,
        call: CallContext,
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
            self._note_failure(call, target, error, unreachable=True)
            if target.instance in call.attempted_targets:
                call.departed_targets.add(target.instance)
            return AttemptResult.NOT_RUN
        except TargetFailed as error:
            self._note_failure(call, target, error, unreachable=False)
            if error.before_response:
                self._nursery.start_soon(self._note_death, call, target)
            return AttemptResult.LOST
        except BaseException:
            # The client left, or the time ended; only a long silence says something.
            now = trio.current_time()
            if not call.response_started and now - began > SILENT_SECONDS:
                self._health.record_failure(target.instance, now=now, unreachable=False)
            else:
                self._health.record_cancellation(target.instance, now=now)
            raise
        if report.result is AttemptResult.ANSWERED:
            self._note_answer(target, queue, report)
        return report.result

    def _note_answer(
        self, target: Target, queue: ServiceQueue, report: AttemptReport
    ) -> None:
        if not report.healthy:
            now = trio.current_time()
            self._health.record_failure(target.instance, now=now, unreachable=False)
            return
        slowness = queue.compute_slowness(report.event_seconds)
        self._health.record_success(target.instance, slowness=slowness)

    async def _exchange(
        self,
        connection: ServerConnection,
        call: CallContext,
        target: Target,
        queue: ServiceQueue,
        answer_headers: list[tuple[bytes, bytes]],
    ) -> AttemptReport:
        """Sends the call on one connection and passes the answer on.

        Raises:
            ConnectFailed: Nothing was sent.
            TargetFailed: The target may have run the call.
        """
        async with TargetRequest(self._connections, target) as attempt:
            call.attempted_targets.append(target.instance)
            body: bytes | None = None
            with _limit_attempt(call) as limit:
                head = await self._send(call, target, attempt)
                queue.update_load(target, head.load)
                if not _is_stream(call, head):
                    body = await attempt.read_body(MAX_ANSWER_BYTES)
            if limit.cancelled_caught:
                raise TargetFailed("No answer; a lookup may run elsewhere as well.")
            if not head.executed:
                self._note_rejection(call, target, head)
                call.attempted_targets.pop()
                return AttemptReport(AttemptResult.NOT_RUN)
            _check_answer(head)
            if head.status >= 500 and _may_try_another(call):
                raise TargetFailed(f"Got status {head.status}.")
            event_seconds = None
            headers = _drop_length(head.forwarded) + answer_headers
            if body is None:
                event_seconds = await self._pass_stream(
                    connection, call, attempt, headers
                )
            else:
                call.response_started = True
                await connection.respond(head.status, headers, body)
        healthy = head.status < 500
        return AttemptReport(
            AttemptResult.ANSWERED, healthy=healthy, event_seconds=event_seconds
        )

    async def _send(
        self, call: CallContext, target: Target, attempt: TargetRequest
    ) -> ResponseHead:
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
                "standing": call.admission_class.value,
            },
        )
        return await attempt.send(
            head.method, head.path, headers, call.body, call=call.headers.call
        )

    def _note_rejection(
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

    def _note_failure(
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

    async def _pass_stream(
        self,
        connection: ServerConnection,
        call: CallContext,
        attempt: TargetRequest,
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
            if not call.response_started:
                # Begun with the first event, so that a target that breaks off
                # before it leaves the call free for another attempt.
                call.response_started = True
                FIRST_EVENT_SECONDS.observe(trio.current_time() - call.arrived)
                await connection.start_response(200, headers)
            for event in events:
                call.events += 1
                call.last_event = event.number or call.last_event
                if call.route.stores_turns:
                    call.output += event.data + b"\n"
            await connection.send_body(b"".join(event.raw for event in events))
        if splitter.remainder:
            raise TargetFailed("The stream ended within an event.")
        pauses = call.events - events_before - 1
        event_seconds = (
            (trio.current_time() - first_at) / pauses if pauses > 0 else None
        )
        if not call.response_started:
            call.response_started = True
            await connection.start_response(200, headers)
        if call.is_stored:
            await self._turns.store(call)
        await connection.end_response()
        return event_seconds

    async def _note_death(self, call: CallContext, target: Target) -> None:
        """Finds out whether a target that broke off has died, and tells the others."""
        try:
            stream = await self._connections.connect(target)
        except ConnectFailed:
            head = call.head
            fingerprint = build_fingerprint(head.method, head.path, call.client_body)
            deaths = [target.instance]
            self._crash_tracker.record_deaths(fingerprint, deaths)
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


def _is_stream(call: CallContext, head: ResponseHead) -> bool:
    """Tells whether an answer is passed on while it arrives."""
    return call.route.kind is CallKind.STREAM and head.status == 200


def _may_try_another(call: CallContext) -> bool:
    """Tells whether a call that a target failed may run at a further target."""
    if call.response_started or not call.route.repeatable:
        return False
    return len(call.counted_targets) < call.route.max_attempts


def _limit_attempt(call: CallContext) -> trio.CancelScope:
    """Returns a scope that ends the attempt of a lookup that may go elsewhere."""
    if call.route.kind is not CallKind.IDEMPOTENT:
        return trio.CancelScope()
    if len(call.counted_targets) >= call.route.max_attempts:
        return trio.CancelScope()
    seconds = max(MIN_LOOKUP_SECONDS, LOOKUP_TARGETS * call.route.objective_seconds)
    return trio.CancelScope(deadline=trio.current_time() + seconds)


def _check_answer(head: ResponseHead) -> None:
    """Raises TargetFailed when an answer cannot be a target's own."""
    if 200 <= head.status < 300 and not head.has_signature:
        raise TargetFailed(f"Got status {head.status} without a signature.")
    if head.status in (408, 421, 429, 503):
        # These promise the client that the call has not run; this target did not.
        raise TargetFailed(f"Got status {head.status} for a call that may have run.")
    if head.has_content_encoding:
        raise TargetFailed("Got a body with an encoding that nobody asked for.")


def _drop_length(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    return [(name, value) for name, value in headers if name != b"content-length"]
