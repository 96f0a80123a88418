"""Tokens that were issued recently, for limits that change."""

from collections import deque
from typing import final

SLOT_SECONDS = 0.1
"""Time whose tokens are counted together."""


@final
class IssueHistory:
    """Counts the tokens of one account that a member issued recently."""

    def __init__(self, seconds: float) -> None:
        """Creates an empty history.

        Args:
            seconds: Time for which tokens are counted.
        """
        self._seconds = seconds
        self._slots: deque[tuple[float, int]] = deque()

    def add(self, count: int, now: float) -> None:
        """Counts tokens that were issued now, or returned if the count is negative."""
        while self._slots and self._slots[0][0] < now - self._seconds:
            self._slots.popleft()
        if self._slots and now < self._slots[-1][0] + SLOT_SECONDS:
            start, counted = self._slots.pop()
            self._slots.append((start, counted + count))
        else:
            self._slots.append((now, count))

    def compute_backlog(self, rate: float, now: float) -> float:
        """Returns the tokens by which a bucket with another rate would not be full.

        Args:
            rate: Tokens per second by which the bucket is refilled.
            now: Current time.
        """
        backlog, updated_at = 0.0, now - self._seconds
        for start, count in self._slots:
            if start < now - self._seconds:
                continue
            backlog = max(0.0, backlog - rate * (start - updated_at))
            backlog = max(0.0, backlog + count)
            updated_at = start
        return max(0.0, backlog - rate * (now - updated_at))
