"""``goldcrestvane audit``: changes of one team or of all teams."""

import msgspec

from goldcrestvane_client.context import Command, CommandContext
from goldcrestvane_client.output import CommandResult, Table
from goldcrestvane_client.settings_commands import HISTORY_COLUMNS, build_history_rows
from goldcrestvane_common.errors import NotFound
from goldcrestvane_common.ids import TeamId
from goldcrestvane_common.settings import AuditRecord
from goldcrestvane_common.settings_tree.state import (
    read_all_audit_records,
    read_audit_records,
)


class TeamRecord(msgspec.Struct, frozen=True):
    """One audit record and its team, for the JSON output."""

    team: TeamId
    record: AuditRecord


async def show_audit(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Shows the accepted changes of one team or of all teams, sorted by time."""
    team_records = await _read_records(context, arguments)
    if not team_records:
        raise NotFound("Got no audit records; check the team's name and --platform.")
    team_records.sort(key=lambda entry: entry.record.time)
    rows = [
        (entry.team if row[0] else "", *row)
        for entry in team_records
        for row in build_history_rows(entry.record)
    ]
    table = Table(columns=("TEAM", *HISTORY_COLUMNS), rows=rows)
    return CommandResult(value=team_records, tables=[table])


async def _read_records(
    context: CommandContext, arguments: list[str]
) -> list[TeamRecord]:
    if arguments:
        team = TeamId(arguments[0])
        records_by_team = {team: await read_audit_records(context.objects, team)}
    else:
        records_by_team = await read_all_audit_records(context.objects)
    return [
        TeamRecord(team, record)
        for team, records in records_by_team.items()
        for record in records
    ]


COMMANDS = (
    Command(
        usage="audit [TEAM]",
        summary="Shows the accepted changes of one team or of all teams.",
        run=show_audit,
    ),
)
