"""Outlier detection: ejects failing targets and tracks the slowness of targets."""

from enum import Enum
from typing import final

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_daemon.placement.inputs import PlacementOptions

SLOWNESS_SMOOTHING = 0.1
FAILURE_SHARE_SMOOTHING = 0.15
"""Weight of the latest result; the share reflects about the last dozen results."""

HEALTHY_FAILURE_SHARE = 0.2
"""Failure share below which the back-off resets: one failure, then one success."""

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0


class HealthState(Enum):
    """Whether a target receives calls, as in a circuit breaker."""

    CLOSED = "closed"
    """The target receives calls."""

    OPEN = "open"
    """The target is ejected and receives no calls until its ejection ends."""

    PROBING = "probing"
    """One call is in progress to probe whether the target has recovered."""


@final
class TargetHealth:
    """Failures and slowness of one target.

    Attributes:
        state: Whether the target receives calls.
        consecutive_failures: Failures since the last success.
        ejections: Ejections since the failure share was last low.
        probe_at: Time on trio's clock from which a probe may be sent.
        slowness: Moving average of the run time relative to the expected one.
        failure_share: Moving average of results, with 1 for a failure.
        results: Number of results since the last ejection.
    """

    __slots__ = (
        "consecutive_failures",
        "ejections",
        "failure_share",
        "probe_at",
        "results",
        "slowness",
        "state",
    )

    def __init__(self) -> None:
        self.state = HealthState.CLOSED
        self.consecutive_failures = 0
        self.ejections = 0
        self.probe_at = 0.0
        self.slowness = 1.0
        self.failure_share = 0.0
        self.results = 0

    def record_result(self, *, failed: bool) -> None:
        """Adds a result to the failure share."""
        self.results += 1
        self.failure_share += FAILURE_SHARE_SMOOTHING * (failed - self.failure_share)


@final
class HealthTracker:
    """Tracks the health of targets as one process observes it."""

    def __init__(self, options: PlacementOptions) -> None:
        self._options = options
        self._targets: dict[InstanceId, TargetHealth] = {}

    def get(self, target: InstanceId) -> TargetHealth:
        """Returns the health of a target; an unknown target counts as healthy."""
        health = self._targets.get(target)
        if health is None:
            health = self._targets[target] = TargetHealth()
        return health

    def is_usable(self, target: InstanceId, *, now: float) -> bool:
        """Returns whether a call or a probe may be sent to a target."""
        health = self._targets.get(target)
        if health is None or health.state is HealthState.CLOSED:
            return True
        return health.state is HealthState.OPEN and now >= health.probe_at

    def get_probe_time(self, target: InstanceId) -> float:
        """Returns the time on trio's clock from which a target may be was_probe."""
        return self.get(target).probe_at

    def record_start(self, target: InstanceId, *, now: float) -> None:
        """Records that a call was sent; it is the probe if the target is ejected."""
        health = self.get(target)
        if health.state is HealthState.CLOSED:
            return
        health.state = HealthState.PROBING
        health.probe_at = now + self._options.max_ejection_seconds

    def record_success(self, target: InstanceId, *, slowness: float | None) -> None:
        """Records a success and its run time relative to the expected one, if known."""
        health = self.get(target)
        health.record_result(failed=False)
        if health.state is not HealthState.OPEN:
            # A call sent before the ejection does not show that the target recovered.
            health.state = HealthState.CLOSED
        health.consecutive_failures = 0
        if health.failure_share < HEALTHY_FAILURE_SHARE:
            health.ejections = 0
        if slowness is None:
            return
        bounded = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
        health.slowness += SLOWNESS_SMOOTHING * (bounded - health.slowness)

    def record_failure(
        self, target: InstanceId, *, now: float, unreachable: bool
    ) -> None:
        """Records a failed call; an unreachable target is ejected immediately."""
        health = self.get(target)
        health.consecutive_failures += 1
        health.record_result(failed=True)
        was_probe = health.state is HealthState.PROBING
        exceeds_share = (
            health.results >= self._options.eject_min_results
            and health.failure_share >= self._options.eject_failure_share
        )
        exceeds_failures = (
            health.consecutive_failures >= self._options.eject_consecutive_failures
        )
        if not (unreachable or was_probe or exceeds_failures or exceeds_share):
            return
        if health.state is HealthState.OPEN:
            return
        self._eject(health, now=now)

    def record_cancellation(self, target: InstanceId, *, now: float) -> None:
        """Records a call whose end does not show whether the target works."""
        health = self.get(target)
        if health.state is not HealthState.PROBING:
            return
        health.state = HealthState.OPEN
        health.probe_at = now

    def forget(self, target: InstanceId) -> None:
        """Removes a target that left permanently."""
        self._targets.pop(target, None)

    def _eject(self, health: TargetHealth, *, now: float) -> None:
        health.results = 0
        seconds = self._options.first_ejection_seconds * 2**health.ejections
        health.state = HealthState.OPEN
        health.ejections = min(health.ejections + 1, 16)
        health.probe_at = now + min(seconds, self._options.max_ejection_seconds)
