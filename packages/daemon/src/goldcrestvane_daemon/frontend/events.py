"""Parser for streams of server-sent events."""

import re
from enum import Enum
from typing import final

import msgspec

MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = re.compile(rb"\n\r?\n")
MAX_END_BYTES = 3
"""An empty line, behind a line that ends with a line feed; lines may end with CRLF."""

_FIELD_NAME = re.compile(rb"[A-Za-z0-9_-]+")
_COMMENT_FIELDS = frozenset((b"event", b"retry"))
"""Fields that a block without an event may have."""

MAX_ID_DIGITS = 18
"""Digits of a numeric id, which fits into 64 bits."""


class EventTooLong(Exception):
    """An event has more than `MAX_EVENT_BYTES` bytes."""


class BlockKind(Enum):
    """What the bytes up to an empty line are.

    Only events are output: they start a response, are charged, stored and copied, and end a
    pause.
    """

    EVENT = "event"
    """It has one numeric id. Streams are series of events with increasing ids."""

    COMMENT = "comment"
    """It has neither an id nor data, such as a comment that keeps a connection open."""

    INVALID = "invalid"
    """It belongs to no stream. The target is faulty."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One block of a stream, mostly an event.

    Attributes:
        raw: Bytes of the block, including the blank line at its end.
        number: Id of the event; None if it has no numeric id.
        data: Data of the event.
        kind: What the block is.
    """

    raw: bytes
    number: int | None
    data: bytes
    kind: BlockKind = BlockKind.EVENT

    @property
    def is_output(self) -> bool:
        """Whether the block is an event."""
        return self.kind is BlockKind.EVENT


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
    """Parses the bytes of one block."""
    ids: list[bytes] = []
    data: list[bytes] = []
    has_unknown_text = has_other_fields = False
    for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
        if not line or line.startswith(b":"):
            continue
        name, colon, value = line.partition(b":")
        if name == b"data":
            data.append(value.removeprefix(b" "))
        elif name == b"id":
            ids.append(value.strip())
        elif name not in _COMMENT_FIELDS:
            # Events may have fields that this version does not know.
            has_other_fields = True
            is_field = colon and _FIELD_NAME.fullmatch(name)
            has_unknown_text = has_unknown_text or not is_field
    number = _parse_id(ids)
    if has_unknown_text:
        kind = BlockKind.INVALID
    elif number is not None:
        kind = BlockKind.EVENT
    elif ids or data or has_other_fields:
        kind = BlockKind.INVALID
    else:
        kind = BlockKind.COMMENT
    return StreamEvent(raw, number, b"\n".join(data), kind)


def _parse_id(ids: list[bytes]) -> int | None:
    """Returns the number that is the only id of a block; None if it has no such id."""
    if len(ids) != 1 or not ids[0].isdigit() or len(ids[0]) > MAX_ID_DIGITS:
        return None
    return int(ids[0])
