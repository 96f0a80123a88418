"""In-memory state of a ledger member: turns and token accounts.

Merging is commutative and idempotent, since entries may arrive in any order and more
than once.
"""

from collections.abc import Iterator
from typing import final

import trio

from goldcrestvane_common.ids import CallId, ProgramId
from goldcrestvane_daemon.ledger.messages import (
    Entry,
    TokenAccount,
    TokenCharge,
    Turn,
)
from goldcrestvane_daemon.ledger.view import PartitionId, get_partition

MAX_CHAIN_TURNS = 1000
"""Limit on the turns of a chain; the longest programs have half as many."""

EXPIRY_MARGIN_SECONDS = 10.0
"""Time beyond the retention for turns that arrive just before it ends."""


@final
class LedgerState:
    """The entries of one member.

    Attributes:
        bytes_held: Total size of the inputs and outputs of the turns.
    """

    def __init__(self) -> None:
        self._charges: dict[ProgramId, dict[CallId, TokenCharge]] = {}
        self._turns: dict[CallId, Turn] = {}
        self._expiry: dict[tuple[str, str], tuple[float, float]] = {}
        self._partitions: dict[PartitionId, set[tuple[str, str]]] = {}
        self.bytes_held = 0

    def apply(self, entry: Entry) -> None:
        """Merges an entry."""
        if entry.account is not None:
            self._apply_account(entry.account)
        if entry.turn is not None:
            self._apply_turn(entry.turn)

    def _apply_account(self, account: TokenAccount) -> None:
        charges = self._charges.setdefault(account.program, {})
        for charge in account.charges:
            if charge.supersedes(charges.get(charge.call)):
                charges[charge.call] = charge
        self._extend_expiry("account", account.program, account.retention_seconds)

    def _apply_turn(self, turn: Turn) -> None:
        if turn.call not in self._turns:
            self.bytes_held += len(turn.input) + len(turn.output)
            self._turns[turn.call] = turn
        retention = turn.retention_seconds
        for each in self.list_chain(turn.call):
            self._extend_expiry("turn", each.call, retention)

    def _extend_expiry(self, kind: str, key: str, retention: float) -> None:
        until = trio.current_time() + retention + EXPIRY_MARGIN_SECONDS
        known = self._expiry.get((kind, key))
        if known is None:
            self._partitions.setdefault(get_partition(key), set()).add((kind, key))
        if known is None or known[0] < until:
            self._expiry[kind, key] = (until, retention)

    def get_account(self, program: ProgramId) -> TokenAccount | None:
        """Returns the token account of a program, or None if there is none."""
        charges = self._charges.get(program)
        if charges is None:
            return None
        _, retention = self._expiry["account", program]
        return TokenAccount(program, list(charges.values()), retention)

    def list_chain(self, call: CallId | None) -> list[Turn]:
        """Returns a turn and the preceding known turns, newest first."""
        chain: list[Turn] = []
        while call is not None and len(chain) < MAX_CHAIN_TURNS:
            turn = self._turns.get(call)
            if turn is None:
                break
            chain.append(turn)
            call = turn.previous
        return chain

    def iterate_entries(self) -> Iterator[Entry]:
        """Yields entries that reproduce this state when merged."""
        for program in list(self._charges):
            yield Entry(account=self.get_account(program))
        for turn in list(self._turns.values()):
            yield Entry(turn=turn)

    def list_partition_entries(self, partition: PartitionId) -> list[Entry]:
        """Returns the entries of a partition."""
        return [
            Entry(turn=self._turns[CallId(key)])
            if kind == "turn"
            else Entry(account=self.get_account(ProgramId(key)))
            for kind, key in self._partitions.get(partition, ())
        ]

    def drop_expired(self) -> int:
        """Drops expired turns and accounts, and returns their number."""
        now = trio.current_time()
        expired = [key for key, (until, _) in self._expiry.items() if until < now]
        for kind, key in expired:
            del self._expiry[kind, key]
            self._partitions[get_partition(key)].discard((kind, key))
            if kind == "turn":
                turn = self._turns.pop(CallId(key))
                self.bytes_held -= len(turn.input) + len(turn.output)
            else:
                del self._charges[ProgramId(key)]
        return len(expired)
