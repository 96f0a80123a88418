"""What becomes of a program's cached prefix while the program waits for a tool."""

from enum import Enum

FULL_OCCUPANCY = 0.9
"""Share of the cache in use from which a kept prefix displaces others."""


class PauseAction(Enum):
    """What the owner orders for a paused program's prefix."""

    KEEP = "keep"
    EXPORT = "export"
    DROP = "drop"


def choose_pause_action(
    *,
    prefix_tokens: int,
    expected_pause_seconds: float,
    occupancy: float,
    turnover_seconds: float,
    seconds_per_token: float,
    transfer_seconds_per_token: float | None,
) -> PauseAction:
    """Weighs the prefix of a paused program against the pressure for memory.

    Args:
        prefix_tokens: Tokens that the program holds in the cache.
        expected_pause_seconds: Time until the program's next model call.
        occupancy: Share of the cache in use, 0 to 1.
        turnover_seconds: Time in which the engine replaces its whole cache.
        seconds_per_token: Time to compute one token again.
        transfer_seconds_per_token: Time to export and import one token; None when
            the prefix cannot be moved.
    """
    if occupancy < FULL_OCCUPANCY or prefix_tokens == 0:
        return PauseAction.KEEP
    if expected_pause_seconds < turnover_seconds:
        return PauseAction.KEEP
    if transfer_seconds_per_token is None:
        return PauseAction.DROP
    if transfer_seconds_per_token < seconds_per_token:
        return PauseAction.EXPORT
    return PauseAction.DROP
