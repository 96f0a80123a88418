"""Journal of one shard: group commit by conditional update of one head object.

The head is the fence. A new owner raises the epoch in the head by a conditional
update before it reads the journal; every later commit of the former owner then meets
a conflict. A lost answer is settled by reading the head back and comparing tokens.
Records beyond `TAIL_BYTES` move into sealed segment objects that the head lists, and
a compaction replaces all segments by a snapshot of the state.
"""

import uuid
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.ids import Epoch, InstanceId, ShardId, Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import (
    ObjectClient,
    ObjectStoreError,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    StoredObject,
    WriteOutcomeUnknown,
)
from goldcrestvane_daemon.owner.records import Record

TAIL_BYTES = 32 * 1024
BATCH_BYTES = 512 * 1024
MIN_COMPACTION_BYTES = 256 * 1024
COMPACTION_FACTOR = 2
FIRST_RETRY_SECONDS = 0.05
LAST_RETRY_SECONDS = 2.0
MAX_PENDING_RECORDS = 20_000

logger = get_logger("journal")


class JournalHead(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of the head object.

    Attributes:
        epoch: Epoch of the owner.
        owner: Instance that may commit.
        token: Unique id of this update.
        count: Records committed since the journal began.
        record_epoch: Epoch of the owner that committed the latest record.
        segments: Keys of the sealed segments, oldest first.
        records: Records that no segment holds yet.
    """

    epoch: Epoch
    owner: InstanceId
    token: str
    count: int = 0
    record_epoch: Epoch = Epoch(0)
    segments: list[str] = []
    records: list[Record] = []


class JournalSegment(msgspec.Struct, frozen=True):
    """Value of a sealed segment object."""

    records: list[Record]


@final
class OwnershipLost(Exception):
    """Another instance owns the shard now; nothing more can be committed here."""


@final
class JournalFull(Exception):
    """Too many records wait for the platform."""


@final
@dataclass
class _Batch:
    """Records committed together, and the event set when they are durable."""

    records: list[Record] = field(default_factory=list)
    size: int = 0
    durable: trio.Event = field(default_factory=trio.Event)


def build_head_key(shard: ShardId) -> str:
    """Returns the key of a shard's journal head."""
    return f"journal/{shard}/head"


@final
class Journal:
    """The journal of one shard under one owner.

    `open` takes the shard over; `run` writes batches until the owner is deposed.

    Attributes:
        shard: The shard.
        epoch: Epoch of this owner, valid after `open`.
        ownership_lost: Set when another instance has taken the shard over.
        store_unavailable: Whether the latest write could not reach the platform.
    """

    def __init__(
        self, objects: ObjectClient, shard: ShardId, owner: InstanceId
    ) -> None:
        self._objects = objects
        self.shard = shard
        self._owner = owner
        self._id = uuid.uuid4().hex
        self._version = Version(0)
        self._head = JournalHead(epoch=Epoch(0), owner=owner, token="")
        self._tail_bytes = 0
        self._segment_bytes = 0
        self._snapshot_bytes = 0
        self._writes = 0
        self._batches: deque[_Batch] = deque()
        self._writing: list[_Batch] = []
        self._pending_records = 0
        self._wakeup = trio.Event()
        self._take_snapshot: Callable[[], list[Record]] | None = None
        self.epoch = Epoch(0)
        self.ownership_lost = trio.Event()
        self.store_unavailable = False

    def set_snapshot(self, take_snapshot: Callable[[], list[Record]]) -> None:
        """Sets the function that returns the state as records, for compactions."""
        self._take_snapshot = take_snapshot

    async def open(self) -> list[Record]:
        """Takes the shard over and returns all records, oldest first.

        Raises:
            OwnershipLost: Another instance took the shard over at the same time.
            ObjectStoreUnavailable: The platform does not answer; nothing was taken.
        """
        stored = await self._objects.read(build_head_key(self.shard))
        former = JournalHead(epoch=Epoch(0), owner=self._owner, token="")
        if stored is not None:
            former = stored.decode(JournalHead)
            self._version = stored.version
        self.epoch = Epoch(former.epoch + 1)
        head = msgspec.structs.replace(
            former, epoch=self.epoch, owner=self._owner, token=self._build_token()
        )
        await self._write_head(head)
        self._tail_bytes = _measure(head.records)
        records: list[Record] = []
        for key in head.segments:
            records.extend(await self._read_segment(key))
        return records + head.records

    async def _read_segment(self, key: str) -> list[Record]:
        stored = await self._objects.read(key)
        if stored is None:
            raise ObjectStoreUnavailable(f"Segment {key} is missing; restore it first.")
        self._segment_bytes += len(bytes(stored.value))
        return stored.decode(JournalSegment).records

    @property
    def committed_count(self) -> int:
        """Records in the journal, as far as this owner knows."""
        return self._head.count

    @property
    def record_epoch(self) -> Epoch:
        """Epoch of the owner that committed the latest record."""
        return self._head.record_epoch

    @property
    def queued_count(self) -> int:
        """Records that wait to become durable."""
        return self._pending_records

    def list_queued(self) -> tuple[int, list[Record]]:
        """Returns the number of committed records, and the queued ones in order."""
        queued = [*self._writing, *self._batches]
        return self.committed_count, [
            record for batch in queued for record in batch.records
        ]

    def append(self, records: Sequence[Record]) -> trio.Event:
        """Queues records for the next commit; the event is set when they are durable.

        Raises:
            OwnershipLost: The shard has another owner.
            JournalFull: Too many records wait for the platform.
        """
        if self.ownership_lost.is_set():
            raise OwnershipLost(f"Shard {self.shard} has another owner.")
        if self._pending_records + len(records) > MAX_PENDING_RECORDS:
            raise JournalFull(f"Over {MAX_PENDING_RECORDS} records wait.")
        size = _measure(records)
        if not self._batches or self._batches[-1].size + size > BATCH_BYTES:
            self._batches.append(_Batch())
        batch = self._batches[-1]
        batch.records.extend(records)
        batch.size += size
        self._pending_records += len(records)
        self._wakeup.set()
        return batch.durable

    async def wait(self, durable: trio.Event) -> None:
        """Waits for the event that `append` returned.

        Raises:
            OwnershipLost: The shard has another owner; the records may be lost.
        """
        async with trio.open_nursery() as nursery:

            async def cancel_when(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_when, self.ownership_lost)
            nursery.start_soon(cancel_when, durable)
        if not durable.is_set():
            raise OwnershipLost(f"Shard {self.shard} has another owner.")

    def relinquish(self) -> None:
        """Ends this owner's part; queued records are not written any more."""
        self.ownership_lost.set()
        self._wakeup.set()

    async def run(self) -> None:
        """Commits queued records, one batch at a time, until deposed."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            try:
                await self._commit_queued()
            except OwnershipLost:
                logger.info("shard %s has another owner", self.shard)
                return

    async def _commit_queued(self) -> None:
        while self._batches or self.ownership_lost.is_set():
            if self.ownership_lost.is_set():
                raise OwnershipLost(f"Shard {self.shard} has another owner.")
            if self._needs_compaction():
                await self._compact()
                continue
            batch = self._batches.popleft()
            self._writing = [batch]
            await self._commit(batch)
            self._finish([batch])

    def _finish(self, batches: Sequence[_Batch]) -> None:
        self._writing = []
        for batch in batches:
            self._pending_records -= len(batch.records)
            batch.durable.set()

    async def _commit(self, batch: _Batch) -> None:
        if self._tail_bytes > TAIL_BYTES:
            await self._seal_tail()
        head = msgspec.structs.replace(
            self._head,
            token=self._build_token(),
            count=self._head.count + len(batch.records),
            record_epoch=self.epoch,
            records=self._head.records + batch.records,
        )
        await self._retry(self._write_head, head)
        self._tail_bytes += batch.size

    async def _seal_tail(self) -> None:
        """Moves the tail into a segment object; the next commit lists it."""
        key = await self._write_segment(self._head.records)
        self._head = msgspec.structs.replace(
            self._head, segments=[*self._head.segments, key], records=[]
        )
        self._segment_bytes += self._tail_bytes
        self._tail_bytes = 0

    async def _write_segment(self, records: list[Record]) -> str:
        self._writes += 1
        key = f"journal/{self.shard}/segment-{self.epoch}-{self._writes}"

        async def write(segment: JournalSegment) -> None:
            try:
                await self._objects.write(key, segment, expected_version=Version(0))
            except ObjectVersionConflict:
                return  # An earlier attempt took effect; the key is this owner's own.

        await self._retry(write, JournalSegment(records))
        return key

    def _needs_compaction(self) -> bool:
        limit = self._snapshot_bytes * COMPACTION_FACTOR + MIN_COMPACTION_BYTES
        return self._take_snapshot is not None and self._segment_bytes > limit

    async def _compact(self) -> None:
        """Replaces all segments by a snapshot, which covers the queued records too."""
        assert self._take_snapshot is not None
        covered = list(self._batches)
        self._batches.clear()
        self._writing = covered
        parts = list(_split_records(self._take_snapshot()))
        former = self._head.segments
        segments = [await self._write_segment(part) for part in parts]
        head = msgspec.structs.replace(
            self._head,
            token=self._build_token(),
            count=self._head.count + sum(len(batch.records) for batch in covered),
            record_epoch=self.epoch,
            segments=segments,
            records=[],
        )
        await self._retry(self._write_head, head)
        self._tail_bytes = 0
        self._snapshot_bytes = sum(_measure(part) for part in parts)
        self._segment_bytes = self._snapshot_bytes
        self._finish(covered)
        logger.info("shard %s was compacted to %s segments", self.shard, len(parts))
        await self._delete_segments(former)

    async def _delete_segments(self, keys: Sequence[str]) -> None:
        for key in keys:
            try:
                stored = await self._objects.read(key)
                if stored is not None:
                    await self._objects.delete(key, expected_version=stored.version)
            except ObjectStoreError as error:
                logger.warning("segment %s stays behind: %s", key, error)

    async def _retry(self, write: Callable[[Any], Any], value: Any) -> None:
        """Repeats a write until it took effect or this owner is deposed."""
        delay = FIRST_RETRY_SECONDS
        while True:
            try:
                await write(value)
                self.store_unavailable = False
                return
            except (ObjectStoreUnavailable, WriteOutcomeUnknown) as error:
                self.store_unavailable = True
                pause = max(delay, getattr(error, "retry_after", None) or 0.0)
            with trio.move_on_after(pause):
                await self.ownership_lost.wait()
                raise OwnershipLost(f"Shard {self.shard} has another owner.")
            delay = min(LAST_RETRY_SECONDS, delay * 2)

    async def _write_head(self, head: JournalHead) -> None:
        """Writes the head once, settling a lost answer by reading it back.

        Raises:
            OwnershipLost: The head is another owner's.
            ObjectStoreUnavailable: The write did not take effect, or cannot be settled
                yet; writing the same head again is safe.
        """
        key = build_head_key(self.shard)
        try:
            version = await self._objects.write(
                key, head, expected_version=self._version
            )
        except (ObjectVersionConflict, WriteOutcomeUnknown):
            stored = await self._objects.read(key)
            version = self._settle_write(stored, head)
        self._version = version
        self._head = head

    def _settle_write(self, stored: StoredObject | None, head: JournalHead) -> Version:
        if stored is not None and stored.decode(JournalHead).token == head.token:
            return stored.version
        if (stored.version if stored else Version(0)) == self._version:
            raise ObjectStoreUnavailable(
                "The write did not take effect; write it again."
            )
        self.relinquish()
        raise OwnershipLost(f"Shard {self.shard} was taken over by another instance.")

    def _build_token(self) -> str:
        self._writes += 1
        return f"{self._owner}:{self._id}:{self.epoch}:{self._writes}"


def _measure(records: Sequence[Record]) -> int:
    return sum(len(msgspec.json.encode(record)) for record in records)


def _split_records(records: Sequence[Record]) -> Iterator[list[Record]]:
    """Yields parts of at most `BATCH_BYTES`, in order."""
    part: list[Record] = []
    size = 0
    for record in records:
        length = _measure([record])
        if part and size + length > BATCH_BYTES:
            yield part
            part, size = [], 0
        part.append(record)
        size += length
    if part:
        yield part
