"""Records what callers sent and when, for a later replay.

Bodies are reduced to sizes and hashes, unless the operator wants them whole. Tokens
are never recorded. A slow disk costs records, never a caller's time.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import final

import msgspec
import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    encode_json_line,
)
from goldcrestvane_common.routing import (
    Request,
)
from goldcrestvane_common.trace import (
    NO_BODY,
    ChatShape,
    MessageShape,
    TraceHeader,
    TraceRecord,
    hash_bytes,
)
from goldcrestvane_daemon.entry._bodies import ChatBody
from goldcrestvane_daemon.entry._headers import (
    PROGRAM_HEADER,
    SEQUENCE_HEADER,
    TEAM_HEADER,
    TIMEOUT_HEADER,
)
from goldcrestvane_daemon.observability import RequestKind

MAX_WAITING_RECORDS = 4096
MAX_TEXT_CHARACTERS = 512

PLAIN_KINDS = {RequestKind.PROGRAM_BEGIN, RequestKind.PROGRAM_END}
"""Kinds whose bodies hold names and limits alone."""

logger = get_logger("trace")


@final
@dataclass(frozen=True, kw_only=True)
class TraceOptions:
    """Where and how an entry records.

    Attributes:
        path: File to write; an older one is replaced.
        whole_bodies: Whether bodies are recorded as they came.
        max_bytes: Size at which the recording ends.
    """

    path: Path
    whole_bodies: bool = False
    max_bytes: int = 1024**3


@final
class TraceRecorder:
    """Writes a trace in the background.

    Attributes:
        dropped: Records that were lost to a slow disk or the size limit.
    """

    def __init__(self, options: TraceOptions) -> None:
        self._options = options
        self._started = trio.current_time()
        self._bytes_left = options.max_bytes
        self._send, self._receive = trio.open_memory_channel[bytes](MAX_WAITING_RECORDS)
        self.dropped = 0

    def record(self, request: Request, kind: RequestKind) -> None:
        """Records a request that has just arrived."""
        line = encode_json_line(self._build_record(request, kind))
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            self._drop("The trace has reached its largest size.")
            return
        try:
            self._send.send_nowait(line)
        except (trio.WouldBlock, trio.BrokenResourceError):
            self._drop("The disk is too slow for the trace, or failed.")

    async def run(self) -> None:
        """Writes records until cancelled; a failing disk ends the recording alone."""
        header = TraceHeader(time.time(), self._options.whole_bodies)
        path = self._options.path
        try:
            async with await trio.open_file(path, "wb", buffering=0) as file:
                await file.write(encode_json_line(header))
                try:
                    await self._write_all(file.write)
                finally:
                    with trio.CancelScope(shield=True):
                        await file.write(self._take_waiting())
        except OSError as error:
            logger.error("recording ended: %s", error)
        finally:
            self._receive.close()

    async def _write_all(self, write: Callable[[bytes], Awaitable[object]]) -> None:
        async for line in self._receive:
            with trio.CancelScope(shield=True):
                await write(line + self._take_waiting())

    def _take_waiting(self) -> bytes:
        lines = []
        while True:
            try:
                lines.append(self._receive.receive_nowait())
            except (trio.WouldBlock, trio.EndOfChannel):
                return b"".join(lines)

    def _drop(self, reason: str) -> None:
        if not self.dropped:
            logger.warning("records are dropped from now on: %s", reason)
        self.dropped += 1

    def _build_record(self, request: Request, kind: RequestKind) -> TraceRecord:
        whole = self._options.whole_bodies or kind in PLAIN_KINDS
        return TraceRecord(
            at=round(trio.current_time() - self._started, 6),
            method=request.method,
            path=request.path[:MAX_TEXT_CHARACTERS],
            team=_read_first(request, TEAM_HEADER),
            program=_read_first(request, PROGRAM_HEADER),
            sequence=_read_first(request, SEQUENCE_HEADER),
            timeout=_read_first(request, TIMEOUT_HEADER),
            body_bytes=len(request.body),
            body_hash=hash_bytes(request.body),
            body=_take_json(request.body) if whole else NO_BODY,
            chat=_measure_chat(request.body) if kind is RequestKind.CHAT else None,
        )


def _read_first(request: Request, name: str) -> str:
    """Returns a header without the checks that a request must pass."""
    for key, value in request.headers:
        if key == name:
            return value[:MAX_TEXT_CHARACTERS]
    return ""


def _take_json(body: bytes) -> msgspec.Raw:
    """Returns a body on one line; one that is no JSON is left out."""
    try:
        return msgspec.Raw(msgspec.json.encode(msgspec.json.decode(body)))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return NO_BODY


def _measure_chat(body: bytes) -> ChatShape | None:
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    shapes = []
    for message in chat.messages:
        content = message.content.encode()
        shapes.append(MessageShape(message.role, len(content), hash_bytes(content)))
    limit = chat.max_completion_tokens or chat.max_tokens
    return ChatShape(chat.model, shapes, chat.stream, limit)
