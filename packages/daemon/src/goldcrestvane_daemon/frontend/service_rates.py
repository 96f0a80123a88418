"""Measured rates of a service: calls that end per second, and event intervals."""

from collections import deque
from typing import final

from goldcrestvane_daemon.frontend.admission import RATE_WINDOW_SECONDS

INITIAL_RUN_SECONDS = 0.3
"""Run time that is assumed until a call has ended: that of a turn on an idle target."""

RUN_SMOOTHING = 0.1
EVENT_SMOOTHING = 0.02
"""Weight of the latest event interval in the service's moving average. With this
weight the average follows several dozen calls."""

MIN_EVENT_SECONDS = 0.001
"""Minimum event interval that is counted. Events with shorter intervals arrived
together and do not show the speed of the target."""

MAX_EVENT_SECONDS_RATIO = 1.5
"""Upper bound of an event interval in the moving average, as a multiple of the
average."""


@final
class CompletionRate:
    """Calls of a service that end per second.

    Attributes:
        running: Number of calls that run.
    """

    def __init__(self) -> None:
        self.running = 0
        self._completion_times: deque[float] = deque(maxlen=256)
        self._mean_run_seconds = INITIAL_RUN_SECONDS

    @property
    def mean_run_seconds(self) -> float:
        """Moving average of the calls' run times."""
        return self._mean_run_seconds

    def record_run(self, run_seconds: float, *, now: float) -> None:
        """Records that a call has ended.

        Args:
            run_seconds: Run time of the call.
            now: Time on trio's clock.
        """
        self._completion_times.append(now)
        self._mean_run_seconds += RUN_SMOOTHING * (run_seconds - self._mean_run_seconds)

    def measure(self, now: float) -> float:
        """Returns the number of calls that end per second.

        The result is the higher of the measured rate and the rate that the running
        calls should reach at the mean run time.
        """
        while (
            self._completion_times
            and self._completion_times[0] < now - RATE_WINDOW_SECONDS
        ):
            self._completion_times.popleft()
        expected = max(self.running, 1) / self._mean_run_seconds
        return max(len(self._completion_times) / RATE_WINDOW_SECONDS, expected)


@final
class EventAverage:
    """Moving average of the event intervals of a service."""

    def __init__(self) -> None:
        self._mean_seconds: float | None = None

    def compare(
        self, event_seconds: float | None, *, slowdown: float = 1.0
    ) -> float | None:
        """Returns an event interval relative to the average, and updates the average.

        Returns None if the interval does not show the speed of the target.

        Args:
            event_seconds: Mean interval between the events of a stream, if known.
            slowdown: Slowdown that the target reports, which explains its part of the
                interval.
        """
        if event_seconds is None:
            return None
        event_seconds /= slowdown
        if event_seconds < MIN_EVENT_SECONDS:
            return None
        if self._mean_seconds is None:
            self._mean_seconds = event_seconds
        ratio = event_seconds / self._mean_seconds if self._mean_seconds > 0 else 1.0
        # The cap keeps slow targets from raising the average to their own level.
        capped = min(event_seconds, MAX_EVENT_SECONDS_RATIO * self._mean_seconds)
        self._mean_seconds += EVENT_SMOOTHING * (capped - self._mean_seconds)
        return ratio
