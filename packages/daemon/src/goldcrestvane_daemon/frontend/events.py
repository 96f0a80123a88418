"""Splits a stream of events into whole events."""

from typing import final

import msgspec

DATA_FIELD = b"data:"
ID_FIELD = b"id:"


class StreamEvent(msgspec.Struct, frozen=True):
    """One event of a stream.

    Attributes:
        raw: Its bytes, with the blank line at the end.
        number: Its id, or None when it has none.
        data: Its data.
    """

    raw: bytes
    number: int | None
    data: bytes


@final
class EventSplitter:
    """Collects the bytes of a stream and gives out whole events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def remainder(self) -> bytes:
        """Bytes of an event that has not ended."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that have become whole."""
        self._buffer += data
        events = []
        while (end := self._buffer.find(b"\n\n")) >= 0:
            raw = bytes(self._buffer[: end + 2])
            del self._buffer[: end + 2]
            events.append(parse_event(raw))
        return events


def parse_event(raw: bytes) -> StreamEvent:
    """Returns the typed form of one event."""
    number = None
    data = []
    for line in raw.split(b"\n"):
        if line.startswith(DATA_FIELD):
            data.append(line[len(DATA_FIELD) :].removeprefix(b" "))
        elif line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            number = int(text) if text.isdigit() else None
    return StreamEvent(raw, number, b"\n".join(data))
