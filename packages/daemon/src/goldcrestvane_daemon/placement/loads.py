"""Estimated load of targets: own calls plus what the last report says of others."""

import math
from typing import final

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_common.messages import (
    TargetLoad,
)


@final
class TargetCounts:
    """Counts of one target.

    Attributes:
        own: Calls of this owner at the target.
        others: Calls of other owners there, as of the last report.
        reported: Time of that report on trio's clock; None if there was none.
        load: The last report.
    """

    __slots__ = ("load", "others", "own", "reported")

    def __init__(self) -> None:
        self.own = 0
        self.others = 0
        self.reported: float | None = None
        self.load = TargetLoad()


@final
class LoadTracker:
    """One owner's view of the load of all targets.

    Each owner sees only its own calls at once. What others send is known from lagged
    reports; a report loses weight with age in favour of the mean of all targets.
    """

    def __init__(self, *, report_decay_seconds: float) -> None:
        self._report_decay_seconds = report_decay_seconds
        self._targets: dict[InstanceId, TargetCounts] = {}
        self._others_sum = 0
        self._reports = 0

    def get(self, target: InstanceId) -> TargetCounts:
        """Returns the counts of a target, new ones for an unknown target."""
        counts = self._targets.get(target)
        if counts is None:
            counts = self._targets[target] = TargetCounts()
        return counts

    def add(self, target: InstanceId) -> None:
        """Counts a call that was sent."""
        self.get(target).own += 1

    def remove(self, target: InstanceId) -> None:
        """Counts a call that came back or was given up."""
        counts = self.get(target)
        counts.own = max(0, counts.own - 1)

    def report(self, target: InstanceId, load: TargetLoad, *, now: float) -> None:
        """Takes in a load report."""
        counts = self.get(target)
        others = max(0, load.running + load.queued - counts.own)
        self._others_sum += others - counts.others
        if counts.reported is None:
            self._reports += 1
        counts.others = others
        counts.reported = now
        counts.load = load

    def forget(self, target: InstanceId) -> None:
        """Drops a target that left for good; its calls have been given up."""
        counts = self._targets.pop(target, None)
        if counts is None or counts.reported is None:
            return
        self._others_sum -= counts.others
        self._reports -= 1

    def estimate(self, target: InstanceId, *, now: float) -> float:
        """Returns the estimated number of calls at a target, waiting ones included."""
        counts = self.get(target)
        mean = self._others_sum / self._reports if self._reports else 0.0
        if counts.reported is None:
            return counts.own + mean
        weight = math.exp((counts.reported - now) / self._report_decay_seconds)
        return counts.own + weight * counts.others + (1 - weight) * mean
