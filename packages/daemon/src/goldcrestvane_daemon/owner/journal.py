"""Journal of one shard: group commits by conditional updates of a head object.

The head fences former owners. A new owner raises the epoch in the head with a
conditional update before it reads the journal, so every later commit of the former
owner fails with a conflict. If the response to a write is lost, the owner reads the
head back and compares tokens to learn whether the write took effect. When the records
in the head exceed `MAX_TAIL_BYTES`, they move into a sealed segment object that the
head lists. A compaction replaces all segments with a snapshot of the state.
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

MAX_TAIL_BYTES = 32 * 1024
MAX_BATCH_BYTES = 512 * 1024
MIN_COMPACTION_BYTES = 256 * 1024
COMPACTION_GROWTH_FACTOR = 2
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
MAX_PENDING_RECORDS = 20_000

logger = get_logger("journal")


class JournalHead(msgspec.Struct, frozen=True, omit_defaults=True):
    """Content of the head object.

    Attributes:
        epoch: Epoch of the owner.
        owner: Instance that is allowed to commit.
        token: Unique id of this update.
        count: Number of records committed since the journal was created.
        record_epoch: Epoch of the owner that committed the latest record.
        segments: Keys of the sealed segments, oldest first.
        records: Records that are not in a segment yet.
    """

    epoch: Epoch
    owner: InstanceId
    token: str
    count: int = 0
    record_epoch: Epoch = Epoch(0)
    segments: list[str] = []
    records: list[Record] = []


class JournalSegment(msgspec.Struct, frozen=True):
    """Content of a sealed segment object."""

    records: list[Record]


@final
class OwnershipLost(Exception):
    """Another instance owns the shard, so this one can no longer commit."""


@final
class JournalFull(Exception):
    """Too many records are waiting for the platform."""


@final
@dataclass
class _Batch:
    """Records that are committed together, and the event set once they are durable."""

    records: list[Record] = field(default_factory=list)
    size: int = 0
    durable: trio.Event = field(default_factory=trio.Event)


def build_head_key(shard: ShardId) -> str:
    """Returns the key of a shard's journal head."""
    return f"journal/{shard}/head"


@final
class Journal:
    """The journal of one shard under one owner.

    `open` takes over the shard, and `run` commits batches until ownership is lost.

    Attributes:
        shard: The shard.
        epoch: Epoch of this owner, valid after `open`.
        ownership_lost: Set when another instance has taken over the shard.
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
        self._write_count = 0
        self._batches: deque[_Batch] = deque()
        self._batches_in_flight: list[_Batch] = []
        self._pending_records = 0
        self._wakeup = trio.Event()
        self._build_snapshot: Callable[[], list[Record]] | None = None
        self.epoch = Epoch(0)
        self.ownership_lost = trio.Event()
        self.store_unavailable = False

    def set_snapshot_builder(self, build_snapshot: Callable[[], list[Record]]) -> None:
        """Sets the function that returns the state as records for compactions."""
        self._build_snapshot = build_snapshot

    async def open(self) -> list[Record]:
        """Takes over the shard and returns all records, oldest first.

        Raises:
            OwnershipLost: Another instance took over the shard at the same time.
            ObjectStoreUnavailable: The platform does not respond, so the shard was not
                taken over.
        """
        stored = await self._objects.read(build_head_key(self.shard))
        former_head = JournalHead(epoch=Epoch(0), owner=self._owner, token="")
        if stored is not None:
            former_head = stored.decode(JournalHead)
            self._version = stored.version
        self.epoch = Epoch(former_head.epoch + 1)
        head = msgspec.structs.replace(
            former_head, epoch=self.epoch, owner=self._owner, token=self._build_token()
        )
        await self._write_head(head)
        self._tail_bytes = _measure_json(head.records)
        records: list[Record] = []
        for key in head.segments:
            records.extend(await self._read_segment(key))
        return records + head.records

    async def _read_segment(self, key: str) -> list[Record]:
        stored = await self._objects.read(key)
        if stored is None:
            raise ObjectStoreUnavailable(f"Segment {key} is missing. Restore it first.")
        self._segment_bytes += len(bytes(stored.value))
        return stored.decode(JournalSegment).records

    @property
    def committed_count(self) -> int:
        """Number of records in the journal that this owner knows of."""
        return self._head.count

    @property
    def record_epoch(self) -> Epoch:
        """Epoch of the owner that committed the latest record."""
        return self._head.record_epoch

    @property
    def queued_count(self) -> int:
        """Number of records that are not durable yet."""
        return self._pending_records

    def list_queued(self) -> tuple[int, list[Record]]:
        """Returns the number of committed records and the queued records in order."""
        queued = [*self._batches_in_flight, *self._batches]
        return self.committed_count, [
            record for batch in queued for record in batch.records
        ]

    def append(self, records: Sequence[Record]) -> trio.Event:
        """Queues records for the next commit.

        Returns:
            An event that is set once the records are durable.

        Raises:
            OwnershipLost: The shard has another owner.
            JournalFull: Too many records are waiting for the platform.
        """
        if self.ownership_lost.is_set():
            raise OwnershipLost(f"Shard {self.shard} has another owner.")
        if self._pending_records + len(records) > MAX_PENDING_RECORDS:
            raise JournalFull(f"Over {MAX_PENDING_RECORDS} records are queued.")
        size = _measure_json(records)
        if not self._batches or self._batches[-1].size + size > MAX_BATCH_BYTES:
            self._batches.append(_Batch())
        batch = self._batches[-1]
        batch.records.extend(records)
        batch.size += size
        self._pending_records += len(records)
        self._wakeup.set()
        return batch.durable

    async def wait(self, durable: trio.Event) -> None:
        """Waits until appended records are durable.

        Args:
            durable: The event that `append` returned.

        Raises:
            OwnershipLost: The shard has another owner. The records may be lost.
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
        """Gives up ownership without writing the queued records."""
        self.ownership_lost.set()
        self._wakeup.set()

    async def run(self) -> None:
        """Commits queued records, one batch at a time, until ownership is lost."""
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
            self._batches_in_flight = [batch]
            await self._commit(batch)
            self._mark_durable([batch])

    def _mark_durable(self, batches: Sequence[_Batch]) -> None:
        self._batches_in_flight = []
        for batch in batches:
            self._pending_records -= len(batch.records)
            batch.durable.set()

    async def _commit(self, batch: _Batch) -> None:
        if self._tail_bytes > MAX_TAIL_BYTES:
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
        """Moves the records of the head into a segment.

        The next commit lists the segment in the head.
        """
        key = await self._write_segment(self._head.records)
        self._head = msgspec.structs.replace(
            self._head, segments=[*self._head.segments, key], records=[]
        )
        self._segment_bytes += self._tail_bytes
        self._tail_bytes = 0

    async def _write_segment(self, records: list[Record]) -> str:
        self._write_count += 1
        key = f"journal/{self.shard}/segment-{self.epoch}-{self._write_count}"

        async def write(segment: JournalSegment) -> None:
            try:
                await self._objects.write(key, segment, expected_version=Version(0))
            except ObjectVersionConflict:
                return  # An earlier attempt took effect. No other owner uses this key.

        await self._retry(write, JournalSegment(records))
        return key

    def _needs_compaction(self) -> bool:
        limit = self._snapshot_bytes * COMPACTION_GROWTH_FACTOR + MIN_COMPACTION_BYTES
        return self._build_snapshot is not None and self._segment_bytes > limit

    async def _compact(self) -> None:
        """Replaces all segments with a snapshot that includes the queued records."""
        assert self._build_snapshot is not None
        included = list(self._batches)
        self._batches.clear()
        self._batches_in_flight = included
        parts = list(_split_records(self._build_snapshot()))
        former_segments = self._head.segments
        segments = [await self._write_segment(part) for part in parts]
        head = msgspec.structs.replace(
            self._head,
            token=self._build_token(),
            count=self._head.count + sum(len(batch.records) for batch in included),
            record_epoch=self.epoch,
            segments=segments,
            records=[],
        )
        await self._retry(self._write_head, head)
        self._tail_bytes = 0
        self._snapshot_bytes = sum(_measure_json(part) for part in parts)
        self._segment_bytes = self._snapshot_bytes
        self._mark_durable(included)
        logger.info("shard %s was compacted into %s segments", self.shard, len(parts))
        await self._delete_segments(former_segments)

    async def _delete_segments(self, keys: Sequence[str]) -> None:
        for key in keys:
            try:
                stored = await self._objects.read(key)
                if stored is not None:
                    await self._objects.delete(key, expected_version=stored.version)
            except ObjectStoreError as error:
                logger.warning("segment %s could not be deleted: %s", key, error)

    async def _retry(self, write: Callable[[Any], Any], value: Any) -> None:
        """Repeats a write until it takes effect or ownership is lost."""
        delay = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                await write(value)
                self.store_unavailable = False
                return
            except (ObjectStoreUnavailable, WriteOutcomeUnknown) as error:
                self.store_unavailable = True
                wait_seconds = max(delay, getattr(error, "retry_after", None) or 0.0)
            with trio.move_on_after(wait_seconds):
                await self.ownership_lost.wait()
                raise OwnershipLost(f"Shard {self.shard} has another owner.")
            delay = min(MAX_BACKOFF_SECONDS, delay * 2)

    async def _write_head(self, head: JournalHead) -> None:
        """Writes the head once and reads it back if the outcome is unclear.

        Raises:
            OwnershipLost: Another owner has written the head.
            ObjectStoreUnavailable: The write did not take effect, or its outcome is
                unknown. Writing the same head again is safe.
        """
        key = build_head_key(self.shard)
        try:
            version = await self._objects.write(
                key, head, expected_version=self._version
            )
        except (ObjectVersionConflict, WriteOutcomeUnknown):
            stored = await self._objects.read(key)
            version = self._resolve_write(stored, head)
        self._version = version
        self._head = head

    def _resolve_write(self, stored: StoredObject | None, head: JournalHead) -> Version:
        if stored is not None and stored.decode(JournalHead).token == head.token:
            return stored.version
        if (stored.version if stored else Version(0)) == self._version:
            raise ObjectStoreUnavailable(
                "The write did not take effect. Write the head again."
            )
        self.relinquish()
        raise OwnershipLost(f"Shard {self.shard} was taken over by another instance.")

    def _build_token(self) -> str:
        self._write_count += 1
        return f"{self._owner}:{self._id}:{self.epoch}:{self._write_count}"


def _measure_json(records: Sequence[Record]) -> int:
    return sum(len(msgspec.json.encode(record)) for record in records)


def _split_records(records: Sequence[Record]) -> Iterator[list[Record]]:
    """Yields the records in order, in parts of at most `MAX_BATCH_BYTES`.

    A single larger record forms a part of its own.
    """
    part: list[Record] = []
    size = 0
    for record in records:
        length = _measure_json([record])
        if part and size + length > MAX_BATCH_BYTES:
            yield part
            part, size = [], 0
        part.append(record)
        size += length
    if part:
        yield part
