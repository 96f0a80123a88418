"""Refusals of calls that get no target from the queue of their service."""

from goldcrestvane_common.ids import ServiceId, StreamOrigin
from goldcrestvane_daemon.frontend.refusals import NoTarget, Overloaded

NO_TARGET_RETRY_SECONDS = 0.3
"""Retry delay for calls of a service that has no targets. New targets become known
within this time, which is the delay of a watch."""

MIN_OVERLOAD_RETRY_SECONDS = 0.05


def build_no_target(service: ServiceId, origin: StreamOrigin | None) -> NoTarget:
    """Returns the refusal of a call that may use no target."""
    wanted = f" with origin {origin}" if origin else ""
    return NoTarget(
        f"No target of service {service}{wanted} accepts calls; retry later.",
        retry_after=NO_TARGET_RETRY_SECONDS,
    )


def build_queue_full(
    service: ServiceId, *, waiting: int, wait: float, seconds_left: float
) -> Overloaded:
    """Returns the refusal of a call that cannot wait.

    Args:
        service: Service of the call.
        waiting: Calls that wait for the service.
        wait: Expected wait of the call in seconds.
        seconds_left: Seconds until the call's deadline.
    """
    return Overloaded(
        f"{waiting} calls wait for service {service}, "
        f"about {wait:.2f} s; {seconds_left:.2f} s are left.",
        retry_after=max(MIN_OVERLOAD_RETRY_SECONDS, wait - seconds_left),
    )


def build_rate_limited(service: ServiceId, *, wait: float) -> Overloaded:
    """Returns the refusal of a call that no rate limit allows within `wait` seconds."""
    return Overloaded(
        f"All targets of service {service} limit the rate of their calls; "
        "none can be called in time.",
        retry_after=max(MIN_OVERLOAD_RETRY_SECONDS, wait),
    )


def build_program_refusal(service: ServiceId, *, retry_after: float) -> Overloaded:
    """Returns the refusal of a program that has not started."""
    return Overloaded(
        f"Programs in progress need all targets of service {service}; "
        "start the program later.",
        retry_after=retry_after,
    )
