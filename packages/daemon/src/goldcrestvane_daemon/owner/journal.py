"""Journal of one shard: group commit by conditional update of one head object.

The head is the fence. A new owner raises the epoch in the head by a conditional
update before it reads the journal; every later commit of the former owner then meets
a conflict. A lost answer is settled by reading the head back and comparing tokens.
Records beyond `TAIL_BYTES` move into sealed segment objects that the head lists.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import Epoch, InstanceId, ShardId, Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import (
    ObjectClient,
    ObjectConflict,
    ObjectsUnavailable,
    WriteUncertain,
)
from goldcrestvane_daemon.owner.records import Record

TAIL_BYTES = 32 * 1024
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
        segments: Keys of the sealed segments, oldest first.
        records: Records that no segment holds yet.
    """

    epoch: Epoch
    owner: InstanceId
    token: str
    count: int = 0
    segments: list[str] = []
    records: list[Record] = []


class JournalSegment(msgspec.Struct, frozen=True):
    """Value of a sealed segment object."""

    records: list[Record]


@final
class Deposed(Exception):
    """Another instance owns the shard now; nothing more can be committed here."""


@final
class JournalFull(Exception):
    """Too many records wait for the platform."""


@final
@dataclass
class _Batch:
    """Records committed together, and the event set when they are durable."""

    records: list[Record] = field(default_factory=list)
    durable: trio.Event = field(default_factory=trio.Event)


def build_head_key(shard: ShardId) -> str:
    """Returns the key of a shard's journal head."""
    return f"journal/{shard}/head"


@final
class Journal:
    """The journal of one shard under one owner.

    `open` takes the shard over; `run` writes batches until the owner is deposed.

    Attributes:
        epoch: Epoch of this owner, valid after `open`.
        deposed: Set when another instance has taken the shard over.
        down: Whether the latest write could not reach the platform.
    """

    def __init__(
        self, objects: ObjectClient, shard: ShardId, owner: InstanceId
    ) -> None:
        self._objects = objects
        self._shard = shard
        self._owner = owner
        self._version = Version(0)
        self._head = JournalHead(epoch=Epoch(0), owner=owner, token="")
        self._tail_bytes = 0
        self._commits = 0
        self._pending = _Batch()
        self._writing: _Batch | None = None
        self._wakeup = trio.Event()
        self.epoch = Epoch(0)
        self.deposed = trio.Event()
        self.down = False

    async def open(self) -> list[Record]:
        """Takes the shard over and returns all records, oldest first.

        Raises:
            Deposed: Another instance took the shard over at the same time.
            ObjectsUnavailable: The platform does not answer; nothing was taken.
        """
        stored = await self._objects.read(build_head_key(self._shard))
        former = None
        if stored is not None:
            former = stored.decode(JournalHead)
            self._version = stored.version
        self.epoch = Epoch((former.epoch if former else 0) + 1)
        head = JournalHead(
            epoch=self.epoch,
            owner=self._owner,
            token=self._build_token(),
            count=former.count if former else 0,
            segments=former.segments if former else [],
            records=former.records if former else [],
        )
        await self._write_head(head)
        self._tail_bytes = sum(len(msgspec.json.encode(r)) for r in head.records)
        records: list[Record] = []
        for key in head.segments:
            records.extend((await self._read_segment(key)).records)
        return records + head.records

    async def _read_segment(self, key: str) -> JournalSegment:
        stored = await self._objects.read(key)
        if stored is None:
            raise ObjectsUnavailable(f"Segment {key} is missing; restore it first.")
        return stored.decode(JournalSegment)

    def append(self, records: Sequence[Record]) -> trio.Event:
        """Queues records for the next commit; the event is set when they are durable.

        Raises:
            Deposed: The shard has another owner.
            JournalFull: Too many records wait for the platform.
        """
        if self.deposed.is_set():
            raise Deposed(f"Shard {self._shard} has another owner.")
        if len(self._pending.records) + len(records) > MAX_PENDING_RECORDS:
            raise JournalFull(f"Over {MAX_PENDING_RECORDS} records wait.")
        self._pending.records.extend(records)
        self._wakeup.set()
        return self._pending.durable

    async def wait(self, durable: trio.Event) -> None:
        """Waits for the event that `append` returned.

        Raises:
            Deposed: The shard has another owner; the records may be lost.
        """
        async with trio.open_nursery() as nursery:

            async def cancel_when(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_when, self.deposed)
            nursery.start_soon(cancel_when, durable)
        if not durable.is_set():
            raise Deposed(f"Shard {self._shard} has another owner.")

    def withdraw(self, record: Record) -> bool:
        """Takes back a queued record; returns False when it may become durable."""
        if record not in self._pending.records:
            return False
        self._pending.records.remove(record)
        return True

    async def flush(self) -> None:
        """Waits until all queued records are durable.

        Raises:
            Deposed: The shard has another owner.
        """
        if self._pending.records:
            await self.wait(self._pending.durable)
        elif self._writing is not None:
            await self.wait(self._writing.durable)

    def depose(self) -> None:
        """Ends this owner's part; queued records are not written any more."""
        self.deposed.set()
        self._wakeup.set()

    async def run(self) -> None:
        """Commits queued records, one batch at a time, until deposed."""
        while not self.deposed.is_set():
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            if not self._pending.records:
                continue
            self._writing, self._pending = self._pending, _Batch()
            try:
                await self._commit(self._writing)
            except Deposed:
                logger.info("shard %s has another owner", self._shard)
                return
            self._writing.durable.set()
            self._writing = None

    async def _commit(self, batch: _Batch) -> None:
        await self._seal_tail()
        head = msgspec.structs.replace(
            self._head,
            token=self._build_token(),
            count=self._head.count + len(batch.records),
            records=self._head.records + batch.records,
        )
        await self._retry_write(head)
        self._tail_bytes += sum(len(msgspec.json.encode(r)) for r in batch.records)

    async def _seal_tail(self) -> None:
        """Moves the tail into a segment object; the next commit lists it."""
        if self._tail_bytes <= TAIL_BYTES:
            return
        key = f"journal/{self._shard}/segment-{self.epoch}-{self._commits}"
        segment = JournalSegment(self._head.records)
        delay = FIRST_RETRY_SECONDS
        while True:
            try:
                await self._objects.write(key, segment, expected_version=Version(0))
                break
            except ObjectConflict:
                break  # An earlier attempt took effect; the key is this owner's own.
            except (ObjectsUnavailable, WriteUncertain):
                self.down = True
                await trio.sleep(delay)
                delay = min(LAST_RETRY_SECONDS, delay * 2)
        self._head = msgspec.structs.replace(
            self._head, segments=[*self._head.segments, key], records=[]
        )
        self._tail_bytes = 0

    async def _retry_write(self, head: JournalHead) -> None:
        delay = FIRST_RETRY_SECONDS
        while True:
            try:
                await self._write_head(head)
                self.down = False
                return
            except ObjectsUnavailable as error:
                self.down = True
                await trio.sleep(max(delay, error.retry_after or 0.0))
                delay = min(LAST_RETRY_SECONDS, delay * 2)

    async def _write_head(self, head: JournalHead) -> None:
        """Writes the head once, settling a lost answer by reading it back.

        Raises:
            Deposed: The head is another owner's.
            ObjectsUnavailable: The write did not take effect, or cannot be settled
                yet; writing the same head again is safe.
        """
        key = build_head_key(self._shard)
        try:
            version = await self._objects.write(
                key, head, expected_version=self._version
            )
        except (ObjectConflict, WriteUncertain):
            version = await self._settle_write(key, head)
        self._version = version
        self._head = head

    async def _settle_write(self, key: str, head: JournalHead) -> Version:
        stored = await self._objects.read(key)
        if stored is not None and stored.decode(JournalHead).token == head.token:
            return stored.version
        if (stored.version if stored else Version(0)) == self._version:
            raise ObjectsUnavailable("The write did not take effect; write it again.")
        self.deposed.set()
        raise Deposed(f"Shard {self._shard} was taken over by another instance.")

    def _build_token(self) -> str:
        self._commits += 1
        return f"{self._owner}:{self.epoch}:{self._commits}"
