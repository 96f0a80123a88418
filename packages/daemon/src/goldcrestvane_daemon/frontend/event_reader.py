"""Reads the events of a stream and ends a stream that has stalled."""

import math
from typing import final

import trio

from goldcrestvane_daemon.frontend.event_sequence import EventSequence
from goldcrestvane_daemon.frontend.events import (
    BlockKind,
    EventSplitter,
    EventTooLong,
    StreamEvent,
)
from goldcrestvane_daemon.frontend.metrics import DISORDERED_EVENTS, INVALID_BLOCKS
from goldcrestvane_daemon.frontend.refusals import StreamStalled
from goldcrestvane_daemon.frontend.upstream import TargetFailed, TargetRequest
from goldcrestvane_daemon.routes import Route

MIN_PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_EVENT_GAPS = 8.0
"""A client of the platform abandons a stream after a gap of 2 s, 4 times the route's
objective or 8 times its longest allowed pause, whichever is longest."""

STALL_MARGIN_SECONDS = 1.0
"""Margin by which a stream outlasts the patience of its client, whose clock starts when
the last event has crossed the network."""

UNREAD_SECONDS = 1.0
"""Time for which a response may stay unread, because its client reads slowly, before the
target is right to cut it off. Targets do so after some seconds."""

MAX_PARTS_WITHOUT_EVENT = 1024
"""Chunks and comments between two events. Sound targets send an event in a few chunks."""

MAX_SHOWN_BYTES = 60
"""Part of an invalid block that the log shows."""


def compute_patience(route: Route) -> float:
    """Returns the seconds between two events after which clients abandon a stream."""
    gap = route.max_event_gap_seconds
    return max(
        MIN_PATIENCE_SECONDS,
        PATIENCE_OBJECTIVES * route.objective_seconds,
        PATIENCE_EVENT_GAPS * gap if math.isfinite(gap) else 0.0,
    )


@final
class EventReader:
    """Reads the events of one response.

    Only time that is spent waiting for the target counts as a stall. Before the first
    event of a call only the call's deadline applies.

    Comments are returned as well, and count neither as events nor as the end of a stall.

    Attributes:
        left_unread: Whether the response was left unread for `UNREAD_SECONDS`.
    """

    def __init__(
        self,
        request: TargetRequest,
        *,
        patience_seconds: float,
        has_events: bool,
        sequence: EventSequence,
    ) -> None:
        """Creates a reader.

        Args:
            request: Request at the target.
            patience_seconds: Seconds without an event after which the client has left.
            has_events: Whether the client already has events of the stream.
            sequence: Order of the events that the client has. The events that are read
                are added.
        """
        self._request = request
        self._chunks = request.read_chunks(may_be_small=True)
        self._splitter = EventSplitter()
        self._max_wait = patience_seconds + STALL_MARGIN_SECONDS
        self._has_events = has_events
        self._sequence = sequence
        self._failure: TargetFailed | None = None
        self._has_read = False
        self._parts_without_event = 0
        self._waited = 0.0
        self._read_at = trio.current_time()
        self.left_unread = False

    async def read(self) -> list[StreamEvent] | None:
        """Returns the next events and comments; None at the end of the stream.

        Raises:
            TargetFailed: The response is invalid, an event is out of order, or the
                response ended in the middle of an event or without any. All events
                before that were returned.
            StreamStalled: No event arrived for longer than the client waits.
        """
        began = trio.current_time()
        self.left_unread = self.left_unread or began - self._read_at > UNREAD_SECONDS
        try:
            return await self._read_in_time(began)
        except TargetFailed as error:
            error.left_unread = self.left_unread
            raise
        finally:
            self._read_at = trio.current_time()

    async def _read_in_time(self, began: float) -> list[StreamEvent] | None:
        left = self._max_wait - self._waited if self._has_events else math.inf
        with trio.move_on_after(max(0.0, left)):
            events = await self._read_events()
            if any(each.is_output for each in events or ()):
                self._has_events = True
                self._waited = 0.0
            else:
                self._waited += trio.current_time() - began
            return events
        raise StreamStalled(f"The target sent no event for {self._max_wait} s.")

    async def _read_events(self) -> list[StreamEvent] | None:
        if self._failure is not None:
            raise self._failure
        while (chunk := await anext(self._chunks, None)) is not None:
            try:
                events = self._splitter.feed(chunk)
            except EventTooLong as error:
                raise TargetFailed(str(error)) from error
            self._count_parts(events)
            if events:
                return self._take_valid(events)
        if self._splitter.remainder:
            raise TargetFailed(
                "The stream ended in the middle of an event.",
                connection_lost=not self._request.is_framed,
            )
        if not self._has_read and not self._request.is_framed:
            raise TargetFailed(
                "The stream ended with its connection, without an event.",
                connection_lost=True,
            )
        return None

    def _count_parts(self, events: list[StreamEvent]) -> None:
        """Counts the parts of a response since its last event.

        Raises:
            TargetFailed: There are too many.
        """
        if any(each.is_output for each in events):
            self._parts_without_event = 0
            return
        self._parts_without_event += 1 + len(events)
        if self._parts_without_event > MAX_PARTS_WITHOUT_EVENT:
            raise TargetFailed(
                f"Got {self._parts_without_event} chunks and comments without an event, "
                f"expected at most {MAX_PARTS_WITHOUT_EVENT}."
            )

    def _take_valid(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Returns what comes before the first block that is invalid or out of order.

        Raises:
            TargetFailed: That is the first block. For a later one, the next call to `read`
                raises it.
        """
        for index, event in enumerate(events):
            self._failure = self._check(event)
            if self._failure is None:
                self._has_read = self._has_read or event.is_output
                continue
            if index == 0:
                raise self._failure
            return events[:index]
        return events

    def _check(self, event: StreamEvent) -> TargetFailed | None:
        """Returns why the stream cannot go on with a block; None if it does."""
        if event.kind is BlockKind.COMMENT:
            return None
        if event.kind is BlockKind.INVALID or event.number is None:
            INVALID_BLOCKS.inc()
            return TargetFailed(
                f"Got {event.raw[:MAX_SHOWN_BYTES]!r}, expected an event with an id."
            )
        last = self._sequence.last
        if self._sequence.advance(event.number):
            return None
        DISORDERED_EVENTS.inc()
        return TargetFailed(
            f"Got event {event.number} after event {last}, expected a greater id.",
            after_stated_event=self._sequence.is_stated,
        )
