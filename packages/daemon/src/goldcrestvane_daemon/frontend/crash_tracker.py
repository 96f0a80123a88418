"""Tracks requests that crash targets.

Load pattern that this module handles: a request crashes each target that runs it, and
its caller sends it repeatedly, through any frontend. Sound requests that run beside it
break off with it, also repeatedly.

What tells the two apart:
- A target has answered a sound request whole. Its deaths until then are cleared.
- A request that was present at more deaths explains those that it shares with others.
"""

from collections.abc import Iterable, Sequence
from itertools import islice
from typing import final

import msgspec
import trio
import xxhash

from goldcrestvane_common.ids import Fingerprint

MAX_DEATHS = 3
"""Number of targets that may die with one request before it is refused."""

MAX_SHARED_DEATHS = 5
"""The same for a request that others accompany, so that none of them stands out. Two deaths
more are within the retries that the platform allows."""

RETENTION_SECONDS = 600.0
"""Time for which a request is tracked after the last death."""

MAX_CLEARED_DEATHS = 32
"""Maximum number of cleared deaths that are remembered of one request, so that it stays small
if many callers send it."""

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
        targets: Names of the starts of the targets.
        seconds_left: Time for which the request is still tracked.
        cleared: Those of the targets, or others, that the request did not crash.
    """

    fingerprint: Fingerprint
    targets: list[str]
    seconds_left: float = RETENTION_SECONDS
    cleared: list[str] = []


@final
class TrackedRequest:
    """What is known of one request.

    Reports may arrive in any order and more than once, so what is cleared stays known for
    some time.

    Attributes:
        targets: Targets that died while they ran the request.
        cleared: Targets that the request did not crash, in the order of clearing.
        expires_at: Time on trio's clock until which it is tracked.
    """

    __slots__ = ("cleared", "expires_at", "targets")

    def __init__(self) -> None:
        self.targets: set[str] = set()
        self.cleared: dict[str, None] = {}
        self.expires_at = 0.0

    def clear(self, targets: Iterable[str]) -> list[str]:
        """Clears the request of deaths; returns those that are no longer remembered."""
        self.cleared.update(dict.fromkeys(targets))
        forgotten = list(self.cleared)[:-MAX_CLEARED_DEATHS]
        for target in forgotten:
            del self.cleared[target]
            self.targets.discard(target)
        return forgotten

    @property
    def deaths(self) -> set[str]:
        """Deaths that count; none after the request has expired."""
        if trio.current_time() >= self.expires_at:
            return set()
        return self.targets - self.cleared.keys()


@final
class CrashTracker:
    """Records deaths of targets by the requests that they ran."""

    def __init__(self) -> None:
        self._requests: dict[Fingerprint, TrackedRequest] = {}
        self._present: dict[str, set[Fingerprint]] = {}

    def record_deaths(
        self,
        fingerprint: Fingerprint,
        targets: Sequence[str],
        seconds_left: float = RETENTION_SECONDS,
        cleared: Sequence[str] = (),
    ) -> bool:
        """Records what is known of a request; returns whether any of it was new.

        Args:
            fingerprint: Identifies the request.
            targets: The targets that died.
            seconds_left: Time for which the request is tracked at least.
            cleared: Targets that the request did not crash.
        """
        self._drop_expired()
        request = self._requests.pop(fingerprint, None) or TrackedRequest()
        is_new = not (
            request.targets.issuperset(targets)
            and request.cleared.keys() >= set(cleared)
        )
        request.targets.update(targets)
        expires_at = trio.current_time() + seconds_left
        request.expires_at = max(request.expires_at, expires_at)
        self._requests[fingerprint] = request
        for target in targets:
            self._present.setdefault(target, set()).add(fingerprint)
        self._forget(fingerprint, request.clear(cleared))
        while len(self._requests) > MAX_TRACKED_REQUESTS:
            self._drop_oldest()
        return is_new

    def clear(self, fingerprint: Fingerprint) -> list[str]:
        """Clears a request that a target has answered whole of the deaths until now.

        Returns:
            All targets of which it is cleared, if any is new and other frontends should know
            of it: a single death blocks nothing.
        """
        request = self._requests.get(fingerprint)
        if request is None or request.cleared.keys() >= request.targets:
            return []
        is_known_elsewhere = len(request.targets) > 1
        self._forget(fingerprint, request.clear(sorted(request.targets)))
        return list(request.cleared) if is_known_elsewhere else []

    def count_deaths(self, fingerprint: Fingerprint) -> int:
        """Returns the number of deaths that count for a request."""
        request = self._requests.get(fingerprint)
        return 0 if request is None else len(request.deaths)

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Returns whether a request is refused because it crashes targets.

        That are `MAX_DEATHS` deaths at which no other request stands out as much. A request
        that others accompany is refused later, unless one of them explains its deaths.
        """
        request = self._requests.get(fingerprint)
        deaths = set() if request is None else request.deaths
        count = len(deaths)
        if count < MAX_DEATHS:
            return False
        most = [self._find_most_deaths(each, besides=fingerprint) for each in deaths]
        if sum(other < count for other in most) >= MAX_DEATHS:
            return True
        unexplained = sum(other <= count for other in most)
        return count >= MAX_SHARED_DEATHS and unexplained >= MAX_DEATHS

    def _find_most_deaths(self, target: str, *, besides: Fingerprint) -> int:
        """Returns the highest number of deaths of another request at a target's death."""
        others = self._present.get(target, set()) - {besides}
        return max(
            (
                len(deaths)
                for each in others
                if target in (deaths := self._requests[each].deaths)
            ),
            default=0,
        )

    def list_recent(self, maximum: int) -> list[TrackedDeaths]:
        """Returns requests, up to a number: those with most deaths, the newest first."""
        now = trio.current_time()
        tracked = (
            TrackedDeaths(
                fingerprint,
                sorted(request.targets),
                request.expires_at - now,
                list(request.cleared),
            )
            for fingerprint, request in reversed(self._requests.items())
            if request.expires_at > now
        )
        # The sort is stable, so that the order of time remains among equals.
        by_deaths = sorted(
            tracked,
            key=lambda each: len(set(each.targets) - set(each.cleared)),
            reverse=True,
        )
        return list(islice(by_deaths, maximum))

    @property
    def is_empty(self) -> bool:
        """Whether no death is recorded."""
        return not self._requests

    def _drop_expired(self) -> None:
        now = trio.current_time()
        while self._requests:
            if next(iter(self._requests.values())).expires_at > now:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        fingerprint = next(iter(self._requests))
        self._forget(fingerprint, self._requests.pop(fingerprint).targets)

    def _forget(self, fingerprint: Fingerprint, targets: Iterable[str]) -> None:
        """Records that a request is no longer known to have been at deaths."""
        for target in targets:
            present = self._present.get(target)
            if present is None:
                continue
            present.discard(fingerprint)
            if not present:
                del self._present[target]
