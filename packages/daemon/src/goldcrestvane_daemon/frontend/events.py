"""Parser for streams of server-sent events."""

import re
from typing import final

import msgspec

MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = re.compile(rb"\n\r?\n")
MAX_END_BYTES = 3
"""An empty line, behind a line that ends with a line feed; lines may end with CRLF."""

DATA_FIELD = b"data:"
ID_FIELD = b"id:"

MAX_ID_DIGITS = 18
"""Digits of a numeric id, which fits into 64 bits."""


class EventTooLong(Exception):
    """An event has more than `MAX_EVENT_BYTES` bytes."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One event of a stream.

    Attributes:
        raw: Bytes of the event, including the blank line at its end.
        number: Id of the event; None if it has no numeric id.
        data: Data of the event.
    """

    raw: bytes
    number: int | None
    data: bytes


@final
class EventSplitter:
    """Buffers the bytes of a stream and splits them into events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def remainder(self) -> bytes:
        """Buffered bytes of an incomplete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds data and returns the events that it completes.

        Raises:
            EventTooLong: The data does not complete an event that is too long.
        """
        self._buffer += data
        events = []
        while (end := self._find_end()) is not None:
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._searched = 0
            events.append(parse_event(raw))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(
                f"Got {len(self._buffer)} bytes of an event without its end, "
                f"expected at most {MAX_EVENT_BYTES}."
            )
        # The end may begin with the last bytes of the buffer.
        self._searched = max(0, len(self._buffer) - MAX_END_BYTES + 1)
        return events

    def _find_end(self) -> int | None:
        """Returns the position behind the first event; None if it is incomplete."""
        match = EVENT_END.search(self._buffer, self._searched)
        return match.end() if match else None


def parse_event(raw: bytes) -> StreamEvent:
    """Parses the bytes of one event."""
    number = None
    data = []
    for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
        if line.startswith(DATA_FIELD):
            data.append(line[len(DATA_FIELD) :].removeprefix(b" "))
        elif line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            is_number = text.isdigit() and len(text) <= MAX_ID_DIGITS
            number = int(text) if is_number else None
    return StreamEvent(raw, number, b"\n".join(data))
