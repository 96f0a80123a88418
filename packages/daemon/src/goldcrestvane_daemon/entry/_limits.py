"""Limits of an entry."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True)
class EntryLimits:
    """Limits on the requests of callers and on the retries of an entry.

    Attributes:
        max_timeout_seconds: Maximum timeout that a caller may set for a call.
        owner_wait_seconds: Maximum time to retry until an owner responds, counted
            from the first failed attempt.
        initial_backoff_seconds: Backoff after the first failed attempt, before jitter;
            doubled after each further failure.
        max_backoff_seconds: Upper bound of the backoff.
        map_refresh_timeout_seconds: Maximum wait for a newer shard map.
        reassignment_grace_seconds: Time for which an owner may still respond after the
            shard map names another one.
        deadline_margin_seconds: Time by which the owner's deadline is earlier than the
            entry's, so that the owner's error arrives before the entry times out.
    """

    max_timeout_seconds: float = 3600.0
    owner_wait_seconds: float = 15.0
    initial_backoff_seconds: float = 0.05
    max_backoff_seconds: float = 0.5
    map_refresh_timeout_seconds: float = 1.0
    reassignment_grace_seconds: float = 1.0
    deadline_margin_seconds: float = 0.1
