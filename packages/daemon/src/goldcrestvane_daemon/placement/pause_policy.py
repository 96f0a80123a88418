"""Policy for the cached prefix of a program that waits for a tool."""

from enum import Enum

FULL_OCCUPANCY = 0.9
"""Occupancy of the cache from which a kept prefix displaces other prefixes."""


class PauseAction(Enum):
    """Action on the cached prefix of a paused program."""

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
    """Returns the action on the prefix of a paused program.

    Args:
        prefix_tokens: Cached tokens of the program's prefix.
        expected_pause_seconds: Time until the program's next model call.
        occupancy: Share of the cache in use, from 0 to 1.
        turnover_seconds: Time in which the engine replaces its whole cache.
        seconds_per_token: Time to recompute one token.
        transfer_seconds_per_token: Time to export and import one token; None if the
            prefix cannot be transferred.
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
