"""Reads the frames of an owner's streamed answer."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import final

import msgspec

from goldcrestvane_common.messages import (
    StreamDelta,
    StreamFrame,
    StreamHead,
    StreamPosition,
)
from goldcrestvane_common.transport import ExchangeBroken

MAX_FRAME_BYTES = 4 * 1024 * 1024

_DECODER = msgspec.json.Decoder(StreamFrame)


@final
class FrameReader:
    """Cuts chunks of a body into frames, one JSON line each."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, chunk: bytes) -> Iterator[StreamFrame]:
        """Yields the frames that a chunk completes.

        Raises:
            ExchangeBroken: A line is no frame, or too long.
        """
        *lines, self._rest = (self._rest + chunk).split(b"\n")
        for line in lines:
            yield _decode_frame(line)
        if len(self._rest) > MAX_FRAME_BYTES:
            raise ExchangeBroken(f"A frame exceeds {MAX_FRAME_BYTES} bytes.")


def _decode_frame(line: bytes) -> StreamFrame:
    try:
        return _DECODER.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ExchangeBroken(f"Got an unreadable frame: {error}.") from error


@final
@dataclass(kw_only=True)
class StreamProgress:
    """How far a streamed answer has come at the caller.

    Attributes:
        head: Latest head of the answer; None before the first.
        length: Characters passed on.
    """

    head: StreamHead | None = None
    length: int = 0

    def find_resume_point(self) -> StreamPosition | None:
        """Returns where to take the stream up again; None starts it."""
        if self.head is None:
            return None
        return StreamPosition(
            target=self.head.target,
            stream_id=self.head.stream_id,
            offset=self.length,
        )

    def is_same_stream(self, head: StreamHead) -> bool:
        """Returns whether the text under a new head belongs to this answer."""
        if self.head is None or self.length == 0:
            return True
        return head.stream_id == self.head.stream_id

    def take_new(self, delta: StreamDelta) -> StreamDelta | None:
        """Returns the part of a delta that the caller has not had, if any.

        Raises:
            ExchangeBroken: Text before the delta is missing.
        """
        known = self.length - delta.offset
        if known < 0:
            raise ExchangeBroken(
                f"Got text from character {delta.offset} on; expected {self.length}."
            )
        text = delta.text[known:] if known else delta.text
        if not text:
            return None
        taken = StreamDelta(offset=self.length, text=text)
        self.length += len(text)
        return taken
