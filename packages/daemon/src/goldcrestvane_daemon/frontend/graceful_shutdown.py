"""Graceful shutdown of a frontend.

The frontend leaves the balancer's rotation, finishes running calls and exits.
"""

from collections.abc import Callable
from typing import final

import trio

from goldcrestvane_common.logs import get_logger

BALANCER_REMOVAL_SECONDS = 2.5
"""Time after which the balancer sends no new connections. It checks readiness once a
second and removes a process after two failed checks."""

KILL_MARGIN_SECONDS = 0.5
"""Margin by which the process exits before it would be killed."""

POLL_SECONDS = 0.05
MIN_IDLE_POLLS = 2
"""Polls without a running call after which the process stops. A connection that is being
accepted at one poll is counted at the next."""

logger = get_logger("stop")


@final
class GracefulShutdown:
    """Shuts a frontend down gracefully.

    Attributes:
        requested: Set when the frontend is to stop.
        closing: Set when idle connections are to be closed.
    """

    def __init__(self, grace_seconds: float) -> None:
        self._grace_seconds = grace_seconds
        self.requested = trio.Event()
        self.closing = trio.Event()

    def deduct_held(self, seconds: float) -> None:
        """Shortens the grace period, which begins when a signal is sent.

        Args:
            seconds: Time for which a signal may have been held back during the start.
        """
        self._grace_seconds -= seconds

    async def wait(self, count_in_flight: Callable[[], int]) -> None:
        """Waits for a request to stop, and then for the running calls to end.

        Calls that still run at the end of the grace period are abandoned.
        """
        await self.requested.wait()
        logger.info("finishing the running calls", extra={"running": count_in_flight()})
        end = trio.current_time() + self._grace_seconds - KILL_MARGIN_SECONDS
        with trio.move_on_at(end):
            await trio.sleep(BALANCER_REMOVAL_SECONDS)
        self.closing.set()
        idle_polls = 0
        while idle_polls < MIN_IDLE_POLLS and trio.current_time() < end:
            await trio.sleep(POLL_SECONDS)
            idle_polls = 0 if count_in_flight() else idle_polls + 1
        logger.info("stopped", extra={"running": count_in_flight()})
