"""Detects that this process was paused, for example by SIGSTOP or a frozen host.

During the pause other processes may have taken over its work, so the calls that waited
in its sockets and queues are stale. For a short time after a pause the process refuses
calls, with the outcome that they have not run.
"""

import math
from typing import final

import trio

from goldcrestvane_common.errors import Unavailable
from goldcrestvane_common.logs import get_logger

TICK_INTERVAL_SECONDS = 0.25
PAUSE_THRESHOLD_SECONDS = 1.5
REFUSAL_SECONDS = 1.0

logger = get_logger("pauses")


@final
class PauseDetector:
    """Detects pauses by ticks that are later than scheduled."""

    def __init__(self) -> None:
        self._last_tick = math.inf
        self._refuse_until = -math.inf

    async def run(self) -> None:
        """Records ticks until cancelled."""
        while True:
            self._record_tick()
            await trio.sleep(TICK_INTERVAL_SECONDS)

    def _record_tick(self) -> None:
        now = trio.current_time()
        if now - self._last_tick > PAUSE_THRESHOLD_SECONDS:
            logger.warning("the process was paused for %.1f s", now - self._last_tick)
            self._refuse_until = now + REFUSAL_SECONDS
        self._last_tick = now

    def check(self) -> None:
        """Refuses a call that may have waited during a pause.

        Raises:
            Unavailable: The process was paused a short time ago.
        """
        self._record_tick()
        if trio.current_time() < self._refuse_until:
            raise Unavailable(
                "This process was paused, and others may have taken over its work. "
                "Send the call again.",
                retry_after=REFUSAL_SECONDS,
            )
