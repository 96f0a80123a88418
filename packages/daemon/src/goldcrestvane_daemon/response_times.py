"""Estimates after which time a response is overdue, as TCP does (RFC 6298).

Load pattern: a process that lacks processor time handles each response late. A fixed timeout
then takes all of its peers for slow, and what it sends to others instead delays it further.
"""

from typing import final

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4


@final
class ResponseTimeout:
    """A timeout that follows the response times of peers."""

    def __init__(self, *, minimum: float, maximum: float) -> None:
        """Creates a timeout that is at its minimum.

        Args:
            minimum: Minimum in seconds, which the usual response times are well below.
            maximum: Maximum in seconds.
        """
        self._minimum = minimum
        self._maximum = maximum
        self._mean: float | None = None
        self._deviation = 0.0

    @property
    def seconds(self) -> float:
        """Time after which a response is overdue."""
        if self._mean is None:
            return self._minimum
        usual = self._mean + DEVIATIONS * self._deviation
        return min(self._maximum, max(self._minimum, usual))

    def record(self, seconds: float) -> None:
        """Records the time that a response took, also if it was overdue."""
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        difference = abs(self._mean - seconds)
        self._deviation += DEVIATION_WEIGHT * (difference - self._deviation)
        self._mean += MEAN_WEIGHT * (seconds - self._mean)
