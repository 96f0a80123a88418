"""Builds request bodies for trace records, with filler text for redacted bodies."""

import random
from typing import Any

import msgspec

from goldcrestvane_common.ids import hash_text
from goldcrestvane_common.trace import NO_BODY, MessageShape, TraceRecord

WORDS = (
    "shoe",
    "run",
    "left",
    "pace",
    "heel",
    "sole",
    "lace",
    "fit",
    "last",
    "road",
    "trail",
    "step",
)
MIN_PADDED_BYTES = len(b'{"padding":""}')


def build_body(record: TraceRecord) -> bytes:
    """Returns the body to send for a record.

    The hash of a redacted message determines its filler text, so that equal prefixes of
    two chats stay equal and an engine's prefix cache gets the same reuse. A redacted
    body of another request is padded to its recorded size.
    """
    if bytes(record.body) != bytes(NO_BODY):
        return bytes(record.body)
    if record.chat is not None:
        return _build_chat(record)
    if record.body_bytes < MIN_PADDED_BYTES:
        return b"null" if record.body_bytes else b""
    padding = "x" * (record.body_bytes - MIN_PADDED_BYTES)
    return msgspec.json.encode({"padding": padding})


def _build_chat(record: TraceRecord) -> bytes:
    assert record.chat is not None
    body: dict[str, Any] = {
        "model": record.chat.model,
        "messages": [
            {"role": shape.role, "content": _fill_text(shape)}
            for shape in record.chat.messages
        ],
        "stream": record.chat.stream,
    }
    if record.chat.max_tokens is not None:
        body["max_tokens"] = record.chat.max_tokens
    return msgspec.json.encode(body)


def _fill_text(shape: MessageShape) -> str:
    rng = random.Random(hash_text(shape.hash))
    text = ""
    while len(text) < shape.bytes:
        text += f"{rng.choice(WORDS)} "
    return text[: shape.bytes]
