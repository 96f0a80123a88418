"""Moving averages, and estimates of call durations and waiting times."""

from typing import final

SERVICE_SMOOTHING = 0.1
"""Weight of the latest call in the mean time that a call occupies a slot."""

MIN_RETRY_SECONDS = 0.05


@final
class MovingMean:
    """Exponential moving average that starts as the mean of the first values."""

    def __init__(self, smoothing: float, *, initial: float = 0.0) -> None:
        self._smoothing = smoothing
        self._count = 0
        self.value = initial

    def record(self, value: float) -> None:
        """Adds one value to the average."""
        self._count += 1
        weight = max(self._smoothing, 1.0 / self._count)
        self.value += weight * (value - self.value)


def estimate_wait(*, ahead: int, slots: int, service_seconds: float) -> float:
    """Returns the expected wait for a slot when all slots are taken.

    Args:
        ahead: Number of queued calls that start earlier.
        slots: Number of calls that the target runs concurrently.
        service_seconds: Expected duration of a call.
    """
    return (ahead + 1) * service_seconds / slots
