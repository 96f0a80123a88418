"""Interfaces through which an entry reads team settings and the shard map."""

from typing import Protocol

from goldcrestvane_common.ids import ShardId, TeamId
from goldcrestvane_common.messages import (
    ShardOwner,
)
from goldcrestvane_common.settings import TeamSettings


class TeamDirectory(Protocol):
    """The teams' current settings."""

    def get_team(self, team: TeamId) -> TeamSettings | None:
        """Returns a team's settings, or None for an unknown team.

        Raises:
            Unavailable: It is not known yet whether the team is declared.
        """
        ...


class OwnerDirectory(Protocol):
    """This process's copy of the shard map."""

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        ...

    def find_owner(self, shard: ShardId) -> ShardOwner | None:
        """Returns a shard's owner, or None while it has none."""
        ...

    async def refresh(self) -> None:
        """Updates the shard map.

        Returns without an error when the platform is unavailable. Concurrent calls
        may share one read.
        """
        ...
