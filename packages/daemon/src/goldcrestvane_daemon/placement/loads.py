"""Estimates the load of targets from local calls and their latest load reports."""

import math
from typing import final

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_common.messages import (
    TargetLoad,
)


@final
class TargetCounts:
    """Numbers of calls at one target.

    Attributes:
        local: Calls of this owner at the target.
        others: Calls of other owners at the target, as of the latest report.
        reported_at: Time of that report on trio's clock; None without a report.
        load: The latest report.
    """

    __slots__ = ("load", "local", "others", "reported_at")

    def __init__(self) -> None:
        self.local = 0
        self.others = 0
        self.reported_at: float | None = None
        self.load = TargetLoad()


@final
class LoadTracker:
    """Estimates the load of all targets for one owner.

    An owner sees only its own calls immediately. The calls of other owners are known
    from delayed reports. As a report ages, its weight decays in favour of the mean over
    all targets.
    """

    def __init__(self, *, report_decay_seconds: float) -> None:
        self._report_decay_seconds = report_decay_seconds
        self._targets: dict[InstanceId, TargetCounts] = {}
        self._others_sum = 0
        self._report_count = 0

    def get(self, target: InstanceId) -> TargetCounts:
        """Returns the counts of a target; an unknown target gets new ones."""
        counts = self._targets.get(target)
        if counts is None:
            counts = self._targets[target] = TargetCounts()
        return counts

    def add(self, target: InstanceId) -> None:
        """Counts a call as sent."""
        self.get(target).local += 1

    def remove(self, target: InstanceId) -> None:
        """Counts a call as ended or cancelled."""
        counts = self.get(target)
        counts.local = max(0, counts.local - 1)

    def report(self, target: InstanceId, load: TargetLoad, *, now: float) -> None:
        """Updates the counts from a load report."""
        counts = self.get(target)
        others = max(0, load.running + load.queued - counts.local)
        self._others_sum += others - counts.others
        if counts.reported_at is None:
            self._report_count += 1
        counts.others = others
        counts.reported_at = now
        counts.load = load

    def forget(self, target: InstanceId) -> None:
        """Removes a target that left permanently; its calls were cancelled."""
        counts = self._targets.pop(target, None)
        if counts is None or counts.reported_at is None:
            return
        self._others_sum -= counts.others
        self._report_count -= 1

    def estimate(self, target: InstanceId, *, now: float) -> float:
        """Returns the estimated number of calls at a target, including queued ones."""
        counts = self.get(target)
        mean = self._others_sum / self._report_count if self._report_count else 0.0
        if counts.reported_at is None:
            return counts.local + mean
        weight = math.exp((counts.reported_at - now) / self._report_decay_seconds)
        return counts.local + weight * counts.others + (1 - weight) * mean
