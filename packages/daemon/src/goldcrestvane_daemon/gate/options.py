"""Options of a gate, set by the operator's settings or by flags of the process."""

import msgspec


class GateOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one target's queue.

    Attributes:
        slots: Number of calls that the target runs concurrently.
        queue_limit: Maximum number of queued calls.
        aging_seconds: Waiting time after which a call moves up by one priority class.
        class_start_seconds: Time without a start after which a call of a class starts
            before calls of higher classes.
        class_share: Share of the queue reserved for each priority class, from 0 to 1/3,
            so that a flood of calls in one class cannot displace all calls of another.
        first_service_seconds: Expected duration of a call before the first measurement.
    """

    slots: int = 8
    queue_limit: int = 128
    aging_seconds: float = 10.0
    class_start_seconds: float = 30.0
    class_share: float = 0.125
    first_service_seconds: float = 1.0

    def __post_init__(self) -> None:
        if self.slots < 1 or self.queue_limit < 0:
            raise ValueError(
                f"got slots={self.slots} and queue_limit={self.queue_limit}, expected "
                "at least 1 and 0; correct the service's settings"
            )
        times = (
            self.aging_seconds,
            self.class_start_seconds,
            self.first_service_seconds,
        )
        if min(times) <= 0:
            raise ValueError(
                f"got aging, class start and first service times {times}, expected "
                "positive seconds"
            )
        if not 0 <= self.class_share <= 1 / 3:
            raise ValueError(
                f"got class_share={self.class_share}, expected 0 to 1/3, since there "
                "are three priority classes"
            )
