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
    """Options of a stream; every stream carries its usage in the last chunk."""

    include_usage: bool = True


class ChatBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/chat/completions``.

    Fields that would change the form of the answer (``n``, ``tools`` and the like)
    are refused. The hints at the end are taken and not passed on.

    Attributes:
        model: Name of a model service of the team.
        messages: The chat.
        stream: Whether the answer comes as server-sent events.
        max_tokens: Most tokens of the answer.
        max_completion_tokens: Newer name of `max_tokens`.
        stream_options: Taken for compatibility.
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

    def to_model_body(self) -> ModelRequest:
        """Returns what the owner passes on to the engine."""
        limit = self.max_completion_tokens or self.max_tokens
        return ModelRequest(
            messages=[Message(one.role, one.content) for one in self.messages],
            max_tokens=limit or DEFAULT_ANSWER_TOKENS,
        )


class BeginBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs/begin``; the program may stand in its header."""

    kind: str
    program: str | None = None
    budget: Budget = Budget()


class EndBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs/end``; the program may stand in its header."""

    program: str | None = None
