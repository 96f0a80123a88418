"""Simulates targets with fixed token rates and a prefix cache of limited size."""

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
    """The target is down, or crashed while it ran the call."""

    def __init__(self, *, reached: bool) -> None:
        super().__init__("target closed the connection")
        self.reached = reached


@final
class PrefixCache:
    """Cache of the prefix tokens of each session, with LRU eviction."""

    def __init__(
        self, capacity: int, record_eviction: Callable[[ProgramId, int], None]
    ) -> None:
        self.capacity = capacity
        self.used = 0
        self._record_eviction = record_eviction
        self._sessions: OrderedDict[ProgramId, int] = OrderedDict()

    def find(self, session: ProgramId) -> int:
        """Returns the cached tokens of a session and marks it as recently used."""
        if session not in self._sessions:
            return 0
        self._sessions.move_to_end(session)
        return self._sessions[session]

    def store(self, session: ProgramId, tokens: int) -> None:
        """Replaces the cached prefix of a session and evicts others if necessary."""
        self.release(session)
        self._sessions[session] = tokens
        self.used += tokens
        while self.used > self.capacity:
            self._evict(self.used - self.capacity)

    def release(self, session: ProgramId) -> None:
        """Removes the prefix of a session."""
        self.used -= self._sessions.pop(session, 0)

    def clear(self) -> None:
        """Removes all prefixes."""
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
        self._record_eviction(session, left)


@final
class FakeTarget:
    """A simulated target with its gate.

    Attributes:
        instance: Id of the sidecar that serves the target.
        domain: Failure domain.
        gate: The product's gate.
        cache: Prefix cache, which has no capacity for a tool.
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
        """Returns the load that the sidecar reports."""
        return self.gate.load()

    async def generate(
        self, session: ProgramId, *, prompt_tokens: int, answer_tokens: int
    ) -> TokenUsage:
        """Runs a model call and returns its token usage."""
        cached = min(self.cache.find(session), prompt_tokens)
        seconds = (prompt_tokens - cached) * self._prefill_seconds
        seconds += answer_tokens * self._decode_seconds
        await self.work(seconds)
        self.cache.store(session, prompt_tokens + answer_tokens)
        return TokenUsage(prompt_tokens, cached, answer_tokens)

    async def work(self, seconds: float) -> None:
        """Occupies a slot for a time.

        Raises:
            TargetDied: The target is down, or crashed during the call.
        """
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

    def crash(self) -> None:
        """Aborts all calls and clears the cache."""
        self.dead = True
        self.cache.clear()
        for scope in self._scopes:
            scope.cancel()

    def restart(self) -> None:
        """Accepts calls again, with an empty cache."""
        self.dead = False
