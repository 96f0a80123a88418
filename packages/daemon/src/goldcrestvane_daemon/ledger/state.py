"""State of a ledger member in memory: index and cache of turns, token accounts.

Merging is commutative and idempotent, since entries may arrive in any order and more
than once. Times are those of the log: seconds in which a process with this disk was
running. They continue after a restart, and steps of the wall clock do not affect them.
"""

import math
from collections.abc import Iterator
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import CallId, ProgramId
from goldcrestvane_daemon.ledger.limits import DEFAULT_LIMITS, StorageLimits
from goldcrestvane_daemon.ledger.messages import Entry, TokenAccount, Turn
from goldcrestvane_daemon.ledger.metrics import CHAIN_GAPS
from goldcrestvane_daemon.ledger.records import (
    AccountMeta,
    FoundRecord,
    Meta,
    RenewalMeta,
    TurnMeta,
    build_turn_meta,
)
from goldcrestvane_daemon.ledger.segments import Segment
from goldcrestvane_daemon.ledger.token_accounts import TokenAccounts
from goldcrestvane_daemon.ledger.turn_cache import TurnCache
from goldcrestvane_daemon.ledger.turn_index import (
    TURN_INDEX_BYTES,
    IndexedTurn,
    TurnIndex,
)
from goldcrestvane_daemon.ledger.view import (
    ALL_PARTITIONS,
    PartitionId,
    get_partition,
)

EXPIRY_MARGIN_SECONDS = 10.0
"""Time beyond the retention for turns that arrive just before it ends."""

RENEWAL_SLACK_SECONDS = 1.0
"""Part of the margin that a renewed turn may lack, so that requests that follow each other
closely do not each write a record."""

ACCOUNT_KIND = "a"
TURN_KIND = "t"

PartitionKey = tuple[str, str]
"""Kind and key of an entry."""


@final
class LedgerState:
    """The entries of one member.

    Attributes:
        limits: Bounds on the memory that it uses.
        turns: Index of the turns.
        accounts: The token accounts.
        cache: Recently written and read turns.
        damaged: Turns whose records do not match their checksums. The member is no
            copy source for their partitions until they expire or are written again.
        accepts_turns: Whether there is room for the turns that begin now.
    """

    def __init__(self, limits: StorageLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self.turns = TurnIndex()
        self.accounts = TokenAccounts()
        self.cache = TurnCache(limits.cache_bytes)
        self.damaged: set[CallId] = set()
        self.accepts_turns = True
        self._calls: dict[PartitionId, set[CallId]] = {p: set() for p in ALL_PARTITIONS}
        self._programs: dict[PartitionId, set[ProgramId]] = {
            partition: set() for partition in ALL_PARTITIONS
        }
        self._clock_offset = 0.0
        self._unstored = Segment(0)

    @property
    def bytes_held(self) -> int:
        """Total size of the records of turns."""
        return self.turns.live_bytes

    @property
    def index_bytes(self) -> int:
        """Memory of the index and of the token accounts."""
        return TURN_INDEX_BYTES * len(self.turns) + self.accounts.memory_bytes

    @property
    def now(self) -> float:
        """Current time of the log."""
        return trio.current_time() + self._clock_offset

    def start_clock(self) -> None:
        """Starts the log's time at zero; restored records advance it."""
        self._clock_offset = -trio.current_time()

    def compute_expiry(self, retention_seconds: float) -> float:
        """Returns the time of the log until which an entry used now is kept."""
        return self.now + retention_seconds + EXPIRY_MARGIN_SECONDS

    def extend_retention(self, turn: Turn, indexed: IndexedTurn) -> Turn:
        """Returns a turn with the retention that keeps it elsewhere as long as here.

        A later turn of its chain may keep it for longer than its own retention.
        """
        seconds_left = indexed.until - self.now - EXPIRY_MARGIN_SECONDS
        if seconds_left <= turn.retention_seconds:
            return turn
        return msgspec.structs.replace(turn, retention_seconds=seconds_left)

    def apply(self, entry: Entry) -> None:
        """Merges an entry that is not on the disk; its turn lasts while it is cached."""
        if entry.account is not None:
            until = self.compute_expiry(entry.account.retention_seconds)
            self.merge_account(AccountMeta(entry.account, until), self._unstored)
        if entry.turn is not None:
            turn = entry.turn
            meta = build_turn_meta(turn, self.compute_expiry(turn.retention_seconds))
            self.merge_turn(meta, self._unstored, 0, len(turn.input) + len(turn.output))
            self.cache.put_all([turn])

    def merge_account(self, meta: AccountMeta, segment: Segment) -> None:
        """Merges charges that are in a segment."""
        if self.accounts.merge(meta.account, meta.until, segment):
            program = meta.account.program
            self._programs[get_partition(program)].add(program)

    def merge_turn(
        self, meta: TurnMeta, segment: Segment, offset: int, length: int
    ) -> None:
        """Merges a turn whose record is in a segment."""
        turn = IndexedTurn(
            meta.call,
            meta.previous,
            segment,
            offset,
            length,
            meta.until,
            meta.retention_seconds,
        )
        if self.turns.add(turn):
            self._calls[get_partition(meta.call)].add(meta.call)
        elif meta.call in self.damaged:
            self._replace_damaged(meta.call, segment, offset, length)
        if not self.turns.extend_chain(meta.call, meta.until):
            CHAIN_GAPS.inc()

    def _replace_damaged(
        self, call: CallId, segment: Segment, offset: int, length: int
    ) -> None:
        known = self.turns.get(call)
        assert known is not None
        self.turns.move(known, segment, offset, length)
        self.damaged.discard(call)

    def merge_renewal(self, meta: RenewalMeta, segment: Segment) -> None:
        """Merges a renewal of turns that is in a segment."""
        for call, until in meta.expiries.items():
            self.turns.renew(call, until, segment)

    def has_turn(self, call: CallId) -> bool:
        """Returns whether the member has a turn that it can read."""
        return self.turns.get(call) is not None and call not in self.damaged

    def needs_renewal(self, call: CallId, retention_seconds: float) -> bool:
        """Returns whether a turn must be renewed to be kept for a retention from now."""
        turn = self.turns.get(call)
        until = self.compute_expiry(retention_seconds) - RENEWAL_SLACK_SECONDS
        return turn is not None and turn.until < until

    def restore(self, records: list[FoundRecord], segment: Segment) -> None:
        """Merges the records of a segment at the start, in the order of the log."""
        newest = self.now
        renewals = []
        for record in records:
            meta = record.meta
            newest = max(newest, _get_write_time(meta))
            if isinstance(meta, RenewalMeta):
                renewals.append(meta)
            elif isinstance(meta, TurnMeta):
                self.merge_turn(meta, segment, record.offset, record.length)
            else:
                self.merge_account(meta, segment)
        # A batch may hold a renewal before the rewritten record of its turn.
        for renewal in renewals:
            self.merge_renewal(renewal, segment)
        self._clock_offset += newest - self.now

    def get_account(self, program: ProgramId) -> TokenAccount | None:
        """Returns the token account of a program, or None if there is none."""
        account = self.accounts.get(program)
        return account.build() if account is not None else None

    def is_damaged(self, partition: PartitionId) -> bool:
        """Returns whether a turn of a partition cannot be read."""
        return any(get_partition(call) == partition for call in self.damaged)

    def list_partition_keys(self, partition: PartitionId) -> list[PartitionKey]:
        """Returns the keys of a partition's entries, in a fixed order."""
        programs: Iterator[str] = iter(sorted(self._programs[partition]))
        calls: Iterator[str] = iter(sorted(self._calls[partition]))
        return [(ACCOUNT_KIND, key) for key in programs] + [
            (TURN_KIND, key) for key in calls
        ]

    def drop_expired(self) -> int:
        """Drops expired turns and accounts, and returns their number."""
        now = self.now
        calls = self.turns.remove_expired(now)
        for call in calls:
            self._discard_call(call)
        programs = self.accounts.remove_expired(now)
        for program in programs:
            self._programs[get_partition(program)].discard(program)
        return len(calls) + len(programs)

    def _discard_call(self, call: CallId) -> None:
        self._calls[get_partition(call)].discard(call)
        self.damaged.discard(call)
        self.cache.discard(call)


def _get_write_time(meta: Meta) -> float:
    """Returns the time of the log at which a record was written, or an earlier one.

    Records of earlier versions state no time. It follows from the expiry only if the turn
    was not kept for longer than its retention, which no record of them tells.
    """
    if meta.written_at is not None:
        return meta.written_at
    if isinstance(meta, RenewalMeta):
        return -math.inf
    is_turn = isinstance(meta, TurnMeta)
    retention = meta.retention_seconds if is_turn else meta.account.retention_seconds
    return meta.until - retention - EXPIRY_MARGIN_SECONDS
