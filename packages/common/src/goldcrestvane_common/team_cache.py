"""Decoded settings of the teams, as they are in force in this process."""

from dataclasses import dataclass
from typing import final

import msgspec

from goldcrestvane_common.ids import TeamId, Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import StoredObject
from goldcrestvane_common.settings import SETTINGS_PREFIX, TeamDocument, TeamSettings

logger = get_logger("settings")


@final
@dataclass(frozen=True, kw_only=True)
class TeamInForce:
    """A team's settings and the version they came with; None for a removed team."""

    settings: TeamSettings | None
    version: Version


@final
class TeamCache:
    """Keeps the last settings of each team that could be decoded."""

    def __init__(self) -> None:
        self._teams: dict[TeamId, TeamInForce] = {}

    def get(self, team: TeamId) -> TeamInForce | None:
        """Returns what is in force for a team, or None for an unknown team."""
        return self._teams.get(team)

    def get_versions(self) -> dict[TeamId, Version]:
        """Returns the version in force of each team, removed ones included."""
        return {team: entry.version for team, entry in self._teams.items()}

    def update(self, stored: StoredObject) -> None:
        """Puts an object's settings in force; other objects are passed over."""
        if not stored.key.startswith(SETTINGS_PREFIX):
            return
        team = TeamId(stored.key.removeprefix(SETTINGS_PREFIX))
        if stored.deleted:
            self._teams[team] = TeamInForce(settings=None, version=stored.version)
            return
        try:
            document = stored.decode(TeamDocument)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self._log_fault(team, stored.version, error)
            return
        self._teams[team] = TeamInForce(
            settings=document.settings, version=stored.version
        )

    def _log_fault(self, team: TeamId, version: Version, error: Exception) -> None:
        former = self._teams.get(team)
        logger.error(
            "settings of team %s at version %s do not decode (%s); %s; "
            "apply valid settings with goldcrestvane settings apply %s, "
            "or update this process",
            team,
            version,
            error,
            f"version {former.version} stays in force" if former else "none in force",
            team,
        )
