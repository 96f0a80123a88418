"""Records turns and their token charges in the ledger."""

from typing import final

import trio

from goldcrestvane_common.ids import AccountId, CallId, StreamOrigin
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.admission import AdmissionClass, get_admission_class
from goldcrestvane_daemon.frontend.call_chain import CallChain
from goldcrestvane_daemon.frontend.call_context import CallContext
from goldcrestvane_daemon.frontend.ledger_answers import (
    OpenedTurn,
    sum_committed_tokens,
)
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable, TurnNotFound
from goldcrestvane_daemon.frontend.memory_budget import (
    CHAIN_WAIT_SECONDS,
    MemoryBudget,
    MemoryFull,
    MemoryReservation,
)
from goldcrestvane_daemon.frontend.metrics import REFUSED_CHAINS
from goldcrestvane_daemon.frontend.refusals import (
    BudgetSpent,
    LedgerDown,
    Overloaded,
    Refusal,
    UnknownTurn,
)
from goldcrestvane_daemon.ledger.messages import TokenAccount, TokenCharge, Turn
from goldcrestvane_daemon.ledger.turn_cache import get_text_size

LEDGER_RETRY_SECONDS = 0.3
"""Pause before a retry. A lost member of the ledger is usually reachable again within
this time."""

FULL_RETRY_SECONDS = 1.0
"""Retry-After while the ledger has no room. Members look for free space twice a second."""

OPEN_RETRY_SECONDS = 0.1
MAX_LEDGER_WAIT_SECONDS = 1.2
LEDGER_WAIT_SHARE = 0.4
"""Share of a turn's remaining time for which it waits for the ledger. Members are back
one second after a power loss, and three refusals of a turn fail its whole program."""

SETTLE_ATTEMPTS = 3
"""Maximum number of attempts to settle the tokens of a turn that has ended. A turn that
stays unsettled counts with its full reservation."""

logger = get_logger("turn")


@final
class TurnRecorder:
    """Reserves a turn's tokens before it runs and records the tokens that it used."""

    def __init__(
        self, ledger: LedgerClient, chain_memory: MemoryBudget | None = None
    ) -> None:
        """Creates a recorder.

        Args:
            ledger: The ledger.
            chain_memory: Memory for chains and for turns that are being stored; None if it
                has no bound.
        """
        self._ledger = ledger
        self._chain_memory = chain_memory or MemoryBudget()

    async def open(self, call: CallContext) -> dict[CallId, TokenCharge]:
        """Makes the turn's reservation durable and reads its chain.

        The caller releases the chain of the call, if it has one afterwards.

        Returns:
            The token charges of the program.

        Raises:
            LedgerDown: No quorum recorded the reservation within the maximum wait, or
                the ledger has no room for the turn.
            Overloaded: There is no memory for the chain.
            UnknownTurn: The previous turn does not exist or is another account's.
            BudgetSpent: The turn exceeds the program's token budget.
        """
        headers = call.headers
        program = call.program_key
        assert program and headers.call and headers.token_budget is not None
        charge = _build_reservation(call)
        account = TokenAccount(program, [charge], call.route.retention_seconds)
        memory = self._chain_memory.open()
        try:
            opened = await self._open_with_retries(call, account, memory)
        except BaseException:
            memory.release()
            raise
        call.chain = CallChain(opened.chain, memory)
        _check_ownership(call, opened)
        if call.is_stored and not opened.accepts_turns:
            raise LedgerDown(
                "The ledger has no room to store the turn. Send the call again later.",
                retry_after=FULL_RETRY_SECONDS,
            )
        committed = sum_committed_tokens(opened.charges)
        if committed > headers.token_budget:
            raise BudgetSpent(
                f"The program has a budget of {headers.token_budget} tokens, but its turns "
                f"may use {committed}. Start a new program."
            )
        call.admission_class = _find_admission_class(call, opened)
        if call.is_resumption:
            call.origin = find_resumed_origin(headers.resumes, opened.charges)
        if call.is_stored:
            call.chain_root = opened.chain[-1].call if opened.chain else headers.call
            call.chain_target = opened.chain[0].target if opened.chain else None
        return opened.charges

    async def _open_with_retries(
        self, call: CallContext, account: TokenAccount, memory: MemoryReservation
    ) -> OpenedTurn:
        """Opens a turn, and retries for a limited time if the ledger is unavailable."""
        previous = call.headers.previous_turn if call.is_stored else None
        max_wait = min(MAX_LEDGER_WAIT_SECONDS, LEDGER_WAIT_SHARE * call.seconds_left)
        give_up = trio.current_time() + max_wait
        while True:
            try:
                return await self._ledger.open_turn(
                    account=account, previous=previous, memory=memory
                )
            except TurnNotFound as error:
                raise UnknownTurn(str(error)) from error
            except MemoryFull as error:
                raise _build_memory_refusal(error) from error
            except LedgerUnavailable as error:
                if trio.current_time() + OPEN_RETRY_SECONDS > give_up:
                    raise LedgerDown(
                        f"The ledger cannot record the turn: {error}",
                        retry_after=LEDGER_RETRY_SECONDS,
                    ) from error
            # Calls that wait for the ledger leave the memory to others.
            memory.release()
            await trio.sleep(OPEN_RETRY_SECONDS)

    async def load_chain(self, call: CallContext) -> None:
        """Reads the chain of a call again if it was dropped.

        Raises:
            LedgerDown: The ledger does not return the chain.
            Overloaded: There is no memory for the chain.
        """
        chain, previous = call.chain, call.headers.previous_turn
        if chain is None or chain.turns is not None:
            return
        assert previous is not None
        try:
            chain.turns = await self._ledger.read_chain(
                previous, chain.memory, size=chain.size
            )
        except MemoryFull as error:
            raise _build_memory_refusal(error) from error
        except (LedgerUnavailable, TurnNotFound) as error:
            raise LedgerDown(
                f"The ledger does not return the chain of the turn: {error}",
                retry_after=LEDGER_RETRY_SECONDS,
            ) from error

    async def record_origin(self, call: CallContext) -> None:
        """Makes durable, for other frontends, how a turn's stream began.

        That is the origin of the stream, or the stream that the turn continues.

        Raises:
            LedgerUnavailable: No quorum recorded the origin.
        """
        program = call.program_key
        assert program
        await self._ledger.settle(
            program,
            _build_reservation(call),
            None,
            call.route.retention_seconds,
        )

    async def settle(self, call: CallContext) -> None:
        """Records the tokens of a turn that is incomplete or not stored."""
        for _ in range(SETTLE_ATTEMPTS):
            try:
                await self._settle(call, None)
            except LedgerUnavailable as error:
                reason = str(error)
                await trio.sleep(LEDGER_RETRY_SECONDS)
            else:
                return
        logger.warning(
            "a turn stays charged with its full reservation",
            extra={"call": call.headers.call, "reason": reason},
        )

    async def store(self, call: CallContext) -> None:
        """Stores a complete turn; retries until the turn is durable or the call ends."""
        headers = call.headers
        assert headers.call
        turn = Turn(
            headers.call,
            headers.previous_turn,
            call.client_body,
            call.output.take(),
            call.route.retention_seconds,
            call.account_id or AccountId(""),
            call.target,
        )
        size = min(get_text_size(turn), self._chain_memory.limit)
        while not call.settled:
            try:
                # The messages to the members contain copies of the turn.
                with self._chain_memory.reserve() as memory:
                    await memory.grow(int(size))
                    await self._settle(call, turn)
                call.settled = True
            except (LedgerUnavailable, MemoryFull) as error:
                logger.warning(
                    "the end of a turn is not durable yet",
                    extra={"call": headers.call, "reason": str(error)},
                )
                await trio.sleep(LEDGER_RETRY_SECONDS)

    async def _settle(self, call: CallContext, turn: Turn | None) -> None:
        program = call.program_key
        assert program and call.headers.call
        charge = TokenCharge(
            call.headers.call,
            call.events * call.tokens_per_event,
            is_final=True,
            origin=call.recorded_origin or StreamOrigin(""),
            origin_changes=call.origin_changes,
            resumes=call.resumed_stream,
            takeover=call.takeover,
            continues_after=call.continues_after,
        )
        retention = call.route.retention_seconds
        chain = call.chain.calls if call.chain else []
        await self._ledger.settle(program, charge, turn, retention, chain)


def _build_reservation(call: CallContext) -> TokenCharge:
    """Returns the charge of a turn that may still generate all its tokens."""
    assert call.headers.call
    return TokenCharge(
        call.headers.call,
        call.headers.output_tokens,
        origin=call.recorded_origin or StreamOrigin(""),
        origin_changes=call.origin_changes,
        resumes=call.resumed_stream,
        takeover=call.takeover,
        continues_after=call.continues_after,
    )


def _build_memory_refusal(error: MemoryFull) -> Refusal:
    REFUSED_CHAINS.inc()
    return Overloaded(f"The call has not run. {error}", retry_after=CHAIN_WAIT_SECONDS)


def _check_ownership(call: CallContext, opened: OpenedTurn) -> None:
    """Raises UnknownTurn if the call continues a turn of another account.

    The text is that for a missing turn, so that it does not tell which turns exist. Turns
    without an account belong to nobody: a new key may be unknown to the frontend that
    takes the first call of a program on an anonymous route.
    """
    allowed = {AccountId(""), call.account_id}
    if any(turn.account not in allowed for turn in opened.chain):
        raise UnknownTurn(f"Turn {call.headers.previous_turn} does not exist.")


def find_resumed_origin(
    resumes: CallId | None, charges: dict[CallId, TokenCharge]
) -> StreamOrigin | None:
    """Returns the origin of a stream that a client takes up, if its program tells.

    Args:
        resumes: Attempt that brought the stream's first event, as the client names it. A
            client need not name it; the stream is then one of its program's.
        charges: Token charges of the program.
    """
    if resumes is not None:
        began = charges.get(resumes)
        return began.origin or None if began is not None else None
    origins = {charge.origin for charge in charges.values() if charge.origin}
    return next(iter(origins)) if len(origins) == 1 else None


def _find_admission_class(call: CallContext, opened: OpenedTurn) -> AdmissionClass:
    """Returns the admission class of a turn, from its program's token charges."""
    others = [
        charge for charge in opened.charges.values() if charge.call != call.headers.call
    ]
    ran = any(charge.tokens > 0 or not charge.is_final for charge in others)
    return get_admission_class(
        has_started=ran or call.headers.previous_turn is not None,
        refused_before=bool(others),
        program_ms_left=call.headers.program_deadline_ms,
    )
