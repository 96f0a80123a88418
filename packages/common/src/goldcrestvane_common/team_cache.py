"""Cache of the team settings in force in this process."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import final

import msgspec

from goldcrestvane_common.ids import TeamId, Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import StoredObject
from goldcrestvane_common.settings import SETTINGS_PREFIX, TeamDocument, TeamSettings

MAX_DECODED_TEAMS = 256

logger = get_logger("settings")


@final
@dataclass(frozen=True, kw_only=True)
class ActiveTeamSettings:
    """A team's settings, None for a removed team, and their version."""

    settings: TeamSettings | None
    version: Version


@final
class TeamCache:
    """Holds the last valid settings of each team.

    The cache refers to the encoded objects of all teams, which the control replica
    holds anyway. It keeps decoded settings, which take several times the memory, only
    for the most recently used teams.
    """

    def __init__(self) -> None:
        self._stored: dict[TeamId, StoredObject] = {}
        self._decoded: OrderedDict[TeamId, ActiveTeamSettings] = OrderedDict()

    def get(self, team: TeamId) -> ActiveTeamSettings | None:
        """Returns the settings in force, or None for an unknown team."""
        found = self._decoded.get(team)
        if found is not None:
            self._decoded.move_to_end(team)
            return found
        stored = self._stored.get(team)
        if stored is None:
            return None
        found = _decode(stored)
        self._decoded[team] = found
        if len(self._decoded) > MAX_DECODED_TEAMS:
            self._decoded.popitem(last=False)
        return found

    def get_team_versions(self) -> dict[TeamId, Version]:
        """Returns the version in force of each team, removed ones included."""
        return {team: stored.version for team, stored in self._stored.items()}

    def update(self, stored: StoredObject) -> None:
        """Puts an object's settings in force; ignores objects without settings."""
        if not stored.key.startswith(SETTINGS_PREFIX):
            return
        team = TeamId(stored.key.removeprefix(SETTINGS_PREFIX))
        try:
            _decode(stored)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self._log_undecodable(team, stored.version, error)
            return
        self._stored[team] = stored
        self._decoded.pop(team, None)

    def _log_undecodable(
        self, team: TeamId, version: Version, error: Exception
    ) -> None:
        previous = self._stored.get(team)
        logger.error(
            "settings of team %s at version %s cannot be decoded (%s); %s; "
            "apply valid settings with goldcrestvane settings apply %s, "
            "or update this process",
            team,
            version,
            error,
            f"version {previous.version} stays in force"
            if previous
            else "none in force",
            team,
        )


def _decode(stored: StoredObject) -> ActiveTeamSettings:
    if stored.deleted:
        return ActiveTeamSettings(settings=None, version=stored.version)
    document = stored.decode(TeamDocument)
    return ActiveTeamSettings(settings=document.settings, version=stored.version)
