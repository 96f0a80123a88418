"""Wire format of the chat completions of the model engine stand-in."""

import uuid

import msgspec

from goldcrestvane_common.errors import InvalidRequest
from goldcrestvane_standins.runs import Message, Run

END_OF_STREAM = b"data: [DONE]\n\n"


class CompletionRequest(msgspec.Struct, frozen=True):
    """Body of a chat completion request."""

    messages: tuple[Message, ...]
    model: str = "stand-in"
    stream: bool = False
    max_tokens: int | None = None
    priority: int = 0
    stream_id: str | None = None
    session: str | None = None


def build_run(body: CompletionRequest) -> Run:
    """Returns the run for a completion request.

    Raises:
        InvalidRequest: `max_tokens` is out of range.
    """
    if body.max_tokens is not None and body.max_tokens < 1:
        raise InvalidRequest(
            f"max_tokens is {body.max_tokens}; it must be at least 1.",
            field="max_tokens",
        )
    return Run(
        stream_id=body.stream_id or uuid.uuid4().hex,
        session=body.session,
        model=body.model,
        messages=body.messages,
        max_tokens=body.max_tokens,
        priority=body.priority,
    )


def encode_completion(run: Run) -> dict:
    """Returns a finished run as a chat completion object."""
    message = {"role": "assistant", "content": " ".join(run.words)}
    choice = {"index": 0, "message": message, "finish_reason": run.finish_reason}
    return {
        "id": run.stream_id,
        "object": "chat.completion",
        "created": int(run.created),
        "model": run.model,
        "choices": [choice],
        "usage": run.compute_usage(),
    }


def encode_chunk(run: Run, token: str) -> bytes:
    """Returns the server-sent event for one token."""
    choice = {"index": 0, "delta": {"content": token}, "finish_reason": None}
    return _encode_event(run, {"choices": [choice]})


def encode_last_chunk(run: Run) -> bytes:
    """Returns the last chunk of a stream: the finish reason and the token usage."""
    choice = {"index": 0, "delta": {}, "finish_reason": run.finish_reason}
    return _encode_event(run, {"choices": [choice], "usage": run.compute_usage()})


def _encode_event(run: Run, fields: dict) -> bytes:
    chunk = {
        "id": run.stream_id,
        "object": "chat.completion.chunk",
        "created": int(run.created),
        "model": run.model,
        **fields,
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
