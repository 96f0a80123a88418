"""Prefix cache of the model engine: the words kept for each session."""

from collections import OrderedDict, deque
from enum import Enum
from typing import final

import msgspec
import trio

MAX_EVENTS = 100_000

Words = tuple[str, ...]


class CacheEventKind(Enum):
    """What became of a session's prefix."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """One change; `tokens` is the length now held, or the length evicted."""

    sequence: int
    kind: CacheEventKind
    session: str
    tokens: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Events after a sequence number; `next` is where to go on."""

    events: list[CacheEvent]
    next: int


class CacheSnapshot(msgspec.Struct, frozen=True):
    """The tokens held for each session, as of one sequence number."""

    sequence: int
    sessions: dict[str, int]


@final
class PrefixCache:
    """Keeps one prefix a session; drops those used least recently when full.

    Attributes:
        capacity: Tokens that fit.
        tokens: Tokens held.
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
        """Returns the words held for a session."""
        return self._prefixes.get(session)

    def match(self, prompt: Words) -> int:
        """Returns the length of the longest held prefix of a prompt.

        The session that holds it counts as used now.
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
        """Holds the words of a session in place of its former ones."""
        words = words[: self.capacity]
        former = self._prefixes.pop(session, ())
        self.tokens -= len(former)
        while self.tokens + len(words) > self.capacity:
            self._evict(next(iter(self._prefixes)))
        self._prefixes[session] = words
        self.tokens += len(words)
        self._add_event(CacheEventKind.STORED, session, len(words))

    def release(self, session: str) -> int:
        """Drops a session's words and returns how many there were."""
        if session not in self._prefixes:
            return 0
        return self._evict(session)

    def take_snapshot(self) -> CacheSnapshot:
        """Returns what is held now."""
        sessions = {session: len(words) for session, words in self._prefixes.items()}
        return CacheSnapshot(self._sequence, sessions)

    def list_events(self, since: int) -> CacheEvents:
        """Returns the events after a sequence number that are old enough to show.

        Every `gap_every`-th event is left out; `next` passes over it.
        """
        horizon = trio.current_time() - self._event_lag
        visible = [event for at, event in self._events if at <= horizon]
        last = visible[-1].sequence if visible else 0
        events = [
            event
            for event in visible
            if event.sequence > since and not self._is_gap(event)
        ]
        return CacheEvents(events, last)

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
    """Returns the number of leading words that two texts share."""
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low
