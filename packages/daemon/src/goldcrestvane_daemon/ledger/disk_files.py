"""Small files on a member's disk: the id of its contents, and recorded views."""

import os
import uuid
from pathlib import Path
from typing import final

import msgspec
import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger.segments import (
    FORMER_SUFFIX,
    SEGMENT_SUFFIX,
    sync_folder,
)
from goldcrestvane_daemon.ledger.view import View

IDENTITY_FILE = "disk-id"
SYNCED_VIEW_FILE = "synced-view"
VIEW_FILE = "view"
ISSUING_VIEW_FILE = "issuing-view"

logger = get_logger("log")


@final
class DiskFiles:
    """Reads and replaces the small files in the folder of one member.

    Attributes:
        disk: Id of the disk's contents; an empty disk gets a new id.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.disk = ""

    def open(self) -> None:
        """Reads the disk's id, or creates it on an empty disk.

        Entries without an id, and those of a former version, are discarded together
        with the id, so that the member copies its partitions before it votes.

        Raises:
            OSError: The disk failed.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        identity = self._read_file(IDENTITY_FILE)
        former = [
            path
            for path in self._folder.glob("*" + FORMER_SUFFIX)
            if path.stat().st_size
        ]
        if former:
            logger.warning("discarding the entries of a former version")
            identity = None
        if identity is None:
            self._discard_entries()
        self.disk = identity or uuid.uuid4().hex
        if identity is None:
            self._write_file(IDENTITY_FILE, self.disk)

    def _discard_entries(self) -> None:
        # The id and the synced view are removed first. If the power is lost in
        # between, the disk does not count as complete.
        for name in (IDENTITY_FILE, SYNCED_VIEW_FILE):
            (self._folder / name).unlink(missing_ok=True)
        sync_folder(self._folder)
        for suffix in (FORMER_SUFFIX, SEGMENT_SUFFIX):
            for path in self._folder.glob("*" + suffix):
                logger.warning(
                    "the disk has entries but no id; discarding them",
                    extra={"file": path.name},
                )
                path.unlink()

    def read_synced_view(self) -> View | None:
        """Returns the last view under which the disk had all its entries, or None."""
        return self._read_view_file(SYNCED_VIEW_FILE)

    async def write_synced_view(self, view: View) -> None:
        """Records that the disk has all its entries under a view.

        Raises:
            OSError: Writing to the disk failed.
        """
        await self._write_view_file(SYNCED_VIEW_FILE, view)

    def read_view(self) -> View | None:
        """Returns the last adopted view that is recorded on the disk, or None."""
        return self._read_view_file(VIEW_FILE)

    async def write_view(self, view: View) -> None:
        """Records a view, so that older writers are rejected after a restart too.

        Raises:
            OSError: Writing to the disk failed.
        """
        await self._write_view_file(VIEW_FILE, view)

    def read_issuing_view(self) -> View | None:
        """Returns the last view under which the member issued tokens, or None."""
        return self._read_view_file(ISSUING_VIEW_FILE)

    async def write_issuing_view(self, view: View) -> None:
        """Records that the member issues the tokens of its partitions under a view.

        Raises:
            OSError: Writing to the disk failed.
        """
        await self._write_view_file(ISSUING_VIEW_FILE, view)

    def _read_view_file(self, name: str) -> View | None:
        text = self._read_file(name)
        try:
            return msgspec.json.decode(text, type=View) if text else None
        except msgspec.DecodeError as error:
            logger.warning(
                "ignoring a recorded view that cannot be decoded",
                extra={"file": name, "reason": str(error)},
            )
            return None

    async def _write_view_file(self, name: str, view: View) -> None:
        text = msgspec.json.encode(view).decode()
        await trio.to_thread.run_sync(self._write_file, name, text)

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
        sync_folder(self._folder)
