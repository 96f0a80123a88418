"""HTTP/1.1 server and client on asyncio streams, as far as the stand-ins need it."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

BROKEN = (
    ConnectionError,
    OSError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
)
STREAM_LIMIT = 16 * 1024 * 1024


@dataclass
class Request:
    """One request that a stand-in received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Returns the next chunk of a body; the last one is empty."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handle: Handler
) -> None:
    """Serves the requests of one connection one after another."""
    with contextlib.suppress(*BROKEN):
        while True:
            first, headers = await read_head(reader)
            method, path, _ = first.split(" ", 2)
            body = await _read_body(reader, headers)
            await handle(Request(method, path, headers, body), writer)
            await writer.drain()


def build_message(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


@dataclass
class Answer:
    """What a client got.

    Attributes:
        status: Status; 0 if no answer began.
        headers: Its headers.
        body: Its body as far as it arrived.
        complete: Whether the answer is complete.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    @property
    def events(self) -> list[tuple[int, bytes]]:
        """Ids and data of the complete events."""
        found = []
        for raw in self.body.split(b"\n\n")[:-1]:
            fields = dict(line.split(b": ", 1) for line in raw.split(b"\n"))
            found.append((int(fields[b"id"]), fields[b"data"]))
        return found


async def send_request(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    seconds: float,
    on_data: Callable[[Answer], None] = lambda answer: None,
) -> Answer:
    """Sends a request on a new connection and reads its answer.

    Args:
        address: Host and port.
        method: Method of the request.
        path: Its path.
        headers: Its headers, without a length.
        body: Its body.
        seconds: Time after which the client gives up.
        on_data: Called after each part of the answer.
    """
    answer = Answer()
    with contextlib.suppress(TimeoutError, ValueError, *BROKEN):
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address, limit=STREAM_LIMIT)
            try:
                message = build_message(f"{method} {path} HTTP/1.1", headers, body)
                writer.write(message)
                await writer.drain()
                await _read_answer(reader, answer, on_data)
            finally:
                writer.close()
    return answer


async def _read_answer(
    reader: asyncio.StreamReader, answer: Answer, on_data: Callable[[Answer], None]
) -> None:
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split()[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            answer.body += chunk
            on_data(answer)
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.complete = True
