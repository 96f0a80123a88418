"""Retry budget that limits retries to a share of recent first attempts."""

import math
from typing import final

RETRY_SHARE = 0.1
RETRY_FLOOR = 3.0
"""Number of retries per window that are always allowed."""

WINDOW_SECONDS = 10.0


@final
class RetryBudget:
    """Retry budget of one service at one owner.

    The counts of attempts and retries decay exponentially with the window.
    """

    def __init__(
        self,
        *,
        share: float = RETRY_SHARE,
        floor: float = RETRY_FLOOR,
        window_seconds: float = WINDOW_SECONDS,
    ) -> None:
        self._share = share
        self._floor = floor
        self._window_seconds = window_seconds
        self._attempts = 0.0
        self._retries = 0.0
        self._updated = 0.0

    def record_attempt(self, *, now: float) -> None:
        """Counts the first attempt of a call."""
        self._decay(now)
        self._attempts += 1

    def try_acquire(self, *, now: float) -> bool:
        """Takes a retry from the budget; returns False if the budget is exhausted."""
        self._decay(now)
        if self._retries + 1 > self._share * self._attempts + self._floor:
            return False
        self._retries += 1
        return True

    def _decay(self, now: float) -> None:
        factor = math.exp((self._updated - now) / self._window_seconds)
        self._attempts *= factor
        self._retries *= factor
        self._updated = now
