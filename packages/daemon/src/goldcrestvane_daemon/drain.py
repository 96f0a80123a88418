"""Planned stop of a process: leave, finish what runs, then end.

A stop begins with a signal, an operator's drain order, or the platform's list saying
that the instance leaves.
"""

import signal
from collections.abc import Awaitable, Callable
from typing import final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    Accepted,
)
from goldcrestvane_common.paths import (
    DRAIN_PATH,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_daemon.membership import Membership

LIST_CHECK_SECONDS = 0.2
QUIET_SECONDS = 1.0
QUIET_CHECK_SECONDS = 0.05
MAX_DRAIN_SECONDS = 600.0

logger = get_logger("drain")


@final
class Drain:
    """Brings a process to its planned stop.

    Attributes:
        requested: Set when the process is to leave.
        finished: Set when nothing runs any more; the server may close.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        stop_accepting_calls: Callable[[], None],
        hand_over: Callable[[], Awaitable[None]],
        count_in_flight: Callable[[], int],
    ) -> None:
        """Creates a drain.

        Args:
            membership: Tells the peers that this instance leaves.
            stop_accepting_calls: Closes this process to new work.
            hand_over: Gives up what other processes can take over.
            count_in_flight: Returns the number of calls and requests under way.
        """
        self._membership = membership
        self._refuse_work = stop_accepting_calls
        self._hand_over = hand_over
        self._count_running = count_in_flight
        self.requested = trio.Event()
        self.finished = trio.Event()

    def add_routes(self, router: Router) -> None:
        """Serves the operator's drain order."""
        router.add("POST", DRAIN_PATH, self._serve_drain)

    async def _serve_drain(self, request: Request) -> Response:
        self.requested.set()
        return JsonResponse(value=Accepted("leaving"))

    async def run(self) -> None:
        """Waits for a reason to leave, then leaves."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_signals)
            nursery.start_soon(self._watch_list)
            await self.requested.wait()
            nursery.cancel_scope.cancel()
        logger.info("leaving; no new work is taken")
        await self._membership.begin_leaving(self._refuse_work)
        await self._hand_over()
        with trio.move_on_after(MAX_DRAIN_SECONDS):
            await self._wait_quiet()
        logger.info("nothing runs any more")
        self.finished.set()

    async def _watch_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.requested.set()

    async def _watch_list(self) -> None:
        while not self._membership.is_listed_as_leaving():
            await trio.sleep(LIST_CHECK_SECONDS)
        self.requested.set()

    async def _wait_quiet(self) -> None:
        """Waits until nothing has run for `QUIET_SECONDS`.

        The pause lets owners fetch the ends of calls that finished just now.
        """
        quiet_since = trio.current_time()
        while trio.current_time() - quiet_since < QUIET_SECONDS:
            if self._count_running():
                quiet_since = trio.current_time()
            await trio.sleep(QUIET_CHECK_SECONDS)
