"""Requests with which targets have died.

Load pattern that this answers: one request crashes each target that runs it, and its
caller sends it again and again, through any frontend.
"""

from typing import final

import trio
import xxhash

from goldcrestvane_common.ids import Fingerprint

MAX_DEATHS = 3
"""Targets that may die with one request before it is refused."""

MEMORY_SECONDS = 600.0
"""How long a request is remembered after the last death."""

MAX_SUSPECTS = 10_000
"""Requests that are remembered at a time; about a megabyte."""


def build_fingerprint(method: bytes, path: bytes, body: bytes) -> Fingerprint:
    """Returns what a request has in common with its repetitions."""
    digest = xxhash.xxh3_128(method + b" " + path + b"\n")
    digest.update(body)
    return Fingerprint(digest.hexdigest())


@final
class CrashTracker:
    """Deaths of targets, by the request that they ran."""

    def __init__(self) -> None:
        self._deaths: dict[Fingerprint, tuple[set[str], float]] = {}

    def record_deaths(self, fingerprint: Fingerprint, targets: list[str]) -> bool:
        """Takes in deaths; returns whether any was news."""
        known, _ = self._deaths.pop(fingerprint, (set(), 0.0))
        news = not known.issuperset(targets)
        known.update(targets)
        self._deaths[fingerprint] = (known, trio.current_time() + MEMORY_SECONDS)
        while len(self._deaths) > MAX_SUSPECTS:
            del self._deaths[next(iter(self._deaths))]
        return news

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Tells whether too many targets died with a request."""
        known, until = self._deaths.get(fingerprint, (set(), 0.0))
        return len(known) >= MAX_DEATHS and trio.current_time() < until

    @property
    def is_empty(self) -> bool:
        """Whether no death is known."""
        return not self._deaths
