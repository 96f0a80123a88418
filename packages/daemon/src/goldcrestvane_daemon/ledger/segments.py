"""Segment files of the ledger's log.

The functions block, so they run in worker threads. A new segment becomes durable with
its own sync and that of the folder, before a record in it is acknowledged. A segment is
removed only when the records that replace its live ones are synced; if the removal is
lost with the power, its records are merged again without effect.
"""

import contextlib
import os
from pathlib import Path
from typing import final

from goldcrestvane_daemon.ledger.messages import Turn
from goldcrestvane_daemon.ledger.records import decode_turn

SEGMENT_SUFFIX = ".seg"
FORMER_SUFFIX = ".log"
"""Suffix of the segments that versions up to 0.1.0 wrote before turns lay on disk."""


def sync_folder(folder: Path) -> None:
    """Makes created, renamed and removed files of a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


@final
class Segment:
    """One segment: its file, and what of it is still needed.

    Attributes:
        number: Its number; later segments have higher numbers.
        size: Size of the synced records in bytes.
        live_bytes: Size of the records of turns that are not expired.
        live_turns: Number of these turns.
        renewal_count: Turns whose last renewal is in this segment.
        account_count: Token accounts whose oldest needed record is in this segment.
        readers: Reads in progress.
        is_damaged: Whether a record was found that does not match its checksum.
    """

    def __init__(self, number: int, path: Path | None = None) -> None:
        self.number = number
        self.size = 0
        self.live_bytes = 0
        self.live_turns = 0
        self.renewal_count = 0
        self.account_count = 0
        self.readers = 0
        self.is_damaged = False
        self._path = path
        self._descriptor = -1
        self._is_removed = False

    @property
    def descriptor(self) -> int:
        """File descriptor, opened with the segment."""
        return self._descriptor

    def open(self, flags: int = os.O_RDWR) -> None:
        """Opens the file.

        Raises:
            OSError: Opening failed.
        """
        assert self._path is not None
        self._descriptor = os.open(self._path, flags, 0o644)

    def write(self, data: bytes) -> None:
        """Writes data behind the synced records and syncs it.

        Raises:
            OSError: Writing failed; a part of the data may be on the disk.
        """
        view = memoryview(data)
        position = self.size
        while view:
            written = os.pwrite(self._descriptor, view, position)
            view = view[written:]
            position += written
        os.fdatasync(self._descriptor)
        self.size = position

    def read_turn(self, offset: int, length: int) -> Turn:
        """Returns the turn of a record.

        Raises:
            OSError: Reading failed.
            CorruptRecord: The record does not match its checksum.
        """
        data = os.pread(self._descriptor, length, offset)
        return decode_turn(data, segment=self.number)

    def truncate(self) -> None:
        """Removes what a failed write left behind the synced records.

        Raises:
            OSError: Truncating failed.
        """
        os.ftruncate(self._descriptor, self.size)
        os.fsync(self._descriptor)

    def unlink(self) -> None:
        """Removes the file; reads in progress still succeed.

        Raises:
            OSError: Removing failed.
        """
        assert self._path is not None
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path)

    def close_when_unread(self) -> None:
        """Closes the file once no read is in progress."""
        self._is_removed = True
        self._close_if_unused()

    def end_read(self) -> None:
        """Ends a read that was counted in `readers`."""
        self.readers -= 1
        if self._is_removed:
            self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.readers == 0 and self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


def get_path(folder: Path, number: int) -> Path:
    """Returns the path of a segment."""
    return folder / f"{number:012d}{SEGMENT_SUFFIX}"


def list_segments(folder: Path) -> list[Segment]:
    """Returns the stored segments in the order of their numbers, not opened yet."""
    paths = sorted(
        path for path in folder.glob("*" + SEGMENT_SUFFIX) if path.stem.isdigit()
    )
    return [Segment(int(path.stem), path) for path in paths]


def create_segment(folder: Path, number: int) -> Segment:
    """Creates a segment durably.

    Raises:
        OSError: Creating failed; no file is left if it can be removed.
    """
    segment = Segment(number, get_path(folder, number))
    try:
        segment.open(os.O_RDWR | os.O_CREAT | os.O_TRUNC)
        os.fsync(segment.descriptor)
        sync_folder(folder)
    except OSError:
        segment.close_when_unread()
        segment.unlink()
        raise
    return segment


def remove_segments(folder: Path, segments: list[Segment]) -> None:
    """Removes the files of segments durably.

    Raises:
        OSError: Removing failed; a part of the files may be left.
    """
    for segment in segments:
        segment.unlink()
    sync_folder(folder)
