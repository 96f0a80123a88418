"""Limit on the calls that this process runs at a service while its targets have queues.

Load pattern: many frontends share targets that are full. Each one knows the load of a
target only from its own calls, so that all of them send on, and the calls wait at the
targets, in order of arrival. Where accounts share the capacity, the calls must wait in
the frontends, which know the accounts.

The limit follows the reports of the targets. It falls while they have more calls than
slots and rises while they have fewer, so that the slots stay full and the queues short.
"""

from typing import final

from goldcrestvane_daemon.targets import ReportedLoad

SMOOTHING = 0.1
"""Weight of one report. A frontend gets about 20 reports per second under load, so the
limit halves within 0.7 s if all targets have twice as many calls as slots."""

HEADROOM_CALLS = 1.0
"""Calls beyond the slots that each frontend keeps at the targets, so that a slot that
becomes free is used at once."""

MIN_GRADIENT = 0.5
MAX_GRADIENT = 1.5
"""Bounds of the ratio of slots to calls in one report. A single target differs from the
others by more than the load of the service changes between two reports."""

MIN_WINDOW_CALLS = 1.0


@final
class DispatchWindow:
    """The limit of one service. There is none until a target reports waiting calls."""

    def __init__(self) -> None:
        self._limit: float | None = None

    def has_room(self, running: int) -> bool:
        """Returns whether another call may run.

        Args:
            running: Calls that this process runs at the service.
        """
        return self._limit is None or running + 1 <= self._limit

    def update(self, load: ReportedLoad, *, running: int) -> None:
        """Changes the limit by a report of one target.

        Args:
            load: The report.
            running: Calls that this process runs at the service.
        """
        if self._limit is None:
            if load.waiting == 0:
                return
            self._limit = float(max(running, MIN_WINDOW_CALLS))
        ratio = load.slots / max(load.running + load.waiting, 1)
        gradient = min(max(ratio, MIN_GRADIENT), MAX_GRADIENT)
        if gradient >= 1 and running < self._limit - 1:
            # The limit does not bind, so the report does not show that it is too low.
            if running < self._limit / 2:
                self._limit = None
            return
        change = self._limit * (gradient - 1) + HEADROOM_CALLS
        self._limit = max(MIN_WINDOW_CALLS, self._limit + SMOOTHING * change)
