"""Commands that edit a single path in a team's settings."""

from goldcrestvane_client.changes import apply_change
from goldcrestvane_client.context import Command, CommandContext
from goldcrestvane_client.output import CommandResult
from goldcrestvane_common.ids import TeamId
from goldcrestvane_common.settings_tree.edit import parse_value, remove_path, set_path
from goldcrestvane_common.settings_tree.paths import format_path


async def set_value(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Sets one path."""
    team, path, text = arguments
    return await _set(context, team, path, text, action="set")


async def unset_value(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Removes one path, so that its default applies."""
    team, path = arguments
    return await apply_change(
        context, TeamId(team), lambda old: remove_path(old, path), action="unset"
    )


async def set_team_field(
    context: CommandContext, arguments: list[str]
) -> CommandResult:
    """Sets a field of a team."""
    team, field, text = arguments
    return await _set(context, team, field, text, action="team set")


async def set_program_field(
    context: CommandContext, arguments: list[str]
) -> CommandResult:
    """Sets a field of a kind of program."""
    team, kind, field, text = arguments
    path = f"{format_path(('programs', kind))}.{field}"
    return await _set(context, team, path, text, action="program set")


async def set_service_field(
    context: CommandContext, arguments: list[str]
) -> CommandResult:
    """Sets a field of a service."""
    team, service, field, text = arguments
    path = f"{format_path(('services', service))}.{field}"
    return await _set(context, team, path, text, action="service set")


async def set_priority(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Sets the priority of a kind of program."""
    team, kind, priority = arguments
    path = format_path(("programs", kind, "priority"))
    return await _set(context, team, path, priority, action="priority set")


async def set_budget(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Sets one limit in the budget of a kind of program."""
    team, kind, limit, text = arguments
    path = format_path(("programs", kind, "budget", limit))
    return await _set(context, team, path, text, action="budget set")


async def _set(
    context: CommandContext, team: str, path: str, text: str, *, action: str
) -> CommandResult:
    value = parse_value(text)
    return await apply_change(
        context, TeamId(team), lambda old: set_path(old, path, value), action=action
    )


COMMANDS = (
    Command(
        usage="set TEAM PATH VALUE",
        summary="Sets one path, such as programs.fitting.priority.",
        run=set_value,
    ),
    Command(
        usage="unset TEAM PATH",
        summary="Removes one path, so that its default applies.",
        run=unset_value,
    ),
    Command(
        usage="team set TEAM FIELD VALUE",
        summary="Sets a field of the team, such as cache_weight or budget.tokens.",
        run=set_team_field,
    ),
    Command(
        usage="program set TEAM KIND FIELD VALUE",
        summary="Sets a field of a kind of program, such as history.",
        run=set_program_field,
    ),
    Command(
        usage="service set TEAM SERVICE FIELD VALUE",
        summary="Sets a field of a service, such as slots.",
        run=set_service_field,
    ),
    Command(
        usage="priority set TEAM KIND PRIORITY",
        summary="Sets the priority of a kind of program.",
        run=set_priority,
    ),
    Command(
        usage="budget set TEAM KIND LIMIT VALUE",
        summary="Sets a limit (tokens, calls, seconds, depth); null for none.",
        run=set_budget,
    ),
)
