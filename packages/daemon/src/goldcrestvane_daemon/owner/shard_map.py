"""Shard map, in which entries look up the owner of each shard.

The map is used only for routing. The head of a shard's journal determines its owner, so
an owner in the map is replaced only by an owner with a higher epoch.
"""

from collections.abc import Mapping
from typing import final

from goldcrestvane_common.ids import ShardId, Version
from goldcrestvane_common.messages import (
    ShardMap,
    ShardOwner,
)
from goldcrestvane_common.objects import (
    ObjectClient,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    WriteOutcomeUnknown,
)
from goldcrestvane_common.paths import (
    SHARD_MAP_KEY,
)

MAX_WRITE_ATTEMPTS = 8


def merge_owners(
    current: ShardMap, owners: Mapping[ShardId, ShardOwner], *, shard_count: int
) -> ShardMap:
    """Returns a map that contains the owner with the highest epoch for each shard."""
    merged = list(current.shards) + [None] * (shard_count - len(current.shards))
    for shard, owner in owners.items():
        existing = merged[shard]
        if existing is None or existing.epoch < owner.epoch:
            merged[shard] = owner
    return ShardMap(merged)


@final
class ShardMapWriter:
    """Publishes owners in the shard map."""

    def __init__(self, objects: ObjectClient, *, shard_count: int) -> None:
        self._objects = objects
        self._shard_count = shard_count

    async def publish(self, owners: Mapping[ShardId, ShardOwner]) -> None:
        """Writes the owners of shards that were taken over to the map.

        Raises:
            ObjectStoreUnavailable: The platform does not respond, or every attempt
                conflicted with the write of another instance. Publish again later.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._objects.read(SHARD_MAP_KEY)
            current = stored.decode(ShardMap) if stored else ShardMap([])
            merged = merge_owners(current, owners, shard_count=self._shard_count)
            if merged == current:
                return
            try:
                await self._objects.write(
                    SHARD_MAP_KEY,
                    merged,
                    expected_version=stored.version if stored else Version(0),
                )
                return
            except (ObjectVersionConflict, WriteOutcomeUnknown):
                continue
        raise ObjectStoreUnavailable(
            "The shard map was changed concurrently too often. Publish it later."
        )
