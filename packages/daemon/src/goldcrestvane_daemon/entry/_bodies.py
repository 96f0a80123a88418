"""The JSON bodies that callers send."""

from typing import Annotated, Any, Literal

import msgspec

from goldcrestvane_common.messages import (
    Message,
    ModelRequest,
)
from goldcrestvane_common.settings import Budget

MAX_ANSWER_TOKENS = 1_000_000
DEFAULT_ANSWER_TOKENS = 256

TokenLimit = Annotated[int, msgspec.Meta(ge=1, le=MAX_ANSWER_TOKENS)]


class ChatMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One message of a chat."""

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str


class StreamOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Options of a stream; every stream reports its token usage in the last chunk."""

    include_usage: bool = True


class ChatBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/chat/completions``.

    Fields that would change the format of the answer, such as ``n`` above 1 or
    ``tools``, are refused. The fields after `stream_options` are accepted but not
    forwarded.

    Attributes:
        model: Name of a model service of the team.
        messages: Messages of the chat.
        stream: Whether the answer is sent as server-sent events.
        max_tokens: Maximum number of tokens in the answer.
        max_completion_tokens: Newer name of `max_tokens`; wins if both are set.
        stream_options: Accepted for compatibility; has no effect.
    """

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    stream: bool = False
    max_tokens: TokenLimit | None = None
    max_completion_tokens: TokenLimit | None = None
    stream_options: StreamOptions | None = None
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    user: str | None = None
    metadata: dict[str, Any] | None = None
    n: Literal[1] | None = None

    def to_model_request(self) -> ModelRequest:
        """Returns the request that the owner forwards to the engine."""
        limit = self.max_completion_tokens or self.max_tokens
        return ModelRequest(
            messages=[
                Message(message.role, message.content) for message in self.messages
            ],
            max_tokens=limit or DEFAULT_ANSWER_TOKENS,
        )


class BeginBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs/begin``; a header may name the program instead."""

    kind: str
    program: str | None = None
    budget: Budget = Budget()


class EndBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs/end``; a header may name the program instead."""

    program: str | None = None
