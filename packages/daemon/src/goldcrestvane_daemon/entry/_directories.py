"""What an entry asks of the parts that follow settings and shards."""

from typing import Protocol

from goldcrestvane_common.ids import ShardId, TeamId
from goldcrestvane_common.messages import (
    ShardOwner,
)
from goldcrestvane_common.settings import TeamSettings


class TeamDirectory(Protocol):
    """The settings in force."""

    def get_team(self, team: TeamId) -> TeamSettings | None:
        """Returns a team's settings, or None for an unknown team."""
        ...


class OwnerDirectory(Protocol):
    """The shard map as this process knows it."""

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        ...

    def find_owner(self, shard: ShardId) -> ShardOwner | None:
        """Returns a shard's owner, or None while it has none."""
        ...

    async def refresh(self) -> None:
        """Reads the shard map again.

        It returns without an error when the platform is down, and calls made at the
        same time may share one read.
        """
        ...
