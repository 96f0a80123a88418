"""What the log writes: new and rewritten turns and token charges."""

from typing import Protocol, final

from goldcrestvane_common.ids import CallId
from goldcrestvane_daemon.ledger.messages import TokenAccount, Turn
from goldcrestvane_daemon.ledger.records import (
    AccountMeta,
    Meta,
    RenewalMeta,
    TurnMeta,
    build_turn_meta,
)
from goldcrestvane_daemon.ledger.segments import Segment
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.token_accounts import StoredAccount
from goldcrestvane_daemon.ledger.turn_index import IndexedTurn

RECORD_BYTES = 120
"""Typical size of a record without the input and output of its turn."""

CHARGE_RECORD_BYTES = 60
RENEWAL_RECORD_BYTES = 30
"""Typical sizes of a charge and of the renewal of one turn."""


class LogItem(Protocol):
    """Something that becomes one record.

    Attributes:
        size: Approximate size of the record in bytes.
        turn: Turn that is the record's body, if any.
    """

    size: int
    turn: Turn | None

    def describe(self, state: LedgerState) -> Meta:
        """Returns the description of the record; called when its batch is written."""

    def merge(
        self, state: LedgerState, segment: Segment, offset: int, length: int
    ) -> None:
        """Merges the record into the state; called after its sync."""


@final
class NewTurn:
    """A turn that was not on the disk when it arrived."""

    def __init__(self, turn: Turn) -> None:
        self.turn: Turn | None = turn
        self._turn = turn
        self.size = _estimate_turn_size(turn)
        self._meta: TurnMeta | None = None

    def describe(self, state: LedgerState) -> TurnMeta:
        """Returns the description of the record."""
        until = state.compute_expiry(self._turn.retention_seconds)
        self._meta = build_turn_meta(self._turn, until, written_at=state.now)
        return self._meta

    def merge(
        self, state: LedgerState, segment: Segment, offset: int, length: int
    ) -> None:
        """Adds the turn to the index and to the cache."""
        assert self._meta is not None
        state.merge_turn(self._meta, segment, offset, length)
        state.cache.put_all([self._turn])


@final
class RewrittenTurn:
    """A turn that is written again, so that its segment can be removed."""

    def __init__(self, turn: Turn, indexed: IndexedTurn) -> None:
        self.turn: Turn | None = turn
        self._turn = turn
        self.size = _estimate_turn_size(turn)
        self._indexed = indexed
        self._source = indexed.segment
        self._until = 0.0

    def describe(self, state: LedgerState) -> TurnMeta:
        """Returns the description of the record, with the current expiry."""
        self._until = self._indexed.until
        return build_turn_meta(self._turn, self._until, written_at=state.now)

    def merge(
        self, state: LedgerState, segment: Segment, offset: int, length: int
    ) -> None:
        """Updates the turn's place, unless it has expired or moved since."""
        indexed = self._indexed
        is_known = state.turns.get(indexed.call) is indexed
        if not is_known or indexed.segment is not self._source:
            return
        state.turns.move(indexed, segment, offset, length)
        if indexed.until <= self._until:
            state.turns.drop_renewal(indexed)


@final
class NewCharges:
    """Charges of one entry."""

    turn: Turn | None = None

    def __init__(self, account: TokenAccount) -> None:
        self.size = RECORD_BYTES + CHARGE_RECORD_BYTES * len(account.charges)
        self._account = account
        self._meta: AccountMeta | None = None

    def describe(self, state: LedgerState) -> AccountMeta:
        """Returns the description of the record."""
        until = state.compute_expiry(self._account.retention_seconds)
        self._meta = AccountMeta(self._account, until, state.now)
        return self._meta

    def merge(
        self, state: LedgerState, segment: Segment, offset: int, length: int
    ) -> None:
        """Merges the charges into the account of their program."""
        assert self._meta is not None
        state.merge_account(self._meta, segment)


@final
class RewrittenAccount:
    """An account that is written again with all charges."""

    turn: Turn | None = None

    def __init__(self, account: StoredAccount) -> None:
        self.size = RECORD_BYTES + CHARGE_RECORD_BYTES * len(account.charges)
        self._account = account

    def describe(self, state: LedgerState) -> AccountMeta:
        """Returns the description of the record, with all charges known by then."""
        return AccountMeta(self._account.build(), self._account.until, state.now)

    def merge(
        self, state: LedgerState, segment: Segment, offset: int, length: int
    ) -> None:
        """Records that older segments are no longer needed for the account."""
        state.accounts.move(self._account, segment)


@final
class RenewedTurns:
    """Turns whose retention is extended."""

    turn: Turn | None = None

    def __init__(self, calls: list[CallId], retention_seconds: float) -> None:
        self.size = RECORD_BYTES + RENEWAL_RECORD_BYTES * len(calls)
        self._calls = calls
        self._retention_seconds = retention_seconds
        self._meta = RenewalMeta({})

    def describe(self, state: LedgerState) -> RenewalMeta:
        """Returns the description of the record."""
        until = state.compute_expiry(self._retention_seconds)
        self._meta = RenewalMeta(dict.fromkeys(self._calls, until), state.now)
        return self._meta

    def merge(
        self, state: LedgerState, segment: Segment, offset: int, length: int
    ) -> None:
        """Extends the retention of the turns."""
        state.merge_renewal(self._meta, segment)


@final
class RewrittenRenewals:
    """Renewals that are written again, so that their segment can be removed."""

    turn: Turn | None = None

    def __init__(self, calls: list[CallId]) -> None:
        self.size = RECORD_BYTES + RENEWAL_RECORD_BYTES * len(calls)
        self._calls = calls
        self._meta = RenewalMeta({})

    def describe(self, state: LedgerState) -> RenewalMeta:
        """Returns the description of the record, with the current expiry of each turn."""
        turns = [state.turns.get(call) for call in self._calls]
        expiries = {turn.call: turn.until for turn in turns if turn is not None}
        self._meta = RenewalMeta(expiries, state.now)
        return self._meta

    def merge(
        self, state: LedgerState, segment: Segment, offset: int, length: int
    ) -> None:
        """Records that the turns' former renewals are no longer needed."""
        state.merge_renewal(self._meta, segment)


def _estimate_turn_size(turn: Turn) -> int:
    return RECORD_BYTES + len(turn.input) + len(turn.output)
