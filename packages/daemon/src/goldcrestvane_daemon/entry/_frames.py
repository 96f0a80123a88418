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
    """Splits the chunks of a body into frames, one JSON line each."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> Iterator[StreamFrame]:
        """Yields the frames that a chunk completes.

        Raises:
            ExchangeBroken: A line is not a valid frame, or is too long.
        """
        *lines, self._buffer = (self._buffer + chunk).split(b"\n")
        for line in lines:
            yield _decode_frame(line)
        if len(self._buffer) > MAX_FRAME_BYTES:
            raise ExchangeBroken(f"A frame exceeds {MAX_FRAME_BYTES} bytes.")


def _decode_frame(line: bytes) -> StreamFrame:
    try:
        return _DECODER.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ExchangeBroken(f"Got an invalid frame: {error}.") from error


@final
@dataclass(kw_only=True)
class StreamProgress:
    """Part of a streamed answer that the caller has received.

    Attributes:
        head: Latest head of the answer; None before the first.
        length: Number of characters sent to the caller.
    """

    head: StreamHead | None = None
    length: int = 0

    def get_resume_position(self) -> StreamPosition | None:
        """Returns the position at which to resume; None before the first head."""
        if self.head is None:
            return None
        return StreamPosition(
            target=self.head.target,
            stream_id=self.head.stream_id,
            offset=self.length,
        )

    def is_same_stream(self, head: StreamHead) -> bool:
        """Returns whether a new head continues this answer; true before any text."""
        if self.head is None or self.length == 0:
            return True
        return head.stream_id == self.head.stream_id

    def take_unseen(self, delta: StreamDelta) -> StreamDelta | None:
        """Returns the part of a delta that the caller has not received, if any.

        Raises:
            ExchangeBroken: Text before the delta is missing.
        """
        already_sent = self.length - delta.offset
        if already_sent < 0:
            raise ExchangeBroken(
                f"Got text at character {delta.offset}; expected {self.length}."
            )
        text = delta.text[already_sent:] if already_sent else delta.text
        if not text:
            return None
        unseen = StreamDelta(offset=self.length, text=text)
        self.length += len(text)
        return unseen
