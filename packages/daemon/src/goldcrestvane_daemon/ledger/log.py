"""Append-only log of entries in segment files, with group commit.

Each record is a length, a checksum and a MessagePack value. After a loss of power the
end of the newest segment may be torn; reading stops at the first record that does not
match its checksum, and the rest of that segment holds nothing that was acknowledged.
"""

import os
import struct
import uuid
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import final

import msgspec
import trio
import xxhash

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger.messages import Entry
from goldcrestvane_daemon.ledger.view import View

HEADER = struct.Struct(">IQ")
SEGMENT_BYTES = 16 * 1024 * 1024
"""Size at which a new segment is begun; the live entries fit into a few."""

SEGMENT_SUFFIX = ".log"
IDENTITY_FILE = "disk-id"
SYNCED_EPOCH_FILE = "joined"
VIEW_FILE = "view"

logger = get_logger("log")


class DiskFailed(Exception):
    """The disk refused a write; nothing is acknowledged."""


def encode_record(entry: Entry) -> bytes:
    """Returns the bytes of one record."""
    body = msgspec.msgpack.encode(entry)
    return HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body)) + body


def decode_records(data: bytes) -> Iterator[Entry]:
    """Yields the records up to the first one that is torn or damaged."""
    decoder = msgspec.msgpack.Decoder(Entry)
    position = 0
    while position + HEADER.size <= len(data):
        length, checksum = HEADER.unpack_from(data, position)
        position += HEADER.size
        body = data[position : position + length]
        if len(body) < length or xxhash.xxh3_64_intdigest(body) != checksum:
            return
        try:
            yield decoder.decode(body)
        except msgspec.DecodeError:
            return
        position += length


@final
class EntryLog:
    """The log of one member, below one folder.

    Attributes:
        disk: Id of this disk's contents; new when the disk was empty.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._pending: list[bytes] = []
        self._waiters: list[trio.Event] = []
        self._failed: set[trio.Event] = set()
        self._work = trio.Event()
        self._file: int | None = None
        self._size = 0
        self._number = 0
        self.disk = ""
        self.sync_count = 0

    def open(self) -> Iterator[Entry]:
        """Reads the disk and begins a new segment; yields the entries found."""
        self._folder.mkdir(parents=True, exist_ok=True)
        identity = self._read_file(IDENTITY_FILE)
        segments = self._list_segments()
        if identity is None and segments:
            logger.warning("a disk with entries lacks its id; it is taken as empty")
            for path in segments:
                path.unlink()
            segments = []
        self.disk = identity or uuid.uuid4().hex
        for path in segments:
            yield from decode_records(path.read_bytes())
        self._number = int(segments[-1].stem) if segments else 0
        self._begin_segment()
        if identity is None:
            self._write_file(IDENTITY_FILE, self.disk)

    def read_synced_epoch(self) -> int:
        """Returns the epoch at which this disk's entries were complete; 0 if never."""
        text = self._read_file(SYNCED_EPOCH_FILE)
        return int(text) if text and text.isdigit() else 0

    async def write_synced_epoch(self, epoch: int) -> None:
        """Records that this disk's entries are complete since an epoch."""
        await trio.to_thread.run_sync(self._write_file, SYNCED_EPOCH_FILE, str(epoch))

    def read_view(self) -> View | None:
        """Returns the newest view that this disk has seen, or None."""
        text = self._read_file(VIEW_FILE)
        try:
            return msgspec.json.decode(text, type=View) if text else None
        except msgspec.DecodeError as error:
            logger.warning("ignored an unreadable view", extra={"reason": str(error)})
            return None

    async def write_view(self, view: View) -> None:
        """Records a view, so that older writers are refused after a restart too."""
        text = msgspec.json.encode(view).decode()
        await trio.to_thread.run_sync(self._write_file, VIEW_FILE, text)

    def _read_file(self, name: str) -> str | None:
        try:
            return (self._folder / name).read_text() or None
        except FileNotFoundError:
            return None

    def _write_file(self, name: str, text: str) -> None:
        temporary = self._folder / (name + ".new")
        with temporary.open("w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self._folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _list_segments(self) -> list[Path]:
        found = self._folder.glob("*" + SEGMENT_SUFFIX)
        return sorted(path for path in found if path.stem.isdigit())

    def _begin_segment(self) -> None:
        if self._file is not None:
            os.close(self._file)
        self._number += 1
        path = self._folder / f"{self._number:012d}{SEGMENT_SUFFIX}"
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        self._size = 0
        os.fsync(self._file)
        self._sync_folder()

    async def append(self, entries: list[Entry]) -> None:
        """Returns when entries are on disk.

        Raises:
            DiskFailed: The disk refused the write.
        """
        self._pending += [encode_record(entry) for entry in entries]
        done = trio.Event()
        self._waiters.append(done)
        self._work.set()
        await done.wait()
        if done in self._failed:
            self._failed.discard(done)
            raise DiskFailed("The disk refused a write; see the log of this process.")

    async def run(self, list_live: Callable[[], Iterator[Entry]]) -> None:
        """Writes what `append` queues until cancelled.

        Args:
            list_live: Returns the entries that a new set of segments must hold.
        """
        while True:
            await self._work.wait()
            self._work = trio.Event()
            batch, self._pending = b"".join(self._pending), []
            waiters, self._waiters = self._waiters, []
            await self._commit(batch, waiters)
            if self._size > SEGMENT_BYTES:
                await self._compact(list_live)

    async def _commit(self, batch: bytes, waiters: list[trio.Event]) -> None:
        try:
            await trio.to_thread.run_sync(self._write, batch)
        except OSError as error:
            logger.error("the disk refused a write", extra={"reason": str(error)})
            self._failed.update(waiters)
            await self._recover_segment()
        for waiter in waiters:
            waiter.set()

    def _write(self, batch: bytes) -> None:
        assert self._file is not None
        view = memoryview(batch)
        while view:
            written = os.write(self._file, view)
            view = view[written:]
        os.fdatasync(self._file)
        self._size += len(batch)
        self.sync_count += 1

    async def _recover_segment(self) -> None:
        """Begins a new segment, since the end of the old one may be torn."""
        try:
            await trio.to_thread.run_sync(self._begin_segment)
        except OSError as error:
            logger.error("no new segment", extra={"reason": str(error)})

    async def _compact(self, list_live: Callable[[], Iterator[Entry]]) -> None:
        """Writes the live entries to a new segment and removes the older ones."""
        old = self._list_segments()
        # What arrives meanwhile waits in the queue and goes to the new segment.
        live = b"".join(encode_record(entry) for entry in list_live())
        try:
            await trio.to_thread.run_sync(self._replace_segments, old, live)
        except OSError as error:
            logger.error("compaction failed", extra={"reason": str(error)})

    def _replace_segments(self, old: list[Path], live: bytes) -> None:
        self._begin_segment()
        self._write(live)
        self._size = 0
        for path in old:
            path.unlink()
        self._sync_folder()
