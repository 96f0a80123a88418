"""Runs of the model engine: a prompt and the answer that readers receive."""

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
    """State of a run."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    role: str
    content: str | None = None


class Usage(msgspec.Struct, frozen=True):
    """Token counts of one run; each word is one token."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


def build_answer(messages: tuple[Message, ...]) -> Words:
    """Returns the words of the answer, which depend only on the messages."""
    seed = hash_text(msgspec.json.encode(messages).decode())
    spread = MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS + 1
    count = MIN_ANSWER_TOKENS + seed % spread
    return tuple(
        f"w{hash_text(f'{seed}:{index}') % VOCABULARY_SIZE}" for index in range(count)
    )


@final
class Run:
    """Generation of the answer to one prompt.

    Attributes:
        state: State of the run.
        cached_tokens: Number of prompt tokens found in the prefix cache.
        words: Words of the answer generated so far.
        created: Creation time in seconds since 1970.
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
        full_answer = build_answer(messages)
        self.answer = full_answer[:max_tokens]
        self.finish_reason = (
            "stop" if len(self.answer) == len(full_answer) else "length"
        )
        self.state = RunState.QUEUED
        self.cached_tokens = 0
        self.words: list[str] = []
        self.created = time.time()
        self.cancel_scope = trio.CancelScope()
        self._changed = trio.Event()

    @property
    def is_finished(self) -> bool:
        """Whether the run is done or cancelled, so that no more words follow."""
        return self.state in (RunState.DONE, RunState.CANCELLED)

    def compute_usage(self) -> Usage:
        """Returns the token counts so far."""
        return Usage(len(self.prompt), self.cached_tokens, len(self.words))

    def set_state(self, state: RunState) -> None:
        """Changes the state and notifies the readers."""
        self.state = state
        if state is RunState.CANCELLED:
            self.finish_reason = "cancelled"
        self._notify_readers()

    def add_word(self, word: str) -> None:
        """Appends a word to the answer and notifies the readers."""
        self.words.append(word)
        self._notify_readers()

    async def read_tokens(self, offset: int) -> AsyncGenerator[str, None]:
        """Yields the tokens from an offset until the run is finished."""
        while True:
            while offset < len(self.words):
                yield get_token(self.words, offset)
                offset += 1
            if self.is_finished:
                return
            await self._changed.wait()

    async def wait_until_finished(self) -> None:
        """Waits until the run is done or cancelled."""
        while not self.is_finished:
            await self._changed.wait()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def get_token(words: list[str], index: int) -> str:
    """Returns a token of a text; the text is the concatenation of its tokens."""
    return words[index] if index == 0 else f" {words[index]}"
