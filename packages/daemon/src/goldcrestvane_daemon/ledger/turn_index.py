"""Index of a member's turns: where each lies on the disk, and when it expires."""

from collections.abc import Iterator
from typing import final

import msgspec

from goldcrestvane_common.ids import CallId
from goldcrestvane_daemon.ledger.expiry import ExpiryBuckets
from goldcrestvane_daemon.ledger.segments import Segment

TURN_INDEX_BYTES = 420
"""Memory of an indexed turn: 316 bytes with ids of 36 characters, and the rest for longer
ids and for hash tables that were just doubled."""

MAX_CHAIN_TURNS = 1000
"""Limit on the turns of a chain; the longest programs have half as many."""


class IndexedTurn(msgspec.Struct, gc=False):
    """Location and expiry of a turn.

    Attributes:
        call: Id of the turn.
        previous: Preceding turn, if any.
        segment: Segment that holds its record.
        offset: Position of the record in the segment.
        length: Size of the record in bytes.
        until: Time of the log at which it expires.
        retention_seconds: Time for which it is kept after its last use.
        renewal: Segment of its last renewal; None if its own record has its expiry.
    """

    call: CallId
    previous: CallId | None
    segment: Segment
    offset: int
    length: int
    until: float
    retention_seconds: float
    renewal: Segment | None = None


@final
class TurnIndex:
    """The turns of one member.

    Attributes:
        live_bytes: Total size of their records.
    """

    def __init__(self) -> None:
        self._turns: dict[CallId, IndexedTurn] = {}
        self._expiry: ExpiryBuckets[CallId] = ExpiryBuckets()
        self.live_bytes = 0

    def __len__(self) -> int:
        return len(self._turns)

    def get(self, call: CallId) -> IndexedTurn | None:
        """Returns a turn, or None if it is unknown."""
        return self._turns.get(call)

    def add(self, turn: IndexedTurn) -> bool:
        """Adds a turn unless it is known; returns whether it was added."""
        if turn.call in self._turns:
            return False
        if turn.previous is not None:
            before = self._turns.get(turn.previous)
            if before is not None:
                # One string serves both entries.
                turn.previous = before.call
        self._turns[turn.call] = turn
        self._expiry.add(turn.call, turn.until)
        _occupy(turn, 1)
        self.live_bytes += turn.length
        return True

    def move(
        self, turn: IndexedTurn, segment: Segment, offset: int, length: int
    ) -> None:
        """Records that a turn was written again to another place."""
        _occupy(turn, -1)
        self.live_bytes += length - turn.length
        turn.segment, turn.offset, turn.length = segment, offset, length
        _occupy(turn, 1)

    def iterate_chain(self, call: CallId | None) -> Iterator[IndexedTurn]:
        """Yields a turn and the preceding known turns, newest first."""
        for _ in range(MAX_CHAIN_TURNS):
            turn = self._turns.get(call) if call is not None else None
            if turn is None:
                return
            yield turn
            call = turn.previous

    def extend_chain(self, call: CallId, until: float) -> bool:
        """Keeps a turn and the preceding ones until a time at least.

        Returns:
            Whether the chain was followed to its first turn. It ends early at a turn that
            this member does not have.
        """
        first: CallId | None = call
        for turn in self.iterate_chain(call):
            if turn.until < until:
                turn.until = until
            first = turn.previous
        return first is None

    def renew(self, call: CallId, until: float, segment: Segment) -> None:
        """Keeps a turn until a time at least, as a record in a segment says."""
        turn = self._turns.get(call)
        if turn is None:
            return
        turn.until = max(turn.until, until)
        _set_renewal(turn, segment)

    def drop_renewal(self, turn: IndexedTurn) -> None:
        """Records that a turn's own record has its expiry."""
        _set_renewal(turn, None)

    def list_in(self, segment: Segment) -> list[IndexedTurn]:
        """Returns the turns whose records are in a segment."""
        return [turn for turn in self._turns.values() if turn.segment is segment]

    def list_renewed_in(self, segment: Segment) -> list[CallId]:
        """Returns the turns whose last renewals are in a segment."""
        return [turn.call for turn in self._turns.values() if turn.renewal is segment]

    def remove(self, turn: IndexedTurn) -> None:
        """Removes a turn."""
        del self._turns[turn.call]
        _occupy(turn, -1)
        _set_renewal(turn, None)
        self.live_bytes -= turn.length

    def remove_expired(self, now: float) -> list[CallId]:
        """Removes the expired turns and returns their ids."""
        expired = []
        for call in self._expiry.pop_due(now):
            turn = self._turns.get(call)
            if turn is None:
                continue
            if turn.until >= now:
                self._expiry.add(call, turn.until)
                continue
            self.remove(turn)
            expired.append(call)
        return expired


def _set_renewal(turn: IndexedTurn, segment: Segment | None) -> None:
    if turn.renewal is not None:
        turn.renewal.renewal_count -= 1
    if segment is not None:
        segment.renewal_count += 1
    turn.renewal = segment


def _occupy(turn: IndexedTurn, count: int) -> None:
    turn.segment.live_turns += count
    turn.segment.live_bytes += count * turn.length
