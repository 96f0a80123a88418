"""``goldcrestvane settings``: commands for a team's complete subtree."""

from datetime import UTC, datetime
from typing import Any

import msgspec
import trio

from goldcrestvane_client.changes import ChangeSummary, apply_change
from goldcrestvane_client.context import Command, CommandContext
from goldcrestvane_client.exit_codes import UsageError
from goldcrestvane_client.output import CommandResult, Table
from goldcrestvane_common.errors import NotFound
from goldcrestvane_common.ids import TeamId, Version
from goldcrestvane_common.settings import AuditRecord, TeamSettings
from goldcrestvane_common.settings_tree.diff import diff_settings, flatten_settings
from goldcrestvane_common.settings_tree.state import (
    TeamState,
    check_readable,
    read_audit_records,
    read_team_state,
)
from goldcrestvane_common.settings_tree.update import UNREADABLE_LINE
from goldcrestvane_common.settings_tree.validation import (
    SettingsFault,
    SettingsInvalid,
    validate_settings,
)


class TeamSummary(msgspec.Struct, frozen=True):
    """A team's subtree, for the JSON output."""

    team: TeamId
    version: Version
    settings: TeamSettings


async def show_settings(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Shows the settings in force, defaults included."""
    team = TeamId(arguments[0])
    state = await read_team_state(context.objects, team)
    settings = get_settings(team, state)
    return CommandResult(
        value=TeamSummary(team, state.version, settings),
        lines=[f"team {team} is at version {state.version}"],
        tables=[
            Table(
                columns=("PATH", "VALUE"),
                rows=sorted(flatten_settings(settings).items()),
            )
        ],
    )


def get_settings(team: TeamId, state: TeamState) -> TeamSettings:
    """Returns the settings of a stored subtree.

    Raises:
        NotFound: The team is unknown or was removed.
        SettingsUnreadable: The settings cannot be decoded.
    """
    check_readable(team, state)
    if state.settings is None:
        raise NotFound(
            f"Got no settings for team {team}; create them with: goldcrestvane "
            f"settings apply {team} FILE"
        )
    return state.settings


async def diff_file(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Shows the changes that applying a file would make."""
    team = TeamId(arguments[0])
    new = await read_settings_file(arguments[1])
    state = await read_team_state(context.objects, team)
    changes = diff_settings(state.settings, new)
    if not state.readable:
        changes.insert(0, UNREADABLE_LINE)
    summary = ChangeSummary(team=team, version=state.version, changes=changes)
    summary_line = f"based on version {state.version}; {len(changes)} paths differ"
    return CommandResult(value=summary, lines=[*changes, summary_line])


async def apply_file(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Applies the settings from a file."""
    new = await read_settings_file(arguments[1])
    return await apply_change(
        context,
        TeamId(arguments[0]),
        lambda _: new,
        action="settings apply",
        replaces_all=True,
    )


async def remove_settings(
    context: CommandContext, arguments: list[str]
) -> CommandResult:
    """Removes a team's settings and keeps its history."""
    team = TeamId(arguments[0])

    def remove(old: TeamSettings | None) -> None:
        if old is None:
            raise NotFound(
                f"Got no settings for team {team}; check the name with: goldcrestvane "
                "audit"
            )

    return await apply_change(context, team, remove, action="settings remove")


async def show_history(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Shows every accepted change of a team, oldest first."""
    team = TeamId(arguments[0])
    records = await read_audit_records(context.objects, team)
    if not records:
        raise NotFound(f"Got no history for team {team}; check the name.")
    rows = [row for record in records for row in build_history_rows(record)]
    table = Table(columns=HISTORY_COLUMNS, rows=rows)
    return CommandResult(value=records, tables=[table])


HISTORY_COLUMNS = ("TIME", "OPERATOR", "ACTION", "REASON", "CHANGE")


def build_history_rows(record: AuditRecord) -> list[tuple[str, ...]]:
    """Returns one row for each change of a record, under `HISTORY_COLUMNS`."""
    time = datetime.fromtimestamp(record.time, UTC).isoformat(timespec="seconds")
    first, *others = record.changes or [""]
    head = (time, record.operator, record.action, record.reason, first)
    return [head, *(("", "", "", "", change) for change in others)]


async def read_settings_file(name: str) -> TeamSettings:
    """Returns the validated settings from a JSON file.

    Raises:
        UsageError: The file cannot be read.
        SettingsInvalid: The file has faults; the error lists all of them.
    """
    try:
        content = await trio.Path(name).read_bytes()
    except OSError as error:
        raise UsageError(
            f"Cannot read file {name}: {error.strerror}; expected a JSON file with a "
            "team's settings."
        ) from error
    return validate_settings(_decode_json(name, content))


def _decode_json(name: str, content: bytes) -> Any:
    try:
        return msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        fault = SettingsFault(
            path="",
            got=f"{name}: {error}",
            expected="one JSON object",
            remedy="correct the JSON",
        )
        raise SettingsInvalid([fault]) from error


COMMANDS = (
    Command(
        usage="settings show TEAM",
        summary="Shows a team's settings, defaults included.",
        run=show_settings,
    ),
    Command(
        usage="settings diff TEAM FILE",
        summary="Shows what applying a JSON file would change.",
        run=diff_file,
    ),
    Command(
        usage="settings apply TEAM FILE",
        summary="Applies the settings from a JSON file.",
        run=apply_file,
    ),
    Command(
        usage="settings remove TEAM",
        summary="Removes a team; its history stays.",
        run=remove_settings,
    ),
    Command(
        usage="settings history TEAM",
        summary="Shows every accepted change of a team.",
        run=show_history,
    ),
)
