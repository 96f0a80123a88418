"""Runs of the model engine: a prompt, its answer and who reads it."""

import time
from collections.abc import AsyncGenerator
from enum import Enum
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import hash_text
from goldcrestvane_standins.prefixes import Words

MIN_ANSWER_TOKENS = 12
MAX_ANSWER_TOKENS = 40
VOCABULARY_SIZE = 1000


class RunState(Enum):
    """How far a run is."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    role: str
    content: str | None = None


class Usage(msgspec.Struct, frozen=True):
    """Tokens of one run; a token is a word."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


def build_answer(messages: tuple[Message, ...]) -> Words:
    """Returns the words of the answer, the same for the same messages."""
    seed = hash_text(msgspec.json.encode(messages).decode())
    spread = MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS + 1
    count = MIN_ANSWER_TOKENS + seed % spread
    return tuple(
        f"w{hash_text(f'{seed}:{index}') % VOCABULARY_SIZE}" for index in range(count)
    )


@final
class Run:
    """One run of a prompt.

    Attributes:
        state: How far it is.
        cached_tokens: Prompt tokens that were found in the cache.
        words: Words of the answer so far.
        created: Seconds since 1970 at which it was asked for.
    """

    def __init__(
        self,
        *,
        stream_id: str,
        session: str | None,
        model: str,
        messages: tuple[Message, ...],
        max_tokens: int | None,
        priority: int,
    ) -> None:
        self.stream_id = stream_id
        self.session = session
        self.model = model
        self.messages = messages
        self.priority = priority
        self.prompt: Words = tuple(
            word for message in messages for word in (message.content or "").split()
        )
        whole = build_answer(messages)
        self.answer = whole[:max_tokens]
        self.finish_reason = "stop" if len(self.answer) == len(whole) else "length"
        self.state = RunState.QUEUED
        self.cached_tokens = 0
        self.words: list[str] = []
        self.created = time.time()
        self.scope = trio.CancelScope()
        self._changed = trio.Event()

    @property
    def is_over(self) -> bool:
        """Whether no more words will come."""
        return self.state in (RunState.DONE, RunState.CANCELLED)

    def measure_usage(self) -> Usage:
        """Returns the tokens used so far."""
        return Usage(len(self.prompt), self.cached_tokens, len(self.words))

    def set_state(self, state: RunState) -> None:
        """Changes the state and wakes the readers."""
        self.state = state
        if state is RunState.CANCELLED:
            self.finish_reason = "cancelled"
        self._wake()

    def add_word(self, word: str) -> None:
        """Adds a word of the answer and wakes the readers."""
        self.words.append(word)
        self._wake()

    async def read_tokens(self, offset: int) -> AsyncGenerator[str, None]:
        """Yields the tokens from an offset until the run is over."""
        while True:
            while offset < len(self.words):
                yield get_token(self.words, offset)
                offset += 1
            if self.is_over:
                return
            await self._changed.wait()

    async def wait_until_over(self) -> None:
        """Waits until no more words will come."""
        while not self.is_over:
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def get_token(words: list[str], index: int) -> str:
    """Returns a token of a text; all tokens joined give the text."""
    return words[index] if index == 0 else f" {words[index]}"
