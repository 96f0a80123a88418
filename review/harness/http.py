"""Minimal HTTP/1.1 messages on asyncio streams."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536


class BrokenMessage(Exception):
    """The connection ended before the message was complete."""


@dataclass
class Message:
    """A request or a response.

    Attributes:
        start: The three parts of the first line.
        headers: Header values by name in lower case.
        body: The whole body; empty while it is streamed.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns the head of the next message; None if the connection was closed."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenMessage("the head is incomplete") from error
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise BrokenMessage(repr(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    message = Message(lines[0].split(" ", 2))
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    return message


async def iterate_body(
    reader: asyncio.StreamReader, message: Message, *, until_close: bool
) -> AsyncIterator[bytes]:
    """Yields the parts of a body.

    Args:
        reader: The connection.
        message: Head of the message.
        until_close: Whether a body without a length ends with the connection.
    """
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                yield await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif "content-length" in message.headers:
            yield await reader.readexactly(int(message.headers["content-length"]))
        elif until_close:
            while data := await reader.read(65_536):
                yield data
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise BrokenMessage(f"the body is incomplete: {error!r}") from error


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next request with its body; None if the connection was closed."""
    message = await read_head(reader)
    if message is not None:
        parts = iterate_body(reader, message, until_close=False)
        message.body = b"".join([part async for part in parts])
    return message


def encode_head(start: str, headers: dict[str, str]) -> bytes:
    """Returns the encoded head of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns an encoded response with a length."""
    headers = {**headers, "Content-Length": str(len(body))}
    return encode_head(f"HTTP/1.1 {status} -", headers) + body


def encode_chunk(data: bytes) -> bytes:
    """Returns an encoded chunk; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
