"""Append-only log of entries in segment files, with group commit.

Entries that arrive during a sync form the next batch. A batch is merged into the state
only after its sync, so a failed write is never served. After a failure the next batch
goes to a new segment, because the failed one may end with a torn record.
"""

import gc
import os
from pathlib import Path
from typing import final

import trio

from goldcrestvane_common.ids import CallId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger.disk_files import DiskFiles
from goldcrestvane_daemon.ledger.limits import (
    EARLY_SHARE,
    MAX_WAITING_APPENDS,
    REFUSAL_TEXTS,
    FullReason,
)
from goldcrestvane_daemon.ledger.log_items import (
    LogItem,
    NewCharges,
    NewTurn,
    RenewedTurns,
)
from goldcrestvane_daemon.ledger.messages import Entry, Turn
from goldcrestvane_daemon.ledger.metrics import REFUSALS
from goldcrestvane_daemon.ledger.records import (
    FoundRecord,
    Meta,
    encode_record,
    encode_turn,
    scan_segment,
)
from goldcrestvane_daemon.ledger.segments import (
    Segment,
    create_segment,
    list_segments,
    remove_segments,
)
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.view import View
from goldcrestvane_daemon.tasks import Task, run_supervised

SEGMENT_BYTES = 4_000_000
"""Size from which a segment gets no further batch. Space is freed in these units; a disk
of 520 MB has 130 segments, each with an open file."""

MAX_BATCH_BYTES = 2_000_000
"""Size from which a batch ends. It takes about 17 ms at 120 MB/s."""

logger = get_logger("log")


class DiskFailed(Exception):
    """A write to the disk failed, so its entries must not be acknowledged."""


class StorageFull(Exception):
    """Entries were refused before anything was written."""

    def __init__(self, reason: FullReason) -> None:
        super().__init__(
            f"Got an entry while {REFUSAL_TEXTS[reason]}; send it again later."
        )
        self.reason = reason


@final
class Append:
    """Items that are written in one batch, and the task that waits for it."""

    def __init__(self, items: list[LogItem]) -> None:
        self.items = items
        self.size = sum(item.size for item in items)
        self.done = trio.Event()
        self.error: OSError | None = None


@final
class EntryLog:
    """The log of one member, stored in one folder.

    Attributes:
        disk: Id of the disk's contents; an empty disk gets a new id.
        files: Small files on the same disk.
        sync_count: Number of batches written and synced.
        segments: Segments by number; the last one is written unless it is closed.
    """

    def __init__(
        self,
        folder: Path,
        state: LedgerState,
        *,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._folder = folder
        self._state = state
        self._segment_bytes = segment_bytes
        self._queue: list[Append] = []
        self._queued_bytes = 0
        self._committing: list[Append] = []
        self._has_queued = trio.Event()
        self._active: Segment | None = None
        self._last_number = 0
        self._last_batch = 0
        self._full_reason: FullReason | None = None
        self._is_writable = True
        # Writes have a thread of their own, so that reads that hang do not delay them.
        self._limiter = trio.CapacityLimiter(1)
        self.files = DiskFiles(folder)
        self.segments: dict[int, Segment] = {}
        self.sync_count = 0

    @property
    def disk(self) -> str:
        """Id of the disk's contents."""
        return self.files.disk

    @property
    def used_bytes(self) -> int:
        """Size of all segments."""
        return sum(segment.size for segment in self.segments.values())

    @property
    def pending_bytes(self) -> int:
        """Size of the entries that wait for the disk or are being written."""
        return self._queued_bytes

    @property
    def active(self) -> Segment | None:
        """The segment that is being written, if any."""
        return self._active

    def read_synced_view(self) -> View | None:
        """Returns the last view under which the disk had all its entries, or None."""
        return self.files.read_synced_view()

    async def write_synced_view(self, view: View) -> None:
        """Records that the disk has all its entries under a view."""
        await self.files.write_synced_view(view)

    def read_view(self) -> View | None:
        """Returns the last adopted view that is recorded on the disk, or None."""
        return self.files.read_view()

    async def write_view(self, view: View) -> None:
        """Records a view, so that older writers are rejected after a restart too."""
        await self.files.write_view(view)

    def read_issuing_view(self) -> View | None:
        """Returns the last view under which the member issued tokens, or None."""
        return self.files.read_issuing_view()

    async def write_issuing_view(self, view: View) -> None:
        """Records that the member issues the tokens of its partitions under a view.

        Raises:
            OSError: Writing to the disk failed.
        """
        await self.files.write_issuing_view(view)

    async def open(self) -> int:
        """Restores the state from the disk; returns the number of records.

        Raises:
            OSError: The disk failed.
        """
        self._state.start_clock()
        # Collections would visit all restored objects again and again; none is garbage.
        gc.disable()
        try:
            count = await self._restore()
        finally:
            gc.enable()
        self._state.drop_expired()
        return count

    async def _restore(self) -> int:
        count = 0
        await trio.to_thread.run_sync(self.files.open)
        for segment in await trio.to_thread.run_sync(list_segments, self._folder):
            self._last_number = segment.number
            self.segments[segment.number] = segment
            records, size = await trio.to_thread.run_sync(_open_segment, segment)
            if segment.size < size:
                logger.warning(
                    "a segment ends with a torn record",
                    extra={
                        "segment": segment.number,
                        "size": size,
                        "found": segment.size,
                    },
                )
            if records:
                self._last_batch = max(self._last_batch, records[-1].batch)
                self._state.restore(records, segment)
                count += len(records)
        return count

    def close(self) -> None:
        """Closes the files. Nothing may be written or read afterwards."""
        for segment in self.segments.values():
            segment.close_when_unread()
        self.segments.clear()
        self._active = None

    # Writing

    async def append(self, entries: list[Entry]) -> None:
        """Writes entries and merges them into the state once they are on the disk.

        Turns that are on the disk already are renewed and not written again.

        Raises:
            StorageFull: The entries were refused; nothing was written.
            DiskFailed: The write failed.
        """
        charges = [
            NewCharges(entry.account) for entry in entries if entry.account is not None
        ]
        turns = [entry.turn for entry in entries if entry.turn is not None]
        known = [turn for turn in turns if self._state.has_turn(turn.call)]
        new = [NewTurn(turn) for turn in turns if not self._state.has_turn(turn.call)]
        await self._write_unless_full(
            [*charges, *new, *self._list_renewals(known)], has_turns=bool(new)
        )

    async def renew(self, calls: list[CallId], retention_seconds: float) -> None:
        """Keeps the turns among some calls for a retention from now, durably.

        Args:
            calls: The calls. Those of which there is no turn are ignored.
            retention_seconds: Time for which the turns are kept at least.

        Raises:
            StorageFull: Too many writes wait for the disk; nothing was written.
            DiskFailed: The write failed.
        """
        due = [
            call for call in calls if self._state.needs_renewal(call, retention_seconds)
        ]
        renewals: list[LogItem] = [RenewedTurns(due, retention_seconds)] if due else []
        await self._write_unless_full(renewals, has_turns=False)

    def _list_renewals(self, turns: list[Turn]) -> list[LogItem]:
        due: dict[float, list[CallId]] = {}
        for turn in turns:
            if self._state.needs_renewal(turn.call, turn.retention_seconds):
                due.setdefault(turn.retention_seconds, []).append(turn.call)
        return [RenewedTurns(calls, retention) for retention, calls in due.items()]

    async def _write_unless_full(
        self, items: list[LogItem], *, has_turns: bool
    ) -> None:
        """Writes items, unless there is no room for them.

        Raises:
            StorageFull: The items were refused; nothing was written.
            DiskFailed: The write failed.
        """
        reason = self.find_full_reason() if has_turns else None
        if len(self._queue) >= MAX_WAITING_APPENDS:
            reason = FullReason.QUEUE
        self._report_full(reason, has_turns=has_turns)
        if reason is not None:
            raise StorageFull(reason)
        if items:
            await self.write(items)

    @property
    def has_room(self) -> bool:
        """Whether turns are still accepted when those that run now are stored."""
        return self._is_writable and self.find_full_reason(EARLY_SHARE) is None

    def find_full_reason(self, share: float = 1.0) -> FullReason | None:
        """Returns why turns are refused now, or None if they are accepted.

        Args:
            share: Share of the limits that counts as full.
        """
        limits = self._state.limits
        used = {
            FullReason.QUEUE: (self._queued_bytes, limits.pending_bytes),
            FullReason.MEMORY: (self._state.index_bytes, limits.index_bytes),
            FullReason.DISK: (self.used_bytes + self._queued_bytes, limits.disk_bytes),
        }
        full = (
            reason for reason, (size, limit) in used.items() if size >= limit * share
        )
        return next(full, None)

    def _report_full(self, reason: FullReason | None, *, has_turns: bool) -> None:
        """Counts a refusal, and logs when refusals begin and end."""
        if reason is not None:
            REFUSALS.labels(reason.value).inc()
        if reason is self._full_reason or (reason is None and not has_turns):
            return
        self._full_reason = reason
        extra = {"used": self.used_bytes, "index": self._state.index_bytes}
        if reason is None:
            logger.info("accepts turns again", extra=extra)
        else:
            logger.warning("refuses turns", extra={"reason": reason.value, **extra})

    async def write(self, items: list[LogItem]) -> None:
        """Writes items in one batch and merges them into the state.

        Raises:
            DiskFailed: The write failed.
        """
        append = Append(items)
        self._queue.append(append)
        self._queued_bytes += append.size
        self._has_queued.set()
        await append.done.wait()
        if append.error is not None:
            REFUSALS.labels(FullReason.FAILED.value).inc()
            raise DiskFailed(
                f"Writing to the disk failed: {append.error}. Free space on it, or "
                "replace it if it has space."
            )

    async def run(self) -> None:
        """Writes the queued entries until cancelled.

        After an unexpected error it is not known what was merged, so the process ends.
        The writes that wait then fail.
        """
        try:
            await run_supervised(Task.LOG, self._run)
        except Exception:
            self._fail_waiting()
            raise

    async def _run(self) -> None:
        while True:
            await self._has_queued.wait()
            batch = self._take_batch()
            if not batch:
                self._has_queued = trio.Event()
                continue
            self._committing = batch
            try:
                await self._commit([item for each in batch for item in each.items])
            except OSError as error:
                await self._abandon_segment()
                self._finish(batch, error)
            else:
                self._finish(batch, None)

    def _fail_waiting(self) -> None:
        """Wakes all tasks that wait for a write; none follows."""
        for append in [*self._committing, *self._queue]:
            append.error = OSError("the log has ended; see the log of the member")
            append.done.set()

    def _finish(self, batch: list[Append], error: OSError | None) -> None:
        """Wakes the tasks that wait for a batch; logs when the disk fails or recovers."""
        if error is not None and self._is_writable:
            logger.error("writing to the disk failed", extra={"reason": str(error)})
        elif error is None and not self._is_writable:
            logger.info("writes to the disk again")
        self._is_writable = error is None
        for append in batch:
            append.error = error
            self._queued_bytes -= append.size
            append.done.set()
        self._committing = []
        self.update_room()

    def update_room(self) -> None:
        """Updates whether the member has room for the turns that begin now."""
        self._state.accepts_turns = self.has_room

    def _take_batch(self) -> list[Append]:
        batch: list[Append] = []
        size = 0
        while len(batch) < len(self._queue) and size < MAX_BATCH_BYTES:
            size += self._queue[len(batch)].size
            batch.append(self._queue[len(batch)])
        del self._queue[: len(batch)]
        return batch

    async def _commit(self, items: list[LogItem]) -> None:
        """Writes and syncs items, then merges them.

        Raises:
            OSError: Writing failed.
        """
        segment = self._active
        if segment is None or segment.size >= self._segment_bytes:
            self._active = None
            self._last_number += 1
            segment = await trio.to_thread.run_sync(
                create_segment, self._folder, self._last_number, limiter=self._limiter
            )
            self._active = self.segments[segment.number] = segment
        self._last_batch += 1
        records = [(item.describe(self._state), item.turn) for item in items]
        offset = segment.size
        lengths = await trio.to_thread.run_sync(
            _write_records, segment, records, self._last_batch, limiter=self._limiter
        )
        self.sync_count += 1
        for item, length in zip(items, lengths, strict=True):
            item.merge(self._state, segment, offset, length)
            offset += length

    async def _abandon_segment(self) -> None:
        """Ends the active segment, which may have a torn record behind the synced ones."""
        segment, self._active = self._active, None
        if segment is None:
            return
        try:
            if segment.size:
                await trio.to_thread.run_sync(segment.truncate, limiter=self._limiter)
            else:
                await self.remove([segment])
        except OSError as error:
            # The scan at the next start finds the torn record.
            logger.error("truncating a segment failed", extra={"reason": str(error)})

    async def remove(self, segments: list[Segment]) -> None:
        """Removes segments of which nothing is needed.

        Raises:
            OSError: Removing failed; the segments stay and can be removed later.
        """
        await trio.to_thread.run_sync(
            remove_segments, self._folder, segments, limiter=self._limiter
        )
        for segment in segments:
            self.segments.pop(segment.number, None)
            segment.close_when_unread()


def _open_segment(segment: Segment) -> tuple[list[FoundRecord], int]:
    """Returns the records of a segment and the size of its file."""
    segment.open()
    records = scan_segment(segment.descriptor, segment=segment.number)
    if records:
        segment.size = records[-1].offset + records[-1].length
    return records, os.fstat(segment.descriptor).st_size


def _write_records(
    segment: Segment, records: list[tuple[Meta, Turn | None]], batch: int
) -> list[int]:
    """Encodes, writes and syncs records; returns their sizes in bytes."""
    encoded = [
        encode_record(
            meta,
            b"" if turn is None else encode_turn(turn),
            segment=segment.number,
            batch=batch,
        )
        for meta, turn in records
    ]
    segment.write(b"".join(encoded))
    return [len(record) for record in encoded]
