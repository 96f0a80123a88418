"""Trace of the requests that callers sent to an entry: a header and JSON lines.

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
    """A line of a trace is not valid; the message gives its number."""


class TraceHeader(msgspec.Struct, frozen=True):
    """First line of a trace.

    Attributes:
        started: Seconds since the epoch, UTC.
        whole_bodies: Whether bodies are recorded, or only their sizes and hashes.
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
    """A chat request without the texts of its messages."""

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
        team: Value of the team header, as sent.
        program: Value of the program header, as sent.
        sequence: Value of the sequence header, as sent.
        timeout: Value of the timeout header in seconds, as sent.
        body_bytes: Size of the body.
        body_hash: Hash of the body.
        body: The body; null if it is redacted.
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
    """A complete trace, with its records in order of arrival."""

    header: TraceHeader
    records: list[TraceRecord]


def hash_bytes(content: bytes) -> str:
    """Returns the hash that replaces redacted content."""
    return xxhash.xxh3_64_hexdigest(content)


def parse_trace(lines: Iterable[bytes]) -> Trace:
    """Parses the JSON lines of a trace.

    Raises:
        InvalidTrace: A line does not match the format; the message gives its number.
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
                f"Line {number} of the trace is not valid: {error}. Record it again."
            ) from error
    if header is None or header.format != TRACE_FORMAT:
        raise InvalidTrace(
            f"The first line is not the header of a {TRACE_FORMAT}; give a file that "
            "an entry recorded."
        )
    if header.version != TRACE_VERSION:
        raise InvalidTrace(
            f"Got version {header.version} of the format, expected {TRACE_VERSION}."
        )
    return Trace(header, records)
