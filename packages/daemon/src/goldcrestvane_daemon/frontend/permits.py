"""Requests for permits to call targets that state a rate limit."""

from collections.abc import Callable
from typing import Protocol, final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable
from goldcrestvane_daemon.frontend.metrics import PERMITS
from goldcrestvane_daemon.ledger.messages import AcquirePermit, Permit, RateLimit
from goldcrestvane_daemon.tasks import Task, run_supervised

logger = get_logger("rate")


class PermitSource(Protocol):
    """Issues permits for the calls of all frontends."""

    async def acquire_permit(self, request: AcquirePermit) -> Permit:
        """Asks for a permit; raises LedgerUnavailable."""

    async def report_limit(self, limit: RateLimit) -> None:
        """Reports a change of a limit; raises LedgerUnavailable."""


@final
class PermitClient:
    """Sends requests for permits in tasks of their own."""

    def __init__(self, source: PermitSource, nursery: trio.Nursery) -> None:
        self._source = source
        self._nursery = nursery

    def ask(
        self, request: AcquirePermit, on_answer: Callable[[Permit | None], None]
    ) -> None:
        """Asks for a permit; calls `on_answer` with None if no member answers."""
        self._nursery.start_soon(self._run_ask, request, on_answer)

    def report(self, limit: RateLimit) -> None:
        """Reports that a target states another limit than before."""
        self._nursery.start_soon(run_supervised, Task.PERMIT, self._report, limit)

    async def _run_ask(
        self, request: AcquirePermit, on_answer: Callable[[Permit | None], None]
    ) -> None:
        permit = None

        async def ask() -> None:
            nonlocal permit
            permit = await self._ask(request)

        await run_supervised(Task.PERMIT, ask)
        await run_supervised(Task.PERMIT, _answer, on_answer, permit)

    async def _ask(self, request: AcquirePermit) -> Permit | None:
        permit = None
        try:
            permit = await self._source.acquire_permit(request)
        except LedgerUnavailable as error:
            logger.warning(
                "got no permit for a target",
                extra={"target": request.limit.target, "reason": str(error)},
            )
        result = "unavailable" if permit is None else "issued"
        if permit is not None and permit.wait_seconds is None:
            result = "denied"
        PERMITS.labels(result).inc()
        return permit

    async def _report(self, limit: RateLimit) -> None:
        try:
            await self._source.report_limit(limit)
        except LedgerUnavailable as error:
            # The next request for a permit names the limit, too.
            logger.info(
                "reporting a rate limit failed",
                extra={"target": limit.target, "reason": str(error)},
            )


async def _answer(
    on_answer: Callable[[Permit | None], None], permit: Permit | None
) -> None:
    on_answer(permit)
