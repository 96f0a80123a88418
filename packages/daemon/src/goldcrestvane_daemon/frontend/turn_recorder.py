"""Opens and settles turns in the ledger."""

from typing import final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.admission import AdmissionClass, get_admission_class
from goldcrestvane_daemon.frontend.call_context import CallContext, build_prompt
from goldcrestvane_daemon.frontend.ledger_client import (
    LedgerClient,
    LedgerUnavailable,
    OpenedTurn,
    TurnNotFound,
    sum_committed_tokens,
)
from goldcrestvane_daemon.frontend.refusals import BudgetSpent, LedgerDown, UnknownTurn
from goldcrestvane_daemon.ledger.messages import TokenAccount, TokenCharge, Turn

LEDGER_RETRY_SECONDS = 0.3
"""Time until a lost member of the ledger is usually reached again."""

OPEN_RETRY_SECONDS = 0.1
MAX_PATIENCE_SECONDS = 1.2
LEDGER_WAIT_SHARE = 0.4
"""Part of its time that a turn waits for the ledger. Members are back a second after a
loss of power; a refused turn costs its whole program after three tries."""

SETTLE_ATTEMPTS = 3
"""Attempts to settle tokens of a turn that is over; unsettled, they count at their most."""

logger = get_logger("turn")


@final
class TurnRecorder:
    """Reserves a turn's tokens before it runs and records what it took."""

    def __init__(self, ledger: LedgerClient) -> None:
        self._ledger = ledger

    async def open(self, call: CallContext) -> None:
        """Makes the turn's reservation durable and completes its prompt.

        Raises:
            LedgerDown: No quorum recorded the reservation in a part of the call's time.
            UnknownTurn: The turn before it does not exist.
            BudgetSpent: The budget does not hold the turn.
        """
        headers = call.headers
        assert headers.program and headers.call and headers.token_budget is not None
        charge = TokenCharge(headers.call, headers.output_tokens)
        account = TokenAccount(headers.program, [charge], call.route.retention_seconds)
        try:
            opened = await self._open_patiently(call, account)
        except TurnNotFound as error:
            raise UnknownTurn(str(error)) from error
        committed = sum_committed_tokens(opened.charges)
        if committed > headers.token_budget:
            raise BudgetSpent(
                f"The program has {headers.token_budget} tokens; its turns take up to "
                f"{committed}. Begin a new program."
            )
        call.admission_class = _find_standing(call, opened)
        if call.is_stored:
            call.body = build_prompt(opened.chain, call.client_body)

    async def _open_patiently(
        self, call: CallContext, account: TokenAccount
    ) -> OpenedTurn:
        """Opens a turn, waiting a part of its time for a ledger that is away."""
        previous = call.headers.previous_turn if call.is_stored else None
        max_wait = min(MAX_PATIENCE_SECONDS, LEDGER_WAIT_SHARE * call.seconds_left)
        give_up = trio.current_time() + max_wait
        while True:
            try:
                return await self._ledger.open_turn(account=account, previous=previous)
            except LedgerUnavailable as error:
                if trio.current_time() + OPEN_RETRY_SECONDS > give_up:
                    raise LedgerDown(
                        f"The ledger cannot record the turn: {error}",
                        retry_after=LEDGER_RETRY_SECONDS,
                    ) from error
            await trio.sleep(OPEN_RETRY_SECONDS)

    async def settle(self, call: CallContext) -> None:
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

    async def store(self, call: CallContext) -> None:
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

    async def _settle(self, call: CallContext, turn: Turn | None) -> None:
        headers = call.headers
        assert headers.program and headers.call
        charge = TokenCharge(
            headers.call, call.events * call.tokens_per_event, is_final=True
        )
        retention = call.route.retention_seconds
        await self._ledger.settle(headers.program, charge, turn, retention)


def _find_standing(call: CallContext, opened: OpenedTurn) -> AdmissionClass:
    """Returns how far a turn's program has come, by what its turns have spent."""
    others = [
        charge for charge in opened.charges.values() if charge.call != call.headers.call
    ]
    ran = any(charge.tokens > 0 or not charge.is_final for charge in others)
    return get_admission_class(
        has_started=ran or call.headers.previous_turn is not None,
        refused_before=bool(others),
        program_ms_left=call.headers.program_deadline_ms,
    )
