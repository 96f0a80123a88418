"""Prefix cache of the model engine: the cached words of each session."""

from collections import OrderedDict, deque
from enum import Enum
from typing import final

import msgspec
import trio

MAX_EVENTS = 100_000

Words = tuple[str, ...]


class CacheEventKind(Enum):
    """Type of change to a session's prefix."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """One change; `tokens` is the length of the stored or evicted prefix."""

    sequence: int
    kind: CacheEventKind
    session: str
    tokens: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Events after a sequence number; `next` is the number to continue from."""

    events: list[CacheEvent]
    next: int


class CacheSnapshot(msgspec.Struct, frozen=True):
    """Number of cached tokens of each session at a sequence number."""

    sequence: int
    sessions: dict[str, int]


@final
class PrefixCache:
    """Caches one prefix per session and evicts the least recently used when full.

    Attributes:
        capacity: Maximum number of cached tokens.
        tokens: Number of cached tokens.
    """

    def __init__(self, *, capacity: int, event_lag: float, gap_every: int) -> None:
        self.capacity = capacity
        self.tokens = 0
        self._prefixes: OrderedDict[str, Words] = OrderedDict()
        self._sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._event_lag = event_lag
        self._gap_every = gap_every

    def find(self, session: str) -> Words | None:
        """Returns the cached words of a session, or None."""
        return self._prefixes.get(session)

    def match(self, prompt: Words) -> int:
        """Returns the length of the longest cached prefix of a prompt.

        The session with this prefix becomes the most recently used one.
        """
        best_length, best_session = 0, None
        for session, words in self._prefixes.items():
            length = measure_common_prefix(prompt, words)
            if length > best_length:
                best_length, best_session = length, session
        if best_session is not None:
            self._prefixes.move_to_end(best_session)
        return best_length

    def store(self, session: str, words: Words) -> None:
        """Caches the words of a session and replaces its previous ones."""
        words = words[: self.capacity]
        previous = self._prefixes.pop(session, ())
        self.tokens -= len(previous)
        while self.tokens + len(words) > self.capacity:
            self._evict(next(iter(self._prefixes)))
        self._prefixes[session] = words
        self.tokens += len(words)
        self._add_event(CacheEventKind.STORED, session, len(words))

    def release(self, session: str) -> int:
        """Evicts the words of a session and returns their number."""
        if session not in self._prefixes:
            return 0
        return self._evict(session)

    def take_snapshot(self) -> CacheSnapshot:
        """Returns the current content of the cache."""
        sessions = {session: len(words) for session, words in self._prefixes.items()}
        return CacheSnapshot(self._sequence, sessions)

    def list_events(self, since: int) -> CacheEvents:
        """Returns the events after a sequence number that are older than the lag.

        Every `gap_every`-th event is omitted, but `next` includes its sequence number.
        """
        cutoff = trio.current_time() - self._event_lag
        visible = [event for at, event in self._events if at <= cutoff]
        last_sequence = visible[-1].sequence if visible else 0
        events = [
            event
            for event in visible
            if event.sequence > since and not self._is_gap(event)
        ]
        return CacheEvents(events, last_sequence)

    def _is_gap(self, event: CacheEvent) -> bool:
        return self._gap_every > 0 and event.sequence % self._gap_every == 0

    def _evict(self, session: str) -> int:
        words = self._prefixes.pop(session)
        self.tokens -= len(words)
        self._add_event(CacheEventKind.EVICTED, session, len(words))
        return len(words)

    def _add_event(self, kind: CacheEventKind, session: str, tokens: int) -> None:
        self._sequence += 1
        event = CacheEvent(self._sequence, kind, session, tokens)
        self._events.append((trio.current_time(), event))


def measure_common_prefix(first: Words, second: Words) -> int:
    """Returns the length of the common prefix of two word sequences."""
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low
