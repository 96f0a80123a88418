"""Formats the answers of models as OpenAI chat completions."""

import time
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import final

import msgspec

from goldcrestvane_common.errors import ErrorEnvelope, ServiceError
from goldcrestvane_common.ids import hash_text
from goldcrestvane_common.messages import (
    CallRequest,
    CallResponse,
    StreamDelta,
    StreamEnd,
    StreamHead,
    TokenUsage,
)

DONE_EVENT = b"data: [DONE]\n\n"


class PromptDetails(msgspec.Struct, frozen=True):
    """Breakdown of the prompt tokens."""

    cached_tokens: int


class ChatUsage(msgspec.Struct, frozen=True):
    """Token usage of a chat completion."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptDetails


class AnswerMessage(msgspec.Struct, frozen=True):
    """The message that a model returned."""

    content: str
    role: str = "assistant"


class Choice(msgspec.Struct, frozen=True):
    """The single choice of a complete answer."""

    message: AnswerMessage
    index: int = 0
    finish_reason: str = "stop"


class Completion(msgspec.Struct, frozen=True):
    """Body of a complete answer."""

    id: str
    created: int
    model: str
    choices: list[Choice]
    usage: ChatUsage
    object: str = "chat.completion"


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """The part of the message that a chunk adds."""

    role: str | None = None
    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True):
    """The single choice of a chunk."""

    delta: Delta
    index: int = 0
    finish_reason: str | None = None


class Chunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of a streamed answer."""

    id: str
    object: str
    created: int
    model: str
    choices: list[ChunkChoice]
    usage: ChatUsage | None = None


def build_completion(call: CallRequest, answer: CallResponse) -> Completion:
    """Returns the body of a complete answer."""
    text = msgspec.json.decode(answer.value, type=str)
    return Completion(
        id=build_completion_id(call),
        created=int(time.time()),
        model=call.service,
        choices=[
            Choice(
                message=AnswerMessage(content=text), finish_reason=answer.finish_reason
            )
        ],
        usage=build_usage(answer.usage),
    )


def build_completion_id(call: CallRequest) -> str:
    """Returns an id that is the same each time a call is repeated."""
    number = hash_text(f"{call.team}\n{call.program}\n{call.sequence}")
    return f"chatcmpl-{number:016x}"


def build_usage(usage: TokenUsage) -> ChatUsage:
    """Returns the token usage in OpenAI's format."""
    return ChatUsage(
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        total_tokens=usage.total,
        prompt_tokens_details=PromptDetails(usage.cached_tokens),
    )


@final
class EventEncoder:
    """Encodes the server-sent events of one streamed answer.

    The text chunks of an answer differ only in their text, so the bytes before and
    after the text are encoded once.
    """

    def __init__(self, call: CallRequest) -> None:
        self._id = build_completion_id(call)
        self._created = int(time.time())
        self._model = call.service
        event = self._encode_chunk(ChunkChoice(Delta(content="\0")))
        self._before, self._after = event.split(b'"\\u0000"')

    def encode_start(self) -> bytes:
        """Returns the first event, which carries the role."""
        return self._encode_chunk(ChunkChoice(Delta(role="assistant", content="")))

    def encode_text(self, text: str) -> bytes:
        """Returns an event with the next part of the text."""
        return self._before + msgspec.json.encode(text) + self._after

    def encode_end(self, end: StreamEnd) -> bytes:
        """Returns the last events of a complete answer."""
        choice = ChunkChoice(Delta(), finish_reason=end.finish_reason)
        return self._encode_chunk(choice, usage=build_usage(end.usage)) + DONE_EVENT

    def _encode_chunk(
        self, choice: ChunkChoice, *, usage: ChatUsage | None = None
    ) -> bytes:
        chunk = Chunk(
            id=self._id,
            object="chat.completion.chunk",
            created=self._created,
            model=self._model,
            choices=[choice],
            usage=usage,
        )
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def encode_error_event(error: ServiceError) -> bytes:
    """Returns the last event of a failed answer."""
    body = msgspec.json.encode(ErrorEnvelope(error.to_body()))
    return b"event: error\ndata: " + body + b"\n\n"


async def encode_events(
    encoder: EventEncoder,
    frames: AsyncIterator[StreamHead | StreamDelta | StreamEnd],
) -> AsyncIterator[bytes]:
    """Yields the events of an answer whose head has already been read.

    A failure is sent as an error event in place of ``[DONE]`` and then raised.
    """
    async with aclosing(frames):
        yield encoder.encode_start()
        try:
            async for frame in frames:
                if isinstance(frame, StreamDelta):
                    yield encoder.encode_text(frame.text)
                elif isinstance(frame, StreamEnd):
                    yield encoder.encode_end(frame)
        except ServiceError as error:
            failure = error
        else:
            return
        yield encode_error_event(failure)
        raise failure
