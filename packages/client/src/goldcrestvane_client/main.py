"""Entry point of ``goldcrestvane``, the operators' program."""

import os
import sys
from collections.abc import Mapping, Sequence
from typing import NoReturn, TextIO

import trio

from goldcrestvane_client import (
    audit_commands,
    edit_commands,
    program_commands,
    settings_commands,
    status_commands,
)
from goldcrestvane_client.context import Command, CommandContext
from goldcrestvane_client.exit_codes import (
    EXIT_CODE_HINTS,
    ExitCode,
    UsageError,
    get_exit_code,
)
from goldcrestvane_client.options import build_flags, parse_command_line
from goldcrestvane_client.output import print_result
from goldcrestvane_common.transport import Transport

COMMANDS: dict[tuple[str, ...], Command] = {
    command.name: command
    for group in (
        settings_commands,
        edit_commands,
        program_commands,
        audit_commands,
        status_commands,
    )
    for command in group.COMMANDS
}


async def execute(
    arguments: Sequence[str],
    environment: Mapping[str, str],
    *,
    stdout: TextIO,
    stderr: TextIO,
) -> ExitCode:
    """Runs one command line and returns its exit code.

    Args:
        arguments: Command line, starting with the program's name.
        environment: Environment variables.
        stdout: Stream for the result.
        stderr: Stream for errors and notes.
    """
    try:
        await _execute(arguments, environment, stdout, stderr)
    except Exception as error:
        code = get_exit_code(error)
        message = f"goldcrestvane: {error}"
        print(" ".join(filter(None, (message, EXIT_CODE_HINTS.get(code)))), file=stderr)
        return code
    return ExitCode.OK


async def _execute(
    arguments: Sequence[str],
    environment: Mapping[str, str],
    stdout: TextIO,
    stderr: TextIO,
) -> None:
    line = parse_command_line(arguments, environment)
    if line.options.help:
        print(build_help(), file=stdout)
        return
    command = find_command(line.positional_arguments)
    command_arguments = line.positional_arguments[len(command.name) :]
    command.check_arguments(command_arguments)
    async with Transport(peer_token=line.options.peer_token) as transport:
        context = CommandContext(
            options=line.options,
            transport=transport,
            stderr=stderr,
        )
        result = await command.run(context, command_arguments)
    print_result(result, line.options.output, stdout)


def find_command(words: Sequence[str]) -> Command:
    """Returns the command that the first words name.

    Raises:
        UsageError: The words name no command.
    """
    for length in (2, 1):
        command = COMMANDS.get(tuple(words[:length]))
        if command is not None:
            return command
    raise UsageError(
        f"Got {' '.join(words[:2]) or 'no command'}, expected a command; see "
        "goldcrestvane --help."
    )


def build_help() -> str:
    """Returns the commands and flags as text."""
    usages = {command.usage: command.summary for command in COMMANDS.values()}
    width = max(len(usage) for usage in usages)
    lines = ["goldcrestvane COMMAND [FLAGS]", ""]
    lines += [f"  {usage:{width}}  {text}" for usage, text in usages.items()]
    return "\n".join([*lines, build_flags().get_help()])


def main(arguments: Sequence[str], environment: Mapping[str, str]) -> ExitCode:
    """Runs one command line with the standard streams."""

    async def call() -> ExitCode:
        return await execute(
            arguments, environment, stdout=sys.stdout, stderr=sys.stderr
        )

    return trio.run(call)


def run() -> NoReturn:
    """Runs the program and exits."""
    sys.exit(main(sys.argv, os.environ).value)


if __name__ == "__main__":
    run()
