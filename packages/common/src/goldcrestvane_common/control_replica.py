"""The local copy of the control objects that every process holds.

An object is only replaced by a higher version with the same key, so that old data (a
replayed watch, a stale server, a slow peer) never reverts a change.
"""

from collections.abc import Iterable, Sequence
from typing import final

import msgspec

from goldcrestvane_common.ids import Version, hash_text
from goldcrestvane_common.objects import ObjectList, StoredObject

CONTROL_PREFIX = "control/"
BUCKET_COUNT = 256
"""Number of buckets that peers compare; must be equal in all processes."""


@final
class ControlReplica:
    """Objects below `CONTROL_PREFIX` by key, with digests for comparing two copies.

    A deleted object remains as a tombstone with the version of its deletion.
    """

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._bucket_hashes = [0] * BUCKET_COUNT
        self._bucket_keys: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]

    def get(self, key: str) -> StoredObject | None:
        """Returns an object or its tombstone, or None if the key is unknown."""
        return self._objects.get(key)

    def merge(self, objects: Iterable[StoredObject]) -> list[StoredObject]:
        """Stores the objects that are newer than the local ones, and returns those."""
        return [
            self._objects[stored.key] for stored in objects if self._replace(stored)
        ]

    def merge_snapshot(self, snapshot: ObjectList) -> list[StoredObject]:
        """Merges a complete list and returns the changes, including deletions.

        An object missing from the list was deleted at or before the list's revision,
        unless its local version is higher than that revision.
        """
        present = {stored.key for stored in snapshot.objects}
        missing = [
            StoredObject(key=key, version=snapshot.revision, deleted=True)
            for key, current in self._objects.items()
            if key not in present and not current.deleted
        ]
        return self.merge([*snapshot.objects, *missing])

    def list_since(self, since: Version) -> list[StoredObject]:
        """Returns the objects and tombstones with versions above `since`."""
        return [
            current for current in self._objects.values() if current.version > since
        ]

    def list_buckets(self, buckets: Sequence[int]) -> list[StoredObject]:
        """Returns the objects and tombstones in some buckets."""
        return [
            self._objects[key]
            for bucket in buckets
            for key in self._bucket_keys[bucket]
        ]

    @property
    def bucket_digests(self) -> list[str]:
        """One digest per bucket; equal if both copies hold the same versions."""
        return [f"{value:016x}" for value in self._bucket_hashes]

    @property
    def digest(self) -> str:
        """Digest of the complete copy."""
        return f"{hash_text(''.join(self.bucket_digests)):016x}"

    def _replace(self, stored: StoredObject) -> bool:
        current = self._objects.get(stored.key)
        if not stored.key.startswith(CONTROL_PREFIX):
            return False
        if stored.version <= (current.version if current else 0):
            return False
        self._objects[stored.key] = _detach_value(stored)
        bucket = _find_bucket(stored.key)
        self._bucket_keys[bucket].add(stored.key)
        self._bucket_hashes[bucket] ^= _hash_version(stored)
        if current is not None:
            self._bucket_hashes[bucket] ^= _hash_version(current)
        return True


def _detach_value(stored: StoredObject) -> StoredObject:
    """Copies the value, which would otherwise keep the received message in memory."""
    return msgspec.structs.replace(stored, value=stored.value.copy())


def _find_bucket(key: str) -> int:
    return hash_text(key) % BUCKET_COUNT


def _hash_version(stored: StoredObject) -> int:
    return hash_text(f"{stored.key}\n{stored.version}")
