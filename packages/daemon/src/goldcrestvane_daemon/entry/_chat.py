"""Writes answers of models in the form of OpenAI's chat completions."""

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
    """Details of the prompt's tokens."""

    cached_tokens: int


class ChatUsage(msgspec.Struct, frozen=True):
    """Tokens of a chat completion."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptDetails


class AnswerMessage(msgspec.Struct, frozen=True):
    """The message that a model answered."""

    content: str
    role: str = "assistant"


class Choice(msgspec.Struct, frozen=True):
    """The only choice of a whole answer."""

    message: AnswerMessage
    index: int = 0
    finish_reason: str = "stop"


class Completion(msgspec.Struct, frozen=True):
    """Body of a whole answer."""

    id: str
    created: int
    model: str
    choices: list[Choice]
    usage: ChatUsage
    object: str = "chat.completion"


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a chunk adds to the message."""

    role: str | None = None
    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True):
    """The only choice of a chunk."""

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
    """Returns the body of a whole answer."""
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
    """Returns an id that is the same for each repetition of a call."""
    number = hash_text(f"{call.team}\n{call.program}\n{call.sequence}")
    return f"chatcmpl-{number:016x}"


def build_usage(usage: TokenUsage) -> ChatUsage:
    """Returns the usage in OpenAI's form."""
    return ChatUsage(
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        total_tokens=usage.total,
        prompt_tokens_details=PromptDetails(usage.cached_tokens),
    )


@final
class EventWriter:
    """Writes the server-sent events of one streamed answer.

    The chunks of one answer differ in their text alone, so that the bytes around it
    are made once.
    """

    def __init__(self, call: CallRequest) -> None:
        self._id = build_completion_id(call)
        self._created = int(time.time())
        self._model = call.service
        frame = self._write_chunk(ChunkChoice(Delta(content="\0")))
        self._before, self._after = frame.split(b'"\\u0000"')

    def write_start(self) -> bytes:
        """Returns the first event, which tells the role."""
        return self._write_chunk(ChunkChoice(Delta(role="assistant", content="")))

    def write_text(self, text: str) -> bytes:
        """Returns an event with further text."""
        return self._before + msgspec.json.encode(text) + self._after

    def write_end(self, end: StreamEnd) -> bytes:
        """Returns the last events of a whole answer."""
        choice = ChunkChoice(Delta(), finish_reason=end.finish_reason)
        return self._write_chunk(choice, usage=build_usage(end.usage)) + DONE_EVENT

    def _write_chunk(
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


def write_error_event(error: ServiceError) -> bytes:
    """Returns the last event of an answer that failed."""
    body = msgspec.json.encode(ErrorEnvelope(error.to_body()))
    return b"event: error\ndata: " + body + b"\n\n"


async def write_events(
    writer: EventWriter,
    frames: AsyncIterator[StreamHead | StreamDelta | StreamEnd],
) -> AsyncIterator[bytes]:
    """Yields the events of an answer whose head was read already.

    A failure becomes an error event in place of ``[DONE]``, and is raised after it
    has been passed on.
    """
    async with aclosing(frames):
        yield writer.write_start()
        try:
            async for frame in frames:
                if isinstance(frame, StreamDelta):
                    yield writer.write_text(frame.text)
                elif isinstance(frame, StreamEnd):
                    yield writer.write_end(frame)
        except ServiceError as error:
            failure = error
        else:
            return
        yield write_error_event(failure)
        raise failure
