"""Bodies for the records of a trace; redacted ones are filled up to their size."""

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
PADDING_FRAME = len(b'{"padding":""}')


def build_body(record: TraceRecord) -> bytes:
    """Returns the body to send for a record.

    A redacted message becomes words that its hash chooses, so that equal prefixes of
    two chats stay equal and an engine's prefix cache sees the same reuse.
    """
    if bytes(record.body) != bytes(NO_BODY):
        return bytes(record.body)
    if record.chat is not None:
        return _build_chat(record)
    if record.body_bytes < PADDING_FRAME:
        return b"null" if record.body_bytes else b""
    padding = "x" * (record.body_bytes - PADDING_FRAME)
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
