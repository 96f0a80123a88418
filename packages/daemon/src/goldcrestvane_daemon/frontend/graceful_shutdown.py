"""Planned stop of a frontend: leave the rotation, finish what runs, end."""

from collections.abc import Callable
from typing import final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.shutdown_signals import wait_for_shutdown_signal

ROTATION_SECONDS = 2.5
"""The balancer asks once a second and takes a process out after two misses."""

END_MARGIN_SECONDS = 0.5
"""How long before the kill the process ends by itself."""

CHECK_SECONDS = 0.05

logger = get_logger("stop")


@final
class GracefulShutdown:
    """Brings a frontend to its end.

    Attributes:
        requested: Whether the process is told to stop.
        closing: Set when idle connections are to be closed.
    """

    def __init__(self, grace_seconds: float) -> None:
        self._grace_seconds = grace_seconds
        self.requested = False
        self.closing = trio.Event()

    async def wait(self, count_in_flight: Callable[[], int]) -> None:
        """Returns when the process was told to stop and nothing runs any more."""
        await wait_for_shutdown_signal()
        logger.info("told to stop", extra={"running": count_in_flight()})
        self.requested = True
        end = trio.current_time() + self._grace_seconds - END_MARGIN_SECONDS
        await trio.sleep(ROTATION_SECONDS)
        self.closing.set()
        while count_in_flight() and trio.current_time() < end:
            await trio.sleep(CHECK_SECONDS)
        logger.info("stopped", extra={"running": count_in_flight()})
