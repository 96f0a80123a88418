"""Changes of a team's settings, as the commands apply and report them."""

import msgspec

from goldcrestvane_client.context import CommandContext
from goldcrestvane_client.output import CommandResult
from goldcrestvane_client.processes import push_change
from goldcrestvane_common.ids import TeamId, Version
from goldcrestvane_common.settings_tree.update import Change, change_team


class ChangeSummary(msgspec.Struct, frozen=True):
    """Result of a change, for the JSON output.

    Attributes:
        team: Team that was changed.
        version: Version in force after the command.
        changes: Lines ``path: old -> new``; empty if the settings already matched.
        pushed: Number of processes that accepted the pushed change.
    """

    team: TeamId
    version: Version
    changes: list[str]
    pushed: int = 0


async def apply_change(
    context: CommandContext,
    team: TeamId,
    change: Change,
    *,
    action: str,
    replaces_all: bool = False,
) -> CommandResult:
    """Changes a team's settings and pushes the change to a few processes.

    The errors are those of `change_team`, and `UsageError` if no operator is given.
    """
    request = context.build_change_request(action, replaces_all=replaces_all)
    result = await change_team(context.objects, team, change, request)
    pushed = 0
    if result.stored is not None:
        pushed = await push_change(context, result.stored)
    summary = ChangeSummary(
        team=team, version=result.version, changes=result.changes, pushed=pushed
    )
    outcome = f"team {team} is at version {result.version}"
    if result.stored is None:
        return CommandResult(value=summary, lines=[f"{outcome}; nothing to change"])
    return CommandResult(value=summary, lines=[*result.changes, outcome])
