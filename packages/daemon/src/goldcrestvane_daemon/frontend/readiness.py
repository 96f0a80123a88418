"""Readiness of a frontend for the load balancer.

Load pattern: all processes start at once. The balancer asks once a second, so a process
that is asked a few milliseconds before it is ready would get no clients for a second while
the others serve all of them.
"""

from collections.abc import Callable
from typing import final

import trio

START_WAIT_SECONDS = 0.5
"""Time after the start of the process within which a check waits for readiness. The store
and the ledger answer a new process in milliseconds."""

POLL_SECONDS = 0.01


@final
class Readiness:
    """Answers whether clients should be sent to this process."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Creates the readiness of a process that has just started.

        Args:
            is_ready: Returns whether the process can serve clients now.
        """
        self._is_ready = is_ready
        self._wait_until = trio.current_time() + START_WAIT_SECONDS

    async def check(self) -> bool:
        """Returns whether the process is ready; waits for it while it starts."""
        while not self._is_ready() and trio.current_time() < self._wait_until:
            await trio.sleep(POLL_SECONDS)
        return self._is_ready()
