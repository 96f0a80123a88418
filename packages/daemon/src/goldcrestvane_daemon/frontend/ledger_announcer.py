"""Announces a frontend to the members of the ledger, and learns from them.

Load pattern: frontends are cut off from the members while other frontends reach them. Each
announcement that another frontend relays shows that this one can still serve turns.
"""

from collections.abc import Callable
from typing import final

import trio

from goldcrestvane_common.ids import Epoch
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    Announce,
    Frontend,
    Frontends,
    RateLimit,
)
from goldcrestvane_daemon.tasks import Task, run_supervised

ANNOUNCE_INTERVAL_SECONDS = 3.0
"""Interval at which a frontend announces itself. The other frontends know a new one
within this time."""

ANNOUNCE_RETRY_SECONDS = 0.5
"""Interval while this frontend has no quorum of its own."""

logger = get_logger("ledger")


@final
class LedgerAnnouncer:
    """Keeps the members informed of one frontend."""

    def __init__(
        self,
        ledger: LedgerClient,
        frontends: FrontendPeers,
        local_frontend: Frontend,
        on_limit: Callable[[RateLimit], None] = lambda limit: None,
    ) -> None:
        """Creates an announcer; `run` starts it.

        Args:
            ledger: Client of the members, which adopts their newer views.
            frontends: Connections to the other frontends that the members name.
            local_frontend: The frontend to announce.
            on_limit: Called with each rate limit of a target that the members know.
        """
        self._ledger = ledger
        self._frontends = frontends
        self._local_frontend = local_frontend
        self._on_limit = on_limit

    async def run(self) -> None:
        """Announces the frontend until cancelled."""
        await run_supervised(Task.ANNOUNCEMENT, self._run)

    async def _run(self) -> None:
        while True:
            for address in self._ledger.list_addresses():
                # Others relay only if they are needed, which costs them messages.
                if self._ledger.is_connected(address) or not self._ledger.is_reachable:
                    await self._announce(address)
            await trio.sleep(
                ANNOUNCE_INTERVAL_SECONDS
                if self._ledger.is_reachable
                else ANNOUNCE_RETRY_SECONDS
            )

    async def _announce(self, address: str) -> None:
        """Announces the frontend to a member, and learns what the member knows."""
        epoch = self._ledger.view.epoch if self._ledger.view else Epoch(0)
        announcement = Announce(self._local_frontend, epoch)
        try:
            answer = await self._ledger.call(address, announcement)
        except PeerUnreachable as error:
            logger.info(
                "announcing this frontend to a member failed",
                extra={"reason": str(error)},
            )
            return
        if not isinstance(answer, Frontends):
            return
        self._frontends.update_frontends(answer.frontends, self._local_frontend.domain)
        if answer.view is not None:
            self._ledger.adopt(answer.view)
        for limit in answer.limits:
            self._on_limit(limit)
