"""Fake targets: a queue with rates, and a prefix cache of limited size."""

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import final

import trio

from goldcrestvane_common.ids import DomainId, InstanceId, ProgramId
from goldcrestvane_common.messages import (
    TargetLoad,
    TokenUsage,
)
from goldcrestvane_daemon.gate import Gate, GateOptions


class TargetDied(Exception):
    """The target is dead, or died while it ran the call."""

    def __init__(self, *, reached: bool) -> None:
        super().__init__("target closed the connection")
        self.reached = reached


@final
class PrefixCache:
    """Tokens cached for each session; the least recently used go first."""

    def __init__(
        self, capacity: int, record_eviction: Callable[[ProgramId, int], None]
    ) -> None:
        self.capacity = capacity
        self.used = 0
        self._note_evicted = record_eviction
        self._sessions: OrderedDict[ProgramId, int] = OrderedDict()

    def find(self, session: ProgramId) -> int:
        """Returns the cached tokens of a session and marks them as used."""
        if session not in self._sessions:
            return 0
        self._sessions.move_to_end(session)
        return self._sessions[session]

    def store(self, session: ProgramId, tokens: int) -> None:
        """Puts a session's prefix in place of its earlier one."""
        self.release(session)
        self._sessions[session] = tokens
        self.used += tokens
        while self.used > self.capacity:
            self._evict(self.used - self.capacity)

    def release(self, session: ProgramId) -> None:
        """Frees a session's prefix."""
        self.used -= self._sessions.pop(session, 0)

    def clear(self) -> None:
        """Frees everything."""
        self._sessions.clear()
        self.used = 0

    def _evict(self, tokens: int) -> None:
        session, held = next(iter(self._sessions.items()))
        left = max(0, held - tokens)
        self.used -= held - left
        if left:
            self._sessions[session] = left
        else:
            del self._sessions[session]
        self._note_evicted(session, left)


@final
class FakeTarget:
    """One target with its gate.

    Attributes:
        instance: Id of the sidecar beside it.
        domain: Failure domain.
        gate: The product's gate.
        cache: Prefix cache; of no size for a tool.
    """

    def __init__(
        self,
        instance: InstanceId,
        domain: DomainId,
        *,
        slots: int,
        cache: PrefixCache,
        prefill_seconds: float = 0.0,
        decode_seconds: float = 0.0,
    ) -> None:
        self.instance = instance
        self.domain = domain
        self.cache = cache
        self.gate = Gate(GateOptions(slots=slots))
        self.dead = False
        self.hung = False
        self._prefill_seconds = prefill_seconds
        self._decode_seconds = decode_seconds
        self._scopes: dict[trio.CancelScope, None] = {}

    def load(self) -> TargetLoad:
        """Returns what the sidecar reports."""
        return self.gate.load()

    async def generate(
        self, session: ProgramId, *, prompt_tokens: int, answer_tokens: int
    ) -> TokenUsage:
        """Runs a model call."""
        cached = min(self.cache.find(session), prompt_tokens)
        seconds = (prompt_tokens - cached) * self._prefill_seconds
        seconds += answer_tokens * self._decode_seconds
        await self.work(seconds)
        self.cache.store(session, prompt_tokens + answer_tokens)
        return TokenUsage(prompt_tokens, cached, answer_tokens)

    async def work(self, seconds: float) -> None:
        """Keeps a slot busy, unless the target hangs or dies meanwhile."""
        if self.dead:
            raise TargetDied(reached=False)
        with trio.CancelScope() as scope:
            self._scopes[scope] = None
            try:
                await trio.sleep(math.inf if self.hung else seconds)
            finally:
                del self._scopes[scope]
        if scope.cancelled_caught:
            raise TargetDied(reached=True)

    def die(self) -> None:
        """Ends all calls and loses the cache."""
        self.dead = True
        self.cache.clear()
        for scope in self._scopes:
            scope.cancel()

    def restart(self) -> None:
        """Takes calls again, with an empty cache."""
        self.dead = False
