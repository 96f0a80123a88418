"""Index of the shard map by owner, so reconciliation does not scan all shards."""

from typing import final

from goldcrestvane_common.ids import InstanceId, ShardId
from goldcrestvane_common.messages import (
    ShardMap,
)


@final
class ShardIndex:
    """Index of one version of the shard map.

    Attributes:
        shard_map: The indexed map.
        by_owner: Shards of each owner.
        unowned: Shards without an owner.
    """

    def __init__(self, shard_map: ShardMap, *, shard_count: int) -> None:
        self.shard_map = shard_map
        self.by_owner: dict[InstanceId, list[ShardId]] = {}
        self.unowned: list[ShardId] = []
        for shard in map(ShardId, range(shard_count)):
            known = shard < len(shard_map.shards)
            entry = shard_map.shards[shard] if known else None
            if entry is None:
                self.unowned.append(shard)
            else:
                self.by_owner.setdefault(entry.owner, []).append(shard)
