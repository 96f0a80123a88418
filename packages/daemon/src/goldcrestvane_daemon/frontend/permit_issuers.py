"""Chooses the member of the ledger that issues the permits of a target."""

from typing import Any, final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    AcquirePermit,
    Failed,
    Permit,
    RateLimit,
    ReportLimit,
)
from goldcrestvane_daemon.ledger.view import Member

PERMIT_TIMEOUT_SECONDS = 0.15
"""Time for which a member is asked for a permit. A call waits for it."""

PERMIT_BACKOFF_SECONDS = 1.0
"""Time for which a member that issued no permit is asked only if the others issued none
either."""

PERMIT_ISSUERS = 2
"""Number of members that may be asked for the permits of one target."""

logger = get_logger("rate")


@final
class PermitIssuers:
    """The members of the ledger that issue permits.

    The first choice of a target is asked, and the second one if it does not answer.
    """

    def __init__(self, ledger: LedgerClient) -> None:
        self._ledger = ledger
        self._backoff_until: dict[str, float] = {}

    async def acquire_permit(self, request: AcquirePermit) -> Permit:
        """Asks for a permit for one call to a target with a rate limit.

        Raises:
            LedgerUnavailable: No member that may issue it answered.
        """
        return await self._call_issuer(request)

    async def report_limit(self, limit: RateLimit) -> None:
        """Reports a change of a target's rate limit. Raises as `acquire_permit`."""
        await self._call_issuer(ReportLimit(limit))

    async def _call_issuer(self, request: AcquirePermit | ReportLimit) -> Permit:
        for member in self._list_issuers(request):
            now = trio.current_time()
            answer: Any = Failed("no answer in time")
            try:
                # A late answer is no reason to close the connection.
                with trio.move_on_after(PERMIT_TIMEOUT_SECONDS):
                    answer = await self._ledger.call(member.address, request)
            except PeerUnreachable as error:
                answer = Failed(str(error))
            if isinstance(answer, Permit):
                return answer
            self._backoff_until[member.address] = now + PERMIT_BACKOFF_SECONDS
            logger.info(
                "a member issues no permits",
                extra={"member": member.instance, "answer": str(answer)},
            )
        raise LedgerUnavailable(f"No member issues permits for {request.limit.target}.")

    def _list_issuers(self, request: AcquirePermit | ReportLimit) -> list[Member]:
        """Returns the members to ask, of those without permits only the next one due."""
        view = self._ledger.view
        if view is None:
            return []
        ranked = view.rank_permit_issuers(request.limit.target)[:PERMIT_ISSUERS]

        def get_backoff(member: Member) -> float:
            return self._backoff_until.get(member.address, 0.0)

        now = trio.current_time()
        sound = [each for each in ranked if get_backoff(each) <= now]
        # A response that was late, such as after a lost packet, is no sign of a failure.
        return sound or sorted(ranked, key=get_backoff)[:1]
