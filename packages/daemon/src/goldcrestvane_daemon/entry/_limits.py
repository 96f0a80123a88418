"""Limits of one entry."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True)
class EntryLimits:
    """Limits on what callers send, and on how long an entry tries.

    Attributes:
        max_timeout_seconds: Longest time a caller may give a call.
        owner_wait_seconds: Longest wait for an owner that answers, counted from the
            first failed attempt.
        initial_backoff_seconds: Pause after the first failed attempt; doubled each time.
        max_backoff_seconds: Upper bound of a pause.
        map_refresh_timeout_seconds: Longest wait for a newer shard map.
        reassignment_grace_seconds: Time left to an owner to answer after the shard map names
            another one.
        deadline_margin_seconds: Time kept back from the owner, so that its own answer
            arrives before the entry gives up.
    """

    max_timeout_seconds: float = 3600.0
    owner_wait_seconds: float = 15.0
    initial_backoff_seconds: float = 0.05
    max_backoff_seconds: float = 0.5
    map_refresh_timeout_seconds: float = 1.0
    reassignment_grace_seconds: float = 1.0
    deadline_margin_seconds: float = 0.1
