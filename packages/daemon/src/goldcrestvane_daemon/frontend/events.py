"""Parser for streams of server-sent events."""

from typing import final

import msgspec

DATA_FIELD = b"data:"
ID_FIELD = b"id:"


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

    @property
    def remainder(self) -> bytes:
        """Buffered bytes of an incomplete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds data and returns the events that it completes."""
        self._buffer += data
        events = []
        while (end := self._buffer.find(b"\n\n")) >= 0:
            raw = bytes(self._buffer[: end + 2])
            del self._buffer[: end + 2]
            events.append(parse_event(raw))
        return events


def parse_event(raw: bytes) -> StreamEvent:
    """Parses the bytes of one event."""
    number = None
    data = []
    for line in raw.split(b"\n"):
        if line.startswith(DATA_FIELD):
            data.append(line[len(DATA_FIELD) :].removeprefix(b" "))
        elif line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            number = int(text) if text.isdigit() else None
    return StreamEvent(raw, number, b"\n".join(data))
