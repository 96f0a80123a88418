"""Frees the disk: removes segments, and rewrites those of which little is needed.

Turns expire nearly in the order in which they were written, so most segments are removed
without rewriting anything. A segment is rewritten only if that frees at least three
times what it writes, or as much as it writes while the disk is nearly full.
"""

from collections.abc import Iterable, Iterator
from typing import final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger import metrics
from goldcrestvane_daemon.ledger.log import DiskFailed, EntryLog
from goldcrestvane_daemon.ledger.log_items import (
    CHARGE_RECORD_BYTES,
    RECORD_BYTES,
    RENEWAL_RECORD_BYTES,
    LogItem,
    RewrittenAccount,
    RewrittenRenewals,
    RewrittenTurn,
)
from goldcrestvane_daemon.ledger.segments import Segment
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.turn_index import IndexedTurn
from goldcrestvane_daemon.ledger.turn_reader import TurnReader, TurnUnreadable
from goldcrestvane_daemon.tasks import Task, run_supervised

INTERVAL_SECONDS = 0.5
CHUNK_BYTES = 256_000
"""Size from which a batch of rewritten entries ends."""

CHUNK_RENEWALS = 1000
"""Number of renewals in a rewritten record."""

CHUNK_PAUSE_SECONDS = 0.02
"""Pause after each batch, which limits rewriting to a tenth of the disk's 120 MB/s."""

MIN_COMPACTED_BYTES = 16_000_000
"""Size of all segments below which none is rewritten. Reading as many bytes of token
charges takes a process less than a second at its start."""

MAX_LIVE_SHARE = 0.25
MAX_LIVE_SHARE_WHEN_FULL = 0.5
FULL_SHARE = 0.8
"""Share of the limit on the disk from which more is rewritten to free space."""

logger = get_logger("log")


def list_removable(segments: Iterable[Segment]) -> list[Segment]:
    """Returns the segments of which nothing is needed.

    An account needs its oldest segment and possibly all later ones.

    Args:
        segments: All segments but the active one, oldest first.
    """
    removable = []
    for segment in segments:
        if segment.account_count:
            break
        if not segment.live_turns and not segment.renewal_count:
            removable.append(segment)
    return removable


def choose_rewritten(
    segments: Iterable[Segment], *, account_bytes: float, max_live_share: float
) -> Segment | None:
    """Returns the oldest segment that is worth rewriting, or None.

    Args:
        segments: All segments but the active one, oldest first.
        account_bytes: Average size of an account's record in bytes.
        max_live_share: Share of the segment that may have to be written again.
    """
    accounts = 0
    for segment in segments:
        accounts += segment.account_count
        rewritten = (
            segment.live_bytes
            + segment.renewal_count * RENEWAL_RECORD_BYTES
            + accounts * account_bytes
        )
        is_worth_it = rewritten <= segment.size * max_live_share
        if is_worth_it and not segment.is_damaged:
            return segment
    return None


@final
class Compactor:
    """Frees the disk of one member."""

    def __init__(self, log: EntryLog, state: LedgerState) -> None:
        self._log = log
        self._state = state
        self._reader = TurnReader(state)

    async def run(self) -> None:
        """Frees space until cancelled."""
        await run_supervised(Task.COMPACTION, self._run)

    async def _run(self) -> None:
        while True:
            await trio.sleep(INTERVAL_SECONDS)
            try:
                await self.free_space()
            except (OSError, DiskFailed, TurnUnreadable) as error:
                logger.error("freeing space failed", extra={"reason": str(error)})
            self._log.update_room()
            self._update_metrics()

    async def free_space(self) -> None:
        """Removes what is not needed, and rewrites segments as long as it is worth it.

        Raises:
            OSError: A segment could not be removed.
            DiskFailed: Writing failed.
            TurnUnreadable: The disk does not respond.
        """
        await self._remove_unneeded()
        while (segment := self._choose_rewritten()) is not None:
            await self._rewrite(segment)
            await self._remove_unneeded()

    def _list_closed(self) -> list[Segment]:
        active = self._log.active
        return [each for each in self._log.segments.values() if each is not active]

    async def _remove_unneeded(self) -> None:
        removable = list_removable(self._list_closed())
        if removable:
            await self._log.remove(removable)

    def _choose_rewritten(self) -> Segment | None:
        used = self._log.used_bytes
        limit = self._state.limits.disk_bytes
        if used < min(MIN_COMPACTED_BYTES, limit / 4):
            return None
        accounts = self._state.accounts
        average = accounts.charge_count / max(1, len(accounts))
        return choose_rewritten(
            self._list_closed(),
            account_bytes=RECORD_BYTES + CHARGE_RECORD_BYTES * average,
            max_live_share=MAX_LIVE_SHARE_WHEN_FULL
            if used > limit * FULL_SHARE
            else MAX_LIVE_SHARE,
        )

    async def _rewrite(self, segment: Segment) -> None:
        """Writes again what is needed of a segment, and of older ones for accounts."""
        logger.debug(
            "rewriting a segment",
            extra={"segment": segment.number, "live": segment.live_bytes},
        )
        accounts = list(self._state.accounts.iterate_up_to(segment))
        for chunk in _split(map(RewrittenAccount, accounts)):
            await self._write(chunk)
        turns = self._state.turns.list_in(segment)
        while turns:
            await self._write(await self._read_chunk(turns, segment))
        # Turns that were just rewritten have their expiry in their own records.
        renewed = self._state.turns.list_renewed_in(segment)
        for start in range(0, len(renewed), CHUNK_RENEWALS):
            part = renewed[start : start + CHUNK_RENEWALS]
            await self._write([RewrittenRenewals(part)])

    async def _write(self, chunk: list[LogItem]) -> None:
        if chunk:
            await self._log.write(chunk)
        await trio.sleep(CHUNK_PAUSE_SECONDS)

    async def _read_chunk(
        self, turns: list[IndexedTurn], segment: Segment
    ) -> list[LogItem]:
        """Removes turns from the end of a list and returns them as items."""
        part: list[IndexedTurn] = []
        size = 0
        while turns and size < CHUNK_BYTES:
            part.append(turns.pop())
            size += part[-1].length
        found = await self._reader.read_indexed(part)
        metrics.REWRITTEN_BYTES.inc(size)
        return [
            RewrittenTurn(turn, indexed)
            for indexed, turn in zip(part, found, strict=True)
            if turn is not None and indexed.segment is segment
        ]

    def _update_metrics(self) -> None:
        metrics.DISK_BYTES.set(self._log.used_bytes)
        metrics.SEGMENTS.set(len(self._log.segments))
        metrics.PENDING_BYTES.set(self._log.pending_bytes)
        metrics.LIVE_BYTES.set(self._state.bytes_held)
        metrics.TURNS.set(len(self._state.turns))
        metrics.ACCOUNTS.set(len(self._state.accounts))
        metrics.INDEX_BYTES.set(self._state.index_bytes)
        metrics.CACHE_BYTES.set(self._state.cache.size)


def _split(items: Iterable[LogItem]) -> Iterator[list[LogItem]]:
    """Yields the items in batches of limited size."""
    chunk: list[LogItem] = []
    size = 0
    for item in items:
        chunk.append(item)
        size += item.size
        if size >= CHUNK_BYTES:
            yield chunk
            chunk, size = [], 0
    if chunk:
        yield chunk
