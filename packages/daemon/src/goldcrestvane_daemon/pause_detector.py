"""Notices that this process was paused, for example by SIGSTOP or a frozen host.

Others have taken its work over meanwhile, so what waited in its sockets and queues is
out of date. After a pause it refuses such work for a moment, as not run.
"""

import math
from typing import final

import trio

from goldcrestvane_common.errors import Unavailable
from goldcrestvane_common.logs import get_logger

TICK_SECONDS = 0.25
PAUSE_SECONDS = 1.5
GRACE_SECONDS = 1.0

logger = get_logger("pauses")


@final
class PauseDetector:
    """Compares the time between two ticks with the time that was asked for."""

    def __init__(self) -> None:
        self._last_tick = math.inf
        self._refuse_until = -math.inf

    async def run(self) -> None:
        """Ticks until cancelled."""
        while True:
            self._note_tick()
            await trio.sleep(TICK_SECONDS)

    def _note_tick(self) -> None:
        now = trio.current_time()
        if now - self._last_tick > PAUSE_SECONDS:
            logger.warning("the process was paused for %.1f s", now - self._last_tick)
            self._refuse_until = now + GRACE_SECONDS
        self._last_tick = now

    def check(self) -> None:
        """Refuses work that may have waited through a pause.

        Raises:
            Unavailable: The process was paused just now.
        """
        self._note_tick()
        if trio.current_time() < self._refuse_until:
            raise Unavailable(
                "This process was paused, and others have taken its work over. "
                "Send the call again.",
                retry_after=GRACE_SECONDS,
            )
