"""Estimates how fast targets work at this moment.

Load patterns that this module handles:
- Targets of one service differ in speed for good. A program whose turns all run on a
  target that is twice as slow as another one ends late, while the faster one has room.
- Targets share their machines with other work and slow down for moments. A report of
  this is true for less than a second, so its weight falls with its age.
"""

from typing import final

SMOOTHING = 0.1
"""Weight of the latest report in the mean slowdown, which then follows the last two
dozen reports and is not moved by one moment of other work."""

REPORT_MAX_AGE_SECONDS = 0.5
"""Age at which a report says nothing about the present any more: it changes several times
a second."""

FULL_TARGET_DELAY = 1.0
"""Share by which a call takes longer on a target whose slots are all taken than on an
idle one. It covers larger batches and the prompts of other calls that are read in
between. See the load replay in docs/explanation/policy.md."""


@final
class SlowdownEstimate:
    """How much longer work takes on one target than usual, from the target's reports."""

    __slots__ = ("_mean", "_reported", "_reported_at")

    def __init__(self) -> None:
        self._mean: float | None = None
        self._reported = 1.0
        self._reported_at = float("-inf")

    @property
    def mean(self) -> float | None:
        """The moving average of the reports; None before the first one."""
        return self._mean

    def record(self, slowdown: float, *, reported_at: float) -> None:
        """Records a report; an older one than the latest only counts in the mean."""
        if self._mean is None:
            self._mean = slowdown
        self._mean += SMOOTHING * (slowdown - self._mean)
        if reported_at >= self._reported_at:
            self._reported, self._reported_at = slowdown, reported_at

    def estimate(self, now: float) -> float | None:
        """Returns the present slowdown; None if the target never reported any."""
        if self._mean is None:
            return None
        age = now - self._reported_at
        weight = max(0.0, 1.0 - age / REPORT_MAX_AGE_SECONDS)
        return weight * self._reported + (1.0 - weight) * self._mean


def estimate_finish(*, slowdown: float, load: float, slots: int) -> float:
    """Returns when a call should finish, in run times of a call on an idle target.

    Args:
        slowdown: Factor by which work takes longer than usual on the target.
        load: Number of calls at the target, without this one.
        slots: Number of calls that it runs concurrently.
    """
    run = slowdown * (1.0 + FULL_TARGET_DELAY * min(1.0, load / slots))
    waiting = max(0.0, load + 1.0 - slots)
    return run * (1.0 + waiting / slots)
