"""Time bounds on a frontend's copies of the platform's objects."""

import msgspec

RELISTING_SECONDS = 2.0
"""Time within which live targets restore their entries after an outage of the store."""

REMOVAL_MARGIN_SECONDS = 0.4
"""Margin by which a removed target is dropped before its drain time ends. It covers the
delay of a watch, the expiry check and the time that a call takes to reach the target."""

STALE_ENTRY_HEARTBEATS = 4
"""Heartbeat intervals after which no entry of a target that has ended is left: it is removed
after three, unless the target starts again and replaces it with its first heartbeat."""

LIST_TIMEOUT_SECONDS = 0.75
MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 1.0

CHECK_INTERVAL_SHARE = 0.125
"""Interval at which the age of a copy is compared with its bounds, as a share of the
propagation time."""

FRONTEND_CHECK_SHARE = 0.25
"""Age of a copy at which another frontend is asked, as a share of the propagation time."""

MIN_STORE_CHECK_SHARE = 0.375
MAX_STORE_CHECK_SHARE = 0.625
"""Range of the age at which the store is asked. Each frontend draws its age, so that one
of them asks the store and the others ask that frontend."""


class CopyBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds from the settings of the deployment.

    Attributes:
        propagation_seconds: Time within which a configuration must be in force.
        drain_seconds: Time after which a leaving target must get no new calls.
        stable_seconds: Time after an outage within which the copies must be current.
        heartbeat_seconds: Interval at which a target writes its entry.
    """

    propagation_seconds: float = 2.0
    drain_seconds: float = 2.0
    stable_seconds: float = 3.0
    heartbeat_seconds: float = 1.2

    @property
    def check_interval(self) -> float:
        """Interval in seconds at which the age of a copy is looked at."""
        return CHECK_INTERVAL_SHARE * self.propagation_seconds

    @property
    def frontend_check_age(self) -> float:
        """Age in seconds at which another frontend is asked to confirm a copy."""
        return FRONTEND_CHECK_SHARE * self.propagation_seconds

    @property
    def store_check_ages(self) -> tuple[float, float]:
        """Range of the age in seconds at which the store is asked to confirm a copy."""
        return (
            MIN_STORE_CHECK_SHARE * self.propagation_seconds,
            MAX_STORE_CHECK_SHARE * self.propagation_seconds,
        )

    @property
    def removal_seconds(self) -> float:
        """Time for which a target is used after its entry was removed."""
        return max(0.0, self.drain_seconds - REMOVAL_MARGIN_SECONDS)

    @property
    def stale_entry_seconds(self) -> float:
        """Time for which the entry of a target that has ended may still be listed."""
        return STALE_ENTRY_HEARTBEATS * self.heartbeat_seconds

    @property
    def retry_seconds(self) -> float:
        """Pause between two calls to a store that does not answer.

        A call may time out just after the store's return, and targets that are missing
        from the next list are kept for `RELISTING_SECONDS`.
        """
        available = self.stable_seconds - RELISTING_SECONDS - LIST_TIMEOUT_SECONDS
        return min(max(MIN_RETRY_SECONDS, available), MAX_RETRY_SECONDS)
