"""Records the requests of callers with their arrival times, for a later replay.

Bodies are reduced to sizes and hashes unless the operator asks for whole bodies. Tokens
are never recorded. If the disk is slow, records are dropped; requests are not delayed.
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

MAX_QUEUED_RECORDS = 4096
MAX_TEXT_CHARACTERS = 512

UNREDACTED_KINDS = {RequestKind.PROGRAM_BEGIN, RequestKind.PROGRAM_END}
"""Kinds whose bodies contain only names and limits, and so are recorded whole."""

logger = get_logger("trace")


@final
@dataclass(frozen=True, kw_only=True)
class TraceOptions:
    """Options of a trace.

    Attributes:
        path: File to write; an existing file is replaced.
        whole_bodies: Whether whole bodies are recorded.
        max_bytes: Size limit of the trace; further records are dropped.
    """

    path: Path
    whole_bodies: bool = False
    max_bytes: int = 1024**3


@final
class TraceRecorder:
    """Writes a trace in the background.

    Attributes:
        dropped: Number of records dropped because of the disk or the size limit.
    """

    def __init__(self, options: TraceOptions) -> None:
        self._options = options
        self._started = trio.current_time()
        self._bytes_left = options.max_bytes
        self._send, self._receive = trio.open_memory_channel[bytes](MAX_QUEUED_RECORDS)
        self.dropped = 0

    def record(self, request: Request, kind: RequestKind) -> None:
        """Records a request that has just arrived."""
        line = encode_json_line(self._build_record(request, kind))
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            self._drop("The trace has reached its maximum size.")
            return
        try:
            self._send.send_nowait(line)
        except (trio.WouldBlock, trio.BrokenResourceError):
            self._drop("The disk has failed or is too slow for the trace.")

    async def run(self) -> None:
        """Writes records until cancelled; a disk error ends only the recording."""
        header = TraceHeader(time.time(), self._options.whole_bodies)
        path = self._options.path
        try:
            async with await trio.open_file(path, "wb", buffering=0) as file:
                await file.write(encode_json_line(header))
                try:
                    await self._write_all(file.write)
                finally:
                    with trio.CancelScope(shield=True):
                        await file.write(self._take_queued())
        except OSError as error:
            logger.error("trace recording stopped: %s", error)
        finally:
            self._receive.close()

    async def _write_all(self, write: Callable[[bytes], Awaitable[object]]) -> None:
        async for line in self._receive:
            with trio.CancelScope(shield=True):
                await write(line + self._take_queued())

    def _take_queued(self) -> bytes:
        lines = []
        while True:
            try:
                lines.append(self._receive.receive_nowait())
            except (trio.WouldBlock, trio.EndOfChannel):
                return b"".join(lines)

    def _drop(self, reason: str) -> None:
        if not self.dropped:
            logger.warning("dropping trace records: %s", reason)
        self.dropped += 1

    def _build_record(self, request: Request, kind: RequestKind) -> TraceRecord:
        include_body = self._options.whole_bodies or kind in UNREDACTED_KINDS
        return TraceRecord(
            at=round(trio.current_time() - self._started, 6),
            method=request.method,
            path=request.path[:MAX_TEXT_CHARACTERS],
            team=_get_first_header(request, TEAM_HEADER),
            program=_get_first_header(request, PROGRAM_HEADER),
            sequence=_get_first_header(request, SEQUENCE_HEADER),
            timeout=_get_first_header(request, TIMEOUT_HEADER),
            body_bytes=len(request.body),
            body_hash=hash_bytes(request.body),
            body=_compact_json(request.body) if include_body else NO_BODY,
            chat=_build_chat_shape(request.body) if kind is RequestKind.CHAT else None,
        )


def _get_first_header(request: Request, name: str) -> str:
    """Returns the first value of a header, truncated but not validated."""
    for key, value in request.headers:
        if key == name:
            return value[:MAX_TEXT_CHARACTERS]
    return ""


def _compact_json(body: bytes) -> msgspec.Raw:
    """Returns a JSON body on one line, or `NO_BODY` if it is not valid JSON."""
    try:
        return msgspec.Raw(msgspec.json.encode(msgspec.json.decode(body)))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return NO_BODY


def _build_chat_shape(body: bytes) -> ChatShape | None:
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
