"""``goldcrestvane program show``: the state of one program."""

import msgspec

from goldcrestvane_client.context import Command, CommandContext
from goldcrestvane_client.output import CommandResult, Table
from goldcrestvane_client.processes import list_instances
from goldcrestvane_common.errors import Unavailable
from goldcrestvane_common.ids import ProgramId, TeamId
from goldcrestvane_common.messages import (
    InstanceState,
    Role,
)
from goldcrestvane_common.paths import (
    PROGRAM_SHOW_PATH,
)
from goldcrestvane_common.programs import (
    ProgramShowRequest,
    ProgramView,
)
from goldcrestvane_common.transport import TransportError


async def show_program(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Shows a program; the first entry that responds queries the program's owner."""
    query = ProgramShowRequest(
        team=TeamId(arguments[0]), program=ProgramId(arguments[1])
    )
    view = await _query_entries(context, query)
    return CommandResult(value=view, tables=[_build_table(view)])


async def _query_entries(
    context: CommandContext, query: ProgramShowRequest
) -> ProgramView:
    for instance in await list_instances(context):
        if instance.role is not Role.ENTRY or instance.state is InstanceState.LEAVING:
            continue
        try:
            response = await context.transport.send(
                "POST", instance.address, PROGRAM_SHOW_PATH, value=query
            )
            return response.decode(ProgramView)
        except TransportError as error:
            context.print_note(f"entry {instance.instance} does not answer: {error}")
    raise Unavailable("No live entry answered; see goldcrestvane status.")


def _build_table(view: ProgramView) -> Table:
    fields = msgspec.to_builtins(view)
    rows = [
        (name.replace("_", " "), msgspec.json.encode(value).decode())
        for name, value in fields.items()
    ]
    return Table(columns=("FIELD", "VALUE"), rows=rows)


COMMANDS = (
    Command(
        usage="program show TEAM PROGRAM",
        summary="Shows the state, budget and owner of a program.",
        run=show_program,
    ),
)
