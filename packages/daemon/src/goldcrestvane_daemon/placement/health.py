"""Outlier handling: targets that fail are left out, slow ones count as loaded."""

from enum import Enum
from typing import final

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_daemon.placement.inputs import PlacementOptions

SLOWNESS_SMOOTHING = 0.1
SHARE_SMOOTHING = 0.15
"""Weight of the latest result: the share follows the last dozen."""

HEALTHY_SHARE = 0.2
"""Share of failures below which a target starts anew; one failure and a success."""

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0


class HealthState(Enum):
    """Whether a target takes calls."""

    CLOSED = "closed"
    """Takes calls."""

    OPEN = "open"
    """Takes none until its time is over."""

    PROBING = "probing"
    """One call is under way to see whether the target works again."""


@final
class TargetHealth:
    """Failures and slowness of one target.

    Attributes:
        state: Whether the target takes calls.
        failures: Failures in a row.
        ejections: Times left out since the last success.
        until: Time on trio's clock at which a probe may go.
        slowness: Moving average of run time against the service's expectation.
        failure_share: Moving average of results, 1 for a failure.
        results: Results since the target was last left out.
    """

    __slots__ = (
        "ejections",
        "failure_share",
        "failures",
        "results",
        "slowness",
        "state",
        "until",
    )

    def __init__(self) -> None:
        self.state = HealthState.CLOSED
        self.failures = 0
        self.ejections = 0
        self.until = 0.0
        self.slowness = 1.0
        self.failure_share = 0.0
        self.results = 0

    def count_result(self, *, failed: bool) -> None:
        """Takes a result into the share of failures."""
        self.results += 1
        self.failure_share += SHARE_SMOOTHING * (failed - self.failure_share)


@final
class HealthTracker:
    """One owner's view of the health of all targets."""

    def __init__(self, options: PlacementOptions) -> None:
        self._options = options
        self._targets: dict[InstanceId, TargetHealth] = {}

    def get(self, target: InstanceId) -> TargetHealth:
        """Returns the health of a target, a good one for an unknown target."""
        health = self._targets.get(target)
        if health is None:
            health = self._targets[target] = TargetHealth()
        return health

    def is_usable(self, target: InstanceId, *, now: float) -> bool:
        """Tells whether a call, or a probe, may go to a target."""
        health = self._targets.get(target)
        if health is None or health.state is HealthState.CLOSED:
            return True
        return health.state is HealthState.OPEN and now >= health.until

    def get_probe_time(self, target: InstanceId) -> float:
        """Returns the time on trio's clock at which a target may be tried again."""
        return self.get(target).until

    def record_start(self, target: InstanceId, *, now: float) -> None:
        """Notes that a call was sent; to a target left out it is the probe."""
        health = self.get(target)
        if health.state is HealthState.CLOSED:
            return
        health.state = HealthState.PROBING
        health.until = now + self._options.max_eject_seconds

    def record_success(self, target: InstanceId, *, slowness: float | None) -> None:
        """Notes an answer; `slowness` is its run time against the expectation."""
        health = self.get(target)
        health.count_result(failed=False)
        if health.state is not HealthState.OPEN:
            # A call that was sent before the target was left out proves nothing.
            health.state = HealthState.CLOSED
        health.failures = 0
        if health.failure_share < HEALTHY_SHARE:
            health.ejections = 0
        if slowness is None:
            return
        bounded = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
        health.slowness += SLOWNESS_SMOOTHING * (bounded - health.slowness)

    def record_failure(
        self, target: InstanceId, *, now: float, unreachable: bool
    ) -> None:
        """Notes a failed call; `unreachable` leaves the target out at once."""
        health = self.get(target)
        health.failures += 1
        health.count_result(failed=True)
        probed = health.state is HealthState.PROBING
        often = (
            health.results >= self._options.eject_min_results
            and health.failure_share >= self._options.eject_share
        )
        in_a_row = health.failures >= self._options.eject_consecutive_failures
        if not (unreachable or probed or in_a_row or often):
            return
        if health.state is HealthState.OPEN:
            return
        self._eject(health, now=now)

    def record_cancellation(self, target: InstanceId, *, now: float) -> None:
        """Notes a call that ended without telling whether the target works."""
        health = self.get(target)
        if health.state is not HealthState.PROBING:
            return
        health.state = HealthState.OPEN
        health.until = now

    def forget(self, target: InstanceId) -> None:
        """Drops a target that left for good."""
        self._targets.pop(target, None)

    def _eject(self, health: TargetHealth, *, now: float) -> None:
        health.results = 0
        seconds = self._options.eject_seconds * 2**health.ejections
        health.state = HealthState.OPEN
        health.ejections = min(health.ejections + 1, 16)
        health.until = now + min(seconds, self._options.max_eject_seconds)
