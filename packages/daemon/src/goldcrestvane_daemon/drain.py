"""Graceful shutdown of a process: leave, finish the calls in flight, then exit.

The shutdown starts on a signal, on an operator's drain request, or when the platform's
list shows the instance as leaving.
"""

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

LIST_CHECK_INTERVAL_SECONDS = 0.2
IDLE_SECONDS = 1.0
IDLE_CHECK_INTERVAL_SECONDS = 0.05
MAX_DRAIN_SECONDS = 600.0

logger = get_logger("drain")


@final
class Drain:
    """Runs the graceful shutdown of a process.

    Attributes:
        requested: Set when the process has been asked to leave.
        finished: Set when no calls are in flight and the server may close.
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
            membership: Announces to the peers that this instance leaves.
            stop_accepting_calls: Makes this process refuse new calls.
            hand_over: Hands over the shards that other processes can own.
            count_in_flight: Returns the number of calls and requests in flight.
        """
        self._membership = membership
        self._stop_accepting_calls = stop_accepting_calls
        self._hand_over = hand_over
        self._count_in_flight = count_in_flight
        self.requested = trio.Event()
        self.finished = trio.Event()

    def add_routes(self, router: Router) -> None:
        """Adds the route for the operator's drain request."""
        router.add("POST", DRAIN_PATH, self._serve_drain)

    async def _serve_drain(self, request: Request) -> Response:
        self.requested.set()
        return JsonResponse(value=Accepted("leaving"))

    async def run(self) -> None:
        """Waits for a drain request, then shuts the process down gracefully."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_list)
            await self.requested.wait()
            nursery.cancel_scope.cancel()
        logger.info("leaving; new calls are refused")
        await self._membership.begin_leaving(self._stop_accepting_calls)
        await self._hand_over()
        with trio.move_on_after(MAX_DRAIN_SECONDS):
            await self._wait_until_idle()
        logger.info("no calls are in flight")
        self.finished.set()

    async def _watch_list(self) -> None:
        while not self._membership.is_listed_as_leaving():
            await trio.sleep(LIST_CHECK_INTERVAL_SECONDS)
        self.requested.set()

    async def _wait_until_idle(self) -> None:
        """Waits until no call has been in flight for `IDLE_SECONDS`.

        The delay lets owners fetch the results of calls that have just finished.
        """
        idle_since = trio.current_time()
        while trio.current_time() - idle_since < IDLE_SECONDS:
            if self._count_in_flight():
                idle_since = trio.current_time()
            await trio.sleep(IDLE_CHECK_INTERVAL_SECONDS)
