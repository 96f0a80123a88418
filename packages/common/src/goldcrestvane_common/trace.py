"""The trace of what callers sent to an entry: JSON lines, a header first.

See docs/reference/trace.md.
"""

from collections.abc import Iterable
from typing import Final

import msgspec
import xxhash

TRACE_FORMAT: Final = "goldcrestvane-trace"
TRACE_VERSION: Final = 1
NO_BODY: Final = msgspec.Raw(b"null")


class InvalidTrace(Exception):
    """A line of a trace does not fit; the message names it."""


class TraceHeader(msgspec.Struct, frozen=True):
    """First line of a trace.

    Attributes:
        started: Seconds since the epoch, UTC.
        whole_bodies: Whether bodies are recorded, not just their sizes and hashes.
        format: Always `TRACE_FORMAT`.
        version: Version of the format.
    """

    started: float
    whole_bodies: bool
    format: str = TRACE_FORMAT
    version: int = TRACE_VERSION


class MessageShape(msgspec.Struct, frozen=True):
    """Size in bytes and hash of one chat message; equal texts have equal hashes."""

    role: str
    bytes: int
    hash: str


class ChatShape(msgspec.Struct, frozen=True, omit_defaults=True):
    """A chat without its texts."""

    model: str
    messages: list[MessageShape]
    stream: bool = False
    max_tokens: int | None = None


class TraceRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One request as its caller sent it.

    Attributes:
        at: Seconds since the start of the trace.
        method: HTTP method.
        path: Path of the request.
        team: Value of its header, as sent; so are the next three.
        program: Value of its header.
        sequence: Value of its header.
        timeout: Value of its header, in seconds.
        body_bytes: Size of the body.
        body_hash: Hash of the body.
        body: The body; null when it is redacted.
        chat: Shape of a redacted chat.
    """

    at: float
    method: str
    path: str
    team: str = ""
    program: str = ""
    sequence: str = ""
    timeout: str = ""
    body_bytes: int = 0
    body_hash: str = ""
    body: msgspec.Raw = NO_BODY
    chat: ChatShape | None = None


class Trace(msgspec.Struct, frozen=True):
    """A whole trace, its records in the order of arrival."""

    header: TraceHeader
    records: list[TraceRecord]


def hash_bytes(content: bytes) -> str:
    """Returns the hash that stands for redacted content."""
    return xxhash.xxh3_64_hexdigest(content)


def parse_trace(lines: Iterable[bytes]) -> Trace:
    """Returns the trace that JSON lines hold.

    Raises:
        InvalidTrace: A line does not fit the format; gives its number.
    """
    header: TraceHeader | None = None
    records = []
    for number, line in enumerate(lines, start=1):
        try:
            if header is None:
                header = msgspec.json.decode(line, type=TraceHeader)
            else:
                records.append(msgspec.json.decode(line, type=TraceRecord))
        except msgspec.DecodeError as error:
            raise InvalidTrace(
                f"Line {number} is no part of a trace: {error}. Record it again."
            ) from error
    if header is None or header.format != TRACE_FORMAT:
        raise InvalidTrace(
            f"The first line is no header of a {TRACE_FORMAT}; give a file that an "
            "entry recorded."
        )
    if header.version != TRACE_VERSION:
        raise InvalidTrace(
            f"Got version {header.version} of the format; expected {TRACE_VERSION}."
        )
    return Trace(header, records)
