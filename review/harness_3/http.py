"""Minimal HTTP/1.1 on asyncio streams, for the clients and servers of the cases."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping


class Head:
    """Start line and headers of a message; header names are in lower case."""

    def __init__(self, start: str, headers: dict[str, str]) -> None:
        self.start = start
        self.headers = headers

    def get(self, name: str, default: str = "") -> str:
        """Returns the value of a header."""
        return self.headers.get(name, default)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Returns the head of the next message; None if the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def iterate_body(
    reader: asyncio.StreamReader, head: Head
) -> AsyncIterator[bytes]:
    """Yields the parts of a body with a length or chunks.

    Raises:
        EOFError: The connection ended before the body.
    """
    try:
        if head.get("transfer-encoding").lower() == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return
                yield data[:size]
        else:
            size = int(head.get("content-length", "0"))
            if size:
                yield await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise EOFError("the body was cut off") from error


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Returns a whole body. Raises EOFError as `iterate_body`."""
    return b"".join([part async for part in iterate_body(reader, head)])


def encode_message(start: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Returns a message whose body has a length."""
    lines = [start]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
