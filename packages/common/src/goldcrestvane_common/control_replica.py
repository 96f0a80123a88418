"""The copy of the control objects that every process holds.

A version only ever replaces a lower one of the same key, so that old data (a replayed
watch, a stale server, a slow peer) never reverts a change.
"""

from collections.abc import Iterable, Sequence
from typing import final

import msgspec

from goldcrestvane_common.ids import Version, hash_text
from goldcrestvane_common.objects import ObjectList, StoredObject

CONTROL_PREFIX = "control/"
BUCKET_COUNT = 256
"""Parts of the copy that peers compare; all processes must use the same number."""


@final
class ControlReplica:
    """Objects below `CONTROL_PREFIX` by key, with digests to compare two copies.

    A deleted object stays as a tombstone with the version of its deletion.
    """

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._bucket_hashes = [0] * BUCKET_COUNT
        self._bucket_keys: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]

    def get(self, key: str) -> StoredObject | None:
        """Returns an object or its tombstone, or None when the key is unknown."""
        return self._objects.get(key)

    def merge(self, objects: Iterable[StoredObject]) -> list[StoredObject]:
        """Takes in the objects newer than the held ones; returns them as held now."""
        return [
            self._objects[stored.key] for stored in objects if self._replace(stored)
        ]

    def merge_snapshot(self, listed: ObjectList) -> list[StoredObject]:
        """Takes in a whole list and returns the changes, deletions included.

        An object that the list lacks was deleted at or before the list's revision,
        unless its held version is above that revision.
        """
        present = {stored.key for stored in listed.objects}
        missing = [
            StoredObject(key=key, version=listed.revision, deleted=True)
            for key, held in self._objects.items()
            if key not in present and not held.deleted
        ]
        return self.merge([*listed.objects, *missing])

    def list_since(self, since: Version) -> list[StoredObject]:
        """Returns the objects and tombstones with versions above `since`."""
        return [held for held in self._objects.values() if held.version > since]

    def list_buckets(self, buckets: Sequence[int]) -> list[StoredObject]:
        """Returns the objects and tombstones in some buckets."""
        return [
            self._objects[key]
            for bucket in buckets
            for key in self._bucket_keys[bucket]
        ]

    @property
    def bucket_digests(self) -> list[str]:
        """One digest a bucket; equal when both copies hold the same versions."""
        return [f"{value:016x}" for value in self._bucket_hashes]

    @property
    def digest(self) -> str:
        """Digest of the whole copy."""
        return f"{hash_text(''.join(self.bucket_digests)):016x}"

    def _replace(self, stored: StoredObject) -> bool:
        held = self._objects.get(stored.key)
        if not stored.key.startswith(CONTROL_PREFIX):
            return False
        if stored.version <= (held.version if held else 0):
            return False
        self._objects[stored.key] = _detach_value(stored)
        bucket = _find_bucket(stored.key)
        self._bucket_keys[bucket].add(stored.key)
        self._bucket_hashes[bucket] ^= _hash_version(stored)
        if held is not None:
            self._bucket_hashes[bucket] ^= _hash_version(held)
        return True


def _detach_value(stored: StoredObject) -> StoredObject:
    """Copies the value, which else keeps the whole received message in memory."""
    return msgspec.structs.replace(stored, value=stored.value.copy())


def _find_bucket(key: str) -> int:
    return hash_text(key) % BUCKET_COUNT


def _hash_version(stored: StoredObject) -> int:
    return hash_text(f"{stored.key}\n{stored.version}")
