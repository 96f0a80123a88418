"""Clients of the system, as PROTOCOL describes them."""

from __future__ import annotations

import asyncio
import re
import secrets
import time

from harness_3.http import Head, encode_message, iterate_body, read_head
from harness_3.machines import Machine

PIECE = re.compile(rb"id: (\d+)\ndata: (.*)")


class Attempt:
    """One attempt of a client, with what it got."""

    def __init__(self, request: str, frontend: Machine, kind: str) -> None:
        self.request = request
        self.frontend = frontend
        self.kind = kind
        self.sent = time.monotonic()
        self.ended = None
        self.status = None
        self.headers = {}
        self.body = b""
        self.size = 0
        self.pieces = []
        self.is_whole = False
        self.error = ""
        self.resumes = None

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self.headers.get("content-type") == "text/event-stream"

    @property
    def is_signed(self) -> bool:
        """Whether the answer bears the signature of a server."""
        return "goldcrestvane-response-signature" in self.headers

    def __str__(self) -> str:
        taken = f" takes up {self.resumes}" if self.resumes else ""
        pieces = f" events {[n for n, _ in self.pieces]}" if self.pieces else ""
        end = "whole" if self.is_whole else f"cut off ({self.error})"
        seconds = f"{self.ended - self.sent:.3f} s" if self.ended else "open"
        return (
            f"{self.kind} {self.request}{taken} at {self.frontend.name}: "
            f"{self.status}{pieces} {end} {seconds}"
        )


def create_id() -> str:
    """Returns a new id."""
    return secrets.token_hex(8)


async def send(
    frontend: Machine,
    method: str,
    host: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    limit: float = 3.0,
    resumes: str | None = None,
) -> Attempt:
    """Sends one attempt on a new connection; returns it with its answer."""
    attempt = Attempt(create_id(), frontend, path.split("/")[1])
    attempt.resumes = resumes
    fields = {
        "Host": host,
        "Goldcrestvane-Request-Id": attempt.request,
        "Goldcrestvane-Deadline-Ms": str(int(limit * 1000)),
        **(headers or {}),
    }
    if resumes is not None:
        fields["Resumes"] = resumes
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(
                frontend.host, frontend.ports.client
            )
            writer.write(encode_message(f"{method} {path} HTTP/1.1", fields, body))
            head = await read_head(reader)
            if head is None:
                attempt.error = "no answer"
                return attempt
            attempt.status = int(head.start.split(" ")[1])
            attempt.headers = head.headers
            await _read_answer(attempt, reader, head)
    except (OSError, EOFError, TimeoutError) as error:
        attempt.error = attempt.error or repr(error)
    finally:
        attempt.ended = time.monotonic()
        if writer is not None:
            writer.close()
    return attempt


async def _read_answer(
    attempt: Attempt, reader: asyncio.StreamReader, head: Head
) -> None:
    buffer = b""
    async for part in iterate_body(reader, head):
        attempt.size += len(part)
        if not attempt.is_stream:
            attempt.body += part
            continue
        buffer += part
        end = buffer.rfind(b"\n\n")
        if end >= 0:
            whole, buffer = buffer[: end + 2], buffer[end + 2 :]
            found = PIECE.findall(whole)
            attempt.pieces += [(int(number), data) for number, data in found]
    attempt.is_whole = True
