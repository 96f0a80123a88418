"""In-memory store of versioned objects with their complete history."""

import time
from bisect import bisect_right
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import NotFound, VersionConflict
from goldcrestvane_common.ids import Version
from goldcrestvane_common.objects import StoredObject

JSON_NULL = msgspec.Raw(b"null")


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """One write; `time` is in seconds since 1970, `value` is null for a deletion."""

    key: str
    version: Version
    value: msgspec.Raw
    time: float
    deleted: bool = False


@final
class ObjectStore:
    """Stores objects whose versions come from one shared counter.

    Attributes:
        revision: Version of the latest write.
        changes: All writes in version order.
    """

    def __init__(self, *, watch_window: int) -> None:
        self.revision = Version(0)
        self.changes: list[Change] = []
        self._objects: dict[str, StoredObject] = {}
        self._watch_window = watch_window
        self._changed = trio.Event()

    def get(self, key: str) -> StoredObject:
        """Returns an object.

        Raises:
            NotFound: The object does not exist.
        """
        stored = self._objects.get(key)
        if stored is None:
            raise NotFound(
                f"Object {key} does not exist; create it with expected version 0."
            )
        return stored

    def list_by_prefix(self, prefix: str) -> list[StoredObject]:
        """Returns the objects whose key starts with a prefix, sorted by key."""
        keys = sorted(key for key in self._objects if key.startswith(prefix))
        return [self._objects[key] for key in keys]

    def put(self, key: str, value: msgspec.Raw, *, expected: Version) -> Version:
        """Writes an object and returns its new version.

        Raises:
            VersionConflict: The object has another version.
        """
        self._check_version(key, expected)
        version = self._add_change(key, value, deleted=False)
        self._objects[key] = StoredObject(key=key, version=version, value=value)
        return version

    def delete(self, key: str, *, expected: Version) -> Version:
        """Deletes an object and returns the version of the deletion.

        Raises:
            NotFound: The object does not exist.
            VersionConflict: The object has another version.
        """
        self.get(key)
        self._check_version(key, expected)
        del self._objects[key]
        return self._add_change(key, JSON_NULL, deleted=True)

    def retains_changes_since(self, since: Version) -> bool:
        """Returns whether the watch window contains every change after a revision."""
        oldest = max(0, self.revision - self._watch_window)
        return oldest <= since <= self.revision

    def list_changed(self, prefix: str, since: Version) -> list[StoredObject]:
        """Returns the latest state of each object that changed after a revision."""
        start = bisect_right(self.changes, since, key=lambda change: change.version)
        latest = {
            change.key: change
            for change in self.changes[start:]
            if change.key.startswith(prefix)
        }
        return [
            StoredObject(
                key=change.key,
                version=change.version,
                value=change.value,
                deleted=change.deleted,
            )
            for change in sorted(latest.values(), key=lambda change: change.version)
        ]

    async def wait_for_change(self) -> None:
        """Waits for the next write or the next call of `wake`."""
        await self._changed.wait()

    def wake(self) -> None:
        """Wakes all tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    def _check_version(self, key: str, expected: Version) -> None:
        stored = self._objects.get(key)
        current = stored.version if stored is not None else Version(0)
        if current != expected:
            raise VersionConflict(
                f"Object {key} has version {current}, not {expected}; read it again."
            )

    def _add_change(self, key: str, value: msgspec.Raw, *, deleted: bool) -> Version:
        self.revision = Version(self.revision + 1)
        self.changes.append(
            Change(
                key=key,
                version=self.revision,
                value=value,
                time=time.time(),
                deleted=deleted,
            )
        )
        self.wake()
        return self.revision
