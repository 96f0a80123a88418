"""The shard map: where entries find the owner of each shard.

The map is for routing only. The journal's head decides who owns a shard, so an entry
of the map is replaced only by one of a higher epoch.
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
    """Returns a map in which each shard has its entry of the highest epoch."""
    merged = list(current.shards) + [None] * (shard_count - len(current.shards))
    for shard, owner in owners.items():
        known = merged[shard]
        if known is None or known.epoch < owner.epoch:
            merged[shard] = owner
    return ShardMap(merged)


@final
class ShardMapWriter:
    """Publishes owners in the shard map."""

    def __init__(self, objects: ObjectClient, *, shard_count: int) -> None:
        self._objects = objects
        self._shard_count = shard_count

    async def publish(self, owners: Mapping[ShardId, ShardOwner]) -> None:
        """Writes entries of shards that were taken over.

        Raises:
            ObjectStoreUnavailable: The platform does not answer, or other instances
                write all the time; publish again later.
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
            "The shard map changes all the time; publish later."
        )
