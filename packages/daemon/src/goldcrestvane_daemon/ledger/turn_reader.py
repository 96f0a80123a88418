"""Reads turns from the cache or from the disk, and pages of entries for other members."""

import math
from collections.abc import Iterable
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import CallId, ProgramId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger.messages import Entry, Turn
from goldcrestvane_daemon.ledger.metrics import READS
from goldcrestvane_daemon.ledger.records import CorruptRecord
from goldcrestvane_daemon.ledger.segments import Segment
from goldcrestvane_daemon.ledger.state import ACCOUNT_KIND, LedgerState
from goldcrestvane_daemon.ledger.turn_index import IndexedTurn
from goldcrestvane_daemon.ledger.view import PartitionId

PAGE_BYTES = 256 * 1024
"""Size from which a page of copied entries ends. Larger pages would delay the writes of
turns on the same connection."""

MAX_CHAIN_BYTES = 500_000
"""Size from which a response contains no further turns of a chain. The reader asks for
the rest. Each connection buffers one response."""

MAX_INLINE_CHAIN_BYTES = 128_000
"""Maximum size of a chain that comes with the response to a write: ten turns of a few KB and
a first one of 17 KB are half of it. The writer reserves it before it knows the size."""

READ_THREADS = 4
MAX_READING_BYTES = 4_000_000
"""Limit on the turns that are being read or wait for it. A disk that hangs must not make
the waiting reads fill the memory."""

logger = get_logger("ledger")


class TurnUnreadable(Exception):
    """The member has a turn but cannot read it now."""


class Page(msgspec.Struct):
    """Entries of partitions, in the order of their keys.

    Attributes:
        entries: The entries.
        covered: Partitions whose entries are all in this page or an earlier one.
        resume_after: Key after which the next page begins, if the page ends within the
            partition after the covered ones.
    """

    entries: list[Entry]
    covered: list[PartitionId]
    resume_after: str | None = None


@final
class TurnReader:
    """Reads the turns of one member."""

    def __init__(self, state: LedgerState) -> None:
        self._state = state
        self._limiter = trio.CapacityLimiter(READ_THREADS)
        self._reading_bytes = 0

    def measure_chain(self, call: CallId | None) -> int:
        """Returns the size in bytes of a turn and the preceding known turns."""
        turns = self._state.turns.iterate_chain(call)
        return sum(indexed.length for indexed in turns)

    async def read_chain(
        self, call: CallId | None, *, room: float = math.inf
    ) -> list[Turn]:
        """Returns a turn and the preceding known turns, newest first.

        The chain ends early at a turn that cannot be read, at `MAX_CHAIN_BYTES`, and at a
        turn that exceeds the room.

        Args:
            call: The turn.
            room: Maximum size of the turns in bytes.

        Raises:
            TurnUnreadable: The first turn is known and cannot be read.
        """
        wanted: list[IndexedTurn] = []
        size = 0
        for indexed in self._state.turns.iterate_chain(call):
            if size >= MAX_CHAIN_BYTES or size + indexed.length > room:
                break
            wanted.append(indexed)
            size += indexed.length
        chain: list[Turn] = []
        for turn in await self.read_indexed(wanted):
            if turn is None:
                break
            chain.append(turn)
        if wanted and not chain:
            raise TurnUnreadable(
                f"Turn {call} does not match its checksum on this member's disk; "
                "ask another member."
            )
        self._state.cache.put_all(chain)
        return chain

    async def read_indexed(self, wanted: list[IndexedTurn]) -> list[Turn | None]:
        """Returns turns in their order; None for those that do not match their checksum.

        Turns that are not cached are read in one step by a worker thread.

        Raises:
            TurnUnreadable: The disk failed, or too many reads wait for it.
        """
        found = [self._state.cache.get(each.call) for each in wanted]
        missing = [index for index, turn in enumerate(found) if turn is None]
        READS.labels("cache").inc(len(found) - len(missing))
        if not missing:
            return found
        READS.labels("disk").inc(len(missing))
        places = [
            (each.segment, each.offset, each.length)
            for each in (wanted[index] for index in missing)
        ]
        for index, turn in zip(missing, await self._read_places(places), strict=True):
            found[index] = turn
            if turn is None:
                self._report_damaged(wanted[index])
        return found

    async def _read_places(
        self, places: list[tuple[Segment, int, int]]
    ) -> list[Turn | None]:
        size = sum(length for _, _, length in places)
        if self._reading_bytes and self._reading_bytes + size > MAX_READING_BYTES:
            raise TurnUnreadable(
                "Too many reads wait for the disk; ask another member."
            )
        self._reading_bytes += size
        for segment, _, _ in places:
            segment.readers += 1
        try:
            return await trio.to_thread.run_sync(
                _read_turns, places, abandon_on_cancel=True, limiter=self._limiter
            )
        except OSError as error:
            raise TurnUnreadable(f"Reading the disk failed: {error}.") from error
        finally:
            self._reading_bytes -= size
            for segment, _, _ in places:
                segment.end_read()

    def _report_damaged(self, indexed: IndexedTurn) -> None:
        # The turn stays in the index, so that the member does not deny having got it.
        indexed.segment.is_damaged = True
        self._state.damaged.add(indexed.call)
        logger.error(
            "a turn on the disk does not match its checksum",
            extra={
                "call": indexed.call,
                "segment": indexed.segment.number,
                "offset": indexed.offset,
            },
        )

    async def read_page(
        self, partitions: Iterable[PartitionId], resume_after: str | None = None
    ) -> Page:
        """Returns the next page of the entries of partitions.

        Args:
            partitions: The partitions, in the order in which they are returned.
            resume_after: Where the previous page ended in the first partition, if it
                ended within it.

        Raises:
            TurnUnreadable: The disk failed.
        """
        page = Page([], [])
        turns: list[IndexedTurn] = []
        size = 0
        for partition in partitions:
            if size >= PAGE_BYTES:
                break
            for kind, key in self._state.list_partition_keys(partition):
                name = kind + key
                if resume_after is not None and name <= resume_after:
                    continue
                if size >= PAGE_BYTES:
                    break
                page.resume_after = name
                if kind == ACCOUNT_KIND:
                    account = self._state.get_account(ProgramId(key))
                    page.entries.append(Entry(account=account))
                    size += page.entries[-1].size
                else:
                    indexed = self._state.turns.get(CallId(key))
                    assert indexed is not None
                    turns.append(indexed)
                    size += indexed.length
            else:
                page.covered.append(partition)
                page.resume_after = None
            resume_after = None
        found = await self.read_indexed(turns)
        page.entries += [
            Entry(turn=self._state.extend_retention(turn, indexed))
            for turn, indexed in zip(found, turns, strict=True)
            if turn is not None
        ]
        return page


def _read_turns(places: list[tuple[Segment, int, int]]) -> list[Turn | None]:
    return [_read_turn(*place) for place in places]


def _read_turn(segment: Segment, offset: int, length: int) -> Turn | None:
    try:
        return segment.read_turn(offset, length)
    except CorruptRecord:
        return None
