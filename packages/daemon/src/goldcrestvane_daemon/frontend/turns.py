"""Opens and settles turns in the ledger."""

from typing import final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.ledger_client import (
    LedgerClient,
    LedgerUnavailable,
    TurnUnknown,
    count_committed,
)
from goldcrestvane_daemon.frontend.plan import PlannedCall, build_prompt
from goldcrestvane_daemon.frontend.refusals import BudgetSpent, LedgerDown, UnknownTurn
from goldcrestvane_daemon.ledger.messages import Account, Spend, Turn

LEDGER_RETRY_SECONDS = 0.3
"""Time until a lost member of the ledger is usually reached again."""

SETTLE_ATTEMPTS = 3
"""Attempts to settle tokens of a turn that is over; unsettled, they count at their most."""

logger = get_logger("turn")


@final
class TurnKeeper:
    """Reserves a turn's tokens before it runs and records what it took."""

    def __init__(self, ledger: LedgerClient) -> None:
        self._ledger = ledger

    async def open(self, call: PlannedCall) -> None:
        """Makes the turn's reservation durable and completes its prompt.

        Raises:
            LedgerDown: No quorum recorded the reservation.
            UnknownTurn: The turn before it does not exist.
            BudgetSpent: The budget does not hold the turn.
        """
        headers = call.headers
        assert headers.program and headers.call and headers.token_budget is not None
        spend = Spend(headers.call, headers.output_tokens)
        account = Account(headers.program, [spend], call.route.retention_seconds)
        previous = headers.previous_turn if call.is_kept else None
        try:
            opened = await self._ledger.open_turn(account=account, previous=previous)
        except LedgerUnavailable as error:
            raise LedgerDown(
                f"The ledger cannot record the turn: {error}",
                retry_after=LEDGER_RETRY_SECONDS,
            ) from error
        except TurnUnknown as error:
            raise UnknownTurn(str(error)) from error
        committed = count_committed(opened.spends)
        if committed > headers.token_budget:
            raise BudgetSpent(
                f"The program has {headers.token_budget} tokens; its turns take up to "
                f"{committed}. Begin a new program."
            )
        if call.is_kept:
            call.body = build_prompt(opened.chain, call.client_body)

    async def settle(self, call: PlannedCall) -> None:
        """Records what a turn took that did not end whole, or that is not kept."""
        for _ in range(SETTLE_ATTEMPTS):
            try:
                await self._settle(call, None)
            except LedgerUnavailable as error:
                reason = str(error)
                await trio.sleep(LEDGER_RETRY_SECONDS)
            else:
                return
        logger.warning(
            "a turn stays counted at its most",
            extra={"call": call.headers.call, "reason": reason},
        )

    async def keep(self, call: PlannedCall) -> None:
        """Makes a whole turn durable; returns once it is, or is cancelled."""
        headers = call.headers
        assert headers.call
        turn = Turn(
            headers.call,
            headers.previous_turn,
            call.client_body,
            bytes(call.output),
            call.route.retention_seconds,
        )
        while not call.settled:
            try:
                await self._settle(call, turn)
                call.settled = True
            except LedgerUnavailable as error:
                logger.warning(
                    "the end of a turn is not durable yet",
                    extra={"call": headers.call, "reason": str(error)},
                )
                await trio.sleep(LEDGER_RETRY_SECONDS)

    async def _settle(self, call: PlannedCall, turn: Turn | None) -> None:
        headers = call.headers
        assert headers.program and headers.call
        spend = Spend(headers.call, call.events * call.tokens_per_event, settled=True)
        retention = call.route.retention_seconds
        await self._ledger.settle(headers.program, spend, turn, retention)
