"""Estimates of call durations and waiting times."""

from typing import final

SMOOTHING = 0.1
"""Weight of the latest call in the moving average."""

MIN_RETRY_SECONDS = 0.05


@final
class ServiceTime:
    """Moving average of the time that calls hold a slot, in seconds."""

    def __init__(self, *, first_seconds: float) -> None:
        self._seconds = first_seconds
        self._measured = False

    @property
    def seconds(self) -> float:
        """Expected duration of one call."""
        return self._seconds

    def record(self, seconds: float) -> None:
        """Takes in the duration of a call that ended or hit its deadline."""
        if not self._measured:
            self._measured = True
            self._seconds = seconds
            return
        self._seconds += SMOOTHING * (seconds - self._seconds)


def estimate_wait(*, ahead: int, slots: int, service_seconds: float) -> float:
    """Returns the expected wait for a slot when all slots are taken.

    Args:
        ahead: Waiting calls that start earlier.
        slots: Calls that the target runs at a time.
        service_seconds: Expected duration of a call.
    """
    return (ahead + 1) * service_seconds / slots


def estimate_retry(*, queued: int, slots: int, service_seconds: float) -> float:
    """Returns the seconds after which the calls that wait now have started."""
    wait = estimate_wait(ahead=queued, slots=slots, service_seconds=service_seconds)
    return max(MIN_RETRY_SECONDS, round(wait, 3))
