"""Conditional updates of a team's subtree through the object API."""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import VersionConflict
from goldcrestvane_common.ids import TeamId, Version
from goldcrestvane_common.objects import (
    MAX_VALUE_BYTES,
    ObjectClient,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    StoredObject,
    WriteOutcomeUnknown,
)
from goldcrestvane_common.settings import (
    AuditRecord,
    TeamDocument,
    TeamSettings,
    build_settings_key,
)
from goldcrestvane_common.settings_tree.audit import archive_oldest_records
from goldcrestvane_common.settings_tree.diff import diff_settings
from goldcrestvane_common.settings_tree.state import (
    TeamState,
    check_readable,
    decode_state,
    read_audit_records,
    read_team_state,
)
from goldcrestvane_common.settings_tree.validation import (
    SettingsFault,
    SettingsInvalid,
    is_valid_name,
    validate_settings,
)

MAX_WRITE_ATTEMPTS = 10
WRITE_RETRY_SECONDS = 0.3
UNREADABLE_LINE = "settings: (unreadable) -> replaced as a whole"


@final
class ChangeOutcomeUnknown(Exception):
    """The platform failed before the outcome of a change was known."""


@final
@dataclass(frozen=True, kw_only=True)
class ChangeRequest:
    """A requested change: who changes a subtree, why and on which condition.

    Attributes:
        operator: Name of the operator.
        action: Subcommand.
        reason: Free text.
        expected_version: Version on which the operator based the change; None
            accepts the current version.
        replaces_all: Whether the change ignores the current settings, so that it may
            replace unreadable ones.
        change_id: Unique id of the change, stored as the token of the audit record.
    """

    operator: str
    action: str
    reason: str = ""
    expected_version: Version | None = None
    replaces_all: bool = False
    change_id: str = field(default_factory=lambda: uuid.uuid4().hex)


@final
@dataclass(frozen=True, kw_only=True)
class ChangeResult:
    """An accepted change.

    Attributes:
        version: Version of the object that contains the change.
        changes: Lines ``path: old -> new``; empty if the settings already matched.
        stored: The object to push to processes; None if nothing was written.
    """

    version: Version
    changes: list[str]
    stored: StoredObject | None


Change = Callable[[TeamSettings | None], TeamSettings | None]


async def change_team(
    objects: ObjectClient, team: TeamId, change: Change, request: ChangeRequest
) -> ChangeResult:
    """Updates a team's subtree and its audit trail in one conditional write.

    Args:
        objects: Client of the object API.
        team: Team to change.
        change: Computes the new settings from the current ones.
        request: Operator, reason and condition of the change.

    Raises:
        VersionConflict: Another operator changed the subtree; nothing was written.
        SettingsInvalid: The new settings have faults; nothing was written.
        ObjectStoreUnavailable: Nothing was written.
        ChangeOutcomeUnknown: The platform failed before the outcome was known.
        SettingsUnreadable: The stored object cannot be decoded.
        AuditArchiveMismatch: The audit archive contradicts the document.
    """
    _check_team(team)
    state = await read_team_state(objects, team)
    if request.expected_version not in (None, state.version):
        raise _build_conflict(team, request.expected_version, state)
    if not request.replaces_all:
        check_readable(team, state)
    settings = change(state.settings)
    if settings is not None:
        validate_settings(msgspec.to_builtins(settings))
    changes = diff_settings(state.settings, settings)
    if not state.readable:
        changes.insert(0, UNREADABLE_LINE)
    if not changes and (settings is None) == (state.settings is None):
        return ChangeResult(version=state.version, changes=[], stored=None)
    document = await _build_document(objects, team, state, settings, changes, request)
    stored = await _write_document(objects, team, state, document, request.change_id)
    return ChangeResult(version=stored.version, changes=changes, stored=stored)


async def _build_document(
    objects: ObjectClient,
    team: TeamId,
    state: TeamState,
    settings: TeamSettings | None,
    changes: list[str],
    request: ChangeRequest,
) -> TeamDocument:
    record = AuditRecord(
        time=time.time(),
        operator=request.operator,
        action=request.action,
        token=request.change_id,
        reason=request.reason,
        changes=changes,
    )
    try:
        trail = await archive_oldest_records(objects, team, state.trail)
    except WriteOutcomeUnknown as error:
        raise ObjectStoreUnavailable(
            f"The audit archive of team {team} may not have been written, and the "
            f"settings were not changed: {error} Run the command again."
        ) from error
    document = TeamDocument(
        settings=settings, audit=[*trail.records, record], audit_start=trail.start
    )
    _check_size(document)
    return document


def _check_team(team: TeamId) -> None:
    if is_valid_name(team):
        return
    fault = SettingsFault(
        path="team",
        got=repr(team),
        expected="a name of 1 to 64 letters, digits, dots, dashes or underscores",
        remedy="choose a valid name",
    )
    raise SettingsInvalid([fault])


def _check_size(document: TeamDocument) -> None:
    size = len(msgspec.json.encode(document))
    if size <= MAX_VALUE_BYTES:
        return
    fault = SettingsFault(
        path="",
        got=f"{size} bytes with the audit records",
        expected=f"at most {MAX_VALUE_BYTES} bytes",
        remedy="split the team, or apply the settings in smaller steps",
    )
    raise SettingsInvalid([fault])


async def _write_document(
    objects: ObjectClient,
    team: TeamId,
    state: TeamState,
    document: TeamDocument,
    change_id: str,
) -> StoredObject:
    """Writes a document, retrying while the outcome is unknown.

    After a lost response, the object is read back to find out whether the update took
    effect. Sending a conditional update again is safe: it takes effect at most once.
    """
    key = build_settings_key(team)
    outcome_unknown = False
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            found = None
            if outcome_unknown:
                found = await _find_change(objects, team, state, change_id)
            if found is not None:
                return found
            version = await objects.write(key, document, expected_version=state.version)
        except (ObjectVersionConflict, WriteOutcomeUnknown):
            outcome_unknown = True
        except ObjectStoreUnavailable:
            if not outcome_unknown:
                raise
            await trio.sleep(WRITE_RETRY_SECONDS)
        else:
            value = msgspec.Raw(msgspec.json.encode(document))
            return StoredObject(key=key, version=version, value=value)
    raise ChangeOutcomeUnknown(
        f"The platform failed before the outcome of the change of team {team} was "
        f"known; when it responds again, look for token {change_id} with: "
        f"goldcrestvane settings history {team} --output=json"
    )


async def _find_change(
    objects: ObjectClient, team: TeamId, base: TeamState, change_id: str
) -> StoredObject | None:
    """Returns the stored object with this change, or None if nothing has changed.

    Raises:
        VersionConflict: Another change was written instead.
    """
    stored = await objects.read(build_settings_key(team))
    state = TeamState() if stored is None else decode_state(stored)
    if state.version == base.version:
        return None
    records = state.trail.records
    if state.trail.start > base.trail.start:
        records = await read_audit_records(objects, team)
    if any(record.token == change_id for record in records):
        return stored
    raise _build_conflict(team, base.version, state)


def _build_conflict(
    team: TeamId, expected: Version | None, state: TeamState
) -> VersionConflict:
    last = state.trail.records[-1] if state.trail.records else None
    last_change = f", last changed by {last.operator} ({last.action})" if last else ""
    return VersionConflict(
        f"Got version {state.version} of the settings of team {team}{last_change}, "
        f"expected version {expected}; run goldcrestvane settings diff {team} again, "
        f"then apply with --expected-version={state.version}.",
        field="expected_version",
    )
