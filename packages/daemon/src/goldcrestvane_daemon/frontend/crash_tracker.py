"""Tracks requests that crash targets.

Load pattern that this module handles: a request crashes each target that runs it, and
its caller sends it repeatedly, through any frontend.
"""

from itertools import islice
from typing import final

import msgspec
import trio
import xxhash

from goldcrestvane_common.ids import Fingerprint

MAX_DEATHS = 3
"""Number of targets that may die with one request before it is refused."""

RETENTION_SECONDS = 600.0
"""Time for which a request is tracked after the last death."""

MAX_TRACKED_REQUESTS = 10_000
"""Maximum number of tracked requests; they take about 1 MB."""


def build_fingerprint(method: bytes, path: bytes, body: bytes) -> Fingerprint:
    """Returns a hash that identifies repetitions of the same request."""
    digest = xxhash.xxh3_128(method + b" " + path + b"\n")
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class TrackedDeaths(msgspec.Struct, frozen=True, array_like=True):
    """Targets that died while they ran a request.

    Attributes:
        fingerprint: Identifies the request.
        targets: The targets.
        seconds_left: Time for which the request is still tracked.
    """

    fingerprint: Fingerprint
    targets: list[str]
    seconds_left: float = RETENTION_SECONDS


@final
class CrashTracker:
    """Records deaths of targets by the request that they ran."""

    def __init__(self) -> None:
        self._deaths: dict[Fingerprint, tuple[set[str], float]] = {}

    def record_deaths(
        self,
        fingerprint: Fingerprint,
        targets: list[str],
        seconds_left: float = RETENTION_SECONDS,
    ) -> bool:
        """Records deaths and returns whether any of them was new.

        Args:
            fingerprint: Identifies the request.
            targets: The targets that died.
            seconds_left: Time for which the request is tracked at least.
        """
        known, expires_at = self._deaths.pop(fingerprint, (set(), 0.0))
        is_new = not known.issuperset(targets)
        known.update(targets)
        expires_at = max(expires_at, trio.current_time() + seconds_left)
        self._deaths[fingerprint] = (known, expires_at)
        while len(self._deaths) > MAX_TRACKED_REQUESTS:
            del self._deaths[next(iter(self._deaths))]
        return is_new

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Returns whether a request is refused because too many targets died with it."""
        known, expires_at = self._deaths.get(fingerprint, (set(), 0.0))
        return len(known) >= MAX_DEATHS and trio.current_time() < expires_at

    def list_recent(self, maximum: int) -> list[TrackedDeaths]:
        """Returns the requests that were tracked last, up to a number, newest first."""
        now = trio.current_time()
        return [
            TrackedDeaths(fingerprint, sorted(targets), expires_at - now)
            for fingerprint, (targets, expires_at) in islice(
                reversed(self._deaths.items()), maximum
            )
            if expires_at > now
        ]

    @property
    def is_empty(self) -> bool:
        """Whether no death is recorded."""
        return not self._deaths
