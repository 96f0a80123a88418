"""A team's subtree as stored, with its audit records."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import final

import msgspec

from goldcrestvane_common.ids import TeamId, Version
from goldcrestvane_common.objects import ObjectClient, StoredObject
from goldcrestvane_common.settings import (
    SETTINGS_PREFIX,
    AuditRecord,
    TeamSettings,
    build_settings_key,
)
from goldcrestvane_common.settings_tree.audit import (
    AUDIT_PREFIX,
    AuditTrail,
    decode_archives,
    read_archived_records,
)

NO_VERSION = Version(0)


@final
class SettingsUnreadable(Exception):
    """The stored settings cannot be decoded."""


@final
class StoredDocument(msgspec.Struct, frozen=True):
    """A `TeamDocument` with undecoded settings, which may be unreadable."""

    settings: msgspec.Raw
    audit: list[AuditRecord] = []
    audit_start: int = 0


@final
@dataclass(frozen=True, kw_only=True)
class TeamState:
    """A team's subtree as stored.

    Attributes:
        version: Version of the object; 0 if it does not exist.
        settings: Settings in force; None for an unknown or removed team, or if the
            settings are unreadable.
        readable: Whether the stored settings can be decoded.
        trail: Audit records in the document.
    """

    version: Version = NO_VERSION
    settings: TeamSettings | None = None
    readable: bool = True
    trail: AuditTrail = field(default_factory=lambda: AuditTrail(0, []))


async def read_team_state(objects: ObjectClient, team: TeamId) -> TeamState:
    """Returns a team's subtree.

    Raises:
        ObjectStoreUnavailable: The object API does not respond.
        SettingsUnreadable: The object is not a team document.
    """
    stored = await objects.read(build_settings_key(team))
    return TeamState() if stored is None else decode_state(stored)


def decode_state(stored: StoredObject) -> TeamState:
    """Returns the state that a stored object describes.

    Raises:
        SettingsUnreadable: The object is not a team document.
    """
    try:
        document = stored.decode(StoredDocument)
    except msgspec.DecodeError as error:
        raise SettingsUnreadable(
            f"Object {stored.key} at version {stored.version} is not a team document: "
            f"{error}. Restore it with the object API, or update this program."
        ) from error
    settings, readable = _decode_settings(document.settings)
    return TeamState(
        version=stored.version,
        settings=settings,
        readable=readable,
        trail=AuditTrail(document.audit_start, document.audit),
    )


def _decode_settings(raw: msgspec.Raw) -> tuple[TeamSettings | None, bool]:
    try:
        return msgspec.json.decode(raw, type=TeamSettings | None), True
    except msgspec.DecodeError:
        return None, False


def check_readable(team: TeamId, state: TeamState) -> None:
    """Raises `SettingsUnreadable` if a team's settings cannot be decoded."""
    if not state.readable:
        raise SettingsUnreadable(
            f"The settings of team {team} at version {state.version} cannot be "
            f"decoded; apply valid ones with: goldcrestvane settings apply {team} FILE"
        )


async def read_audit_records(objects: ObjectClient, team: TeamId) -> list[AuditRecord]:
    """Returns all audit records of a team, oldest first.

    The errors are those of `read_team_state`.
    """
    state = await read_team_state(objects, team)
    archived = await read_archived_records(objects, team, before=state.trail.start)
    return archived + state.trail.records


async def read_all_audit_records(
    objects: ObjectClient,
) -> dict[TeamId, list[AuditRecord]]:
    """Returns the audit records of every team, oldest first.

    Documents are listed before archives, so that a record that is archived between
    the two requests is still found. The errors are those of `read_team_state`.
    """
    documents = await objects.list(SETTINGS_PREFIX)
    archives = defaultdict(list)
    for stored in (await objects.list(AUDIT_PREFIX)).objects:
        archives[stored.key.split("/")[1]].append(stored)
    records_by_team = {}
    for stored in documents.objects:
        team = TeamId(stored.key.removeprefix(SETTINGS_PREFIX))
        trail = decode_state(stored).trail
        earlier = decode_archives(archives[team], before=trail.start)
        records_by_team[team] = earlier + trail.records
    return records_by_team
