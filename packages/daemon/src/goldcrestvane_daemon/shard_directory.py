"""Access to the shard map in the control feed."""

from typing import final

import msgspec

from goldcrestvane_common.feed import ControlFeed
from goldcrestvane_common.ids import ShardId, Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    ShardMap,
    ShardOwner,
)
from goldcrestvane_common.paths import (
    SHARD_MAP_KEY,
)

logger = get_logger("shards")


@final
class ShardDirectory:
    """Finds the owners of shards.

    Attributes:
        shard_count: Number of shards.
    """

    def __init__(self, feed: ControlFeed, *, shard_count: int) -> None:
        self._feed = feed
        self._version = Version(0)
        self._map = ShardMap([])
        self.shard_count = shard_count

    def get_map(self) -> ShardMap:
        """Returns the newest map that can be decoded."""
        stored = self._feed.get_object(SHARD_MAP_KEY)
        if stored is None or stored.version == self._version:
            return self._map
        self._version = stored.version
        try:
            self._map = stored.decode(ShardMap)
        except msgspec.DecodeError as error:
            logger.error(
                "cannot decode the shard map; keeping the previous one: %s", error
            )
        return self._map

    def find_owner(self, shard: ShardId) -> ShardOwner | None:
        """Returns a shard's owner, or None while it has none."""
        shards = self.get_map().shards
        return shards[shard] if shard < len(shards) else None

    async def refresh(self) -> None:
        """Waits for the next change of the control objects."""
        await self._feed.wait_for_change(self._feed.change_count)
