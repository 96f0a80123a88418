"""The context in which commands run."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TextIO, final

from goldcrestvane_client.exit_codes import UsageError
from goldcrestvane_client.options import Options
from goldcrestvane_client.output import CommandResult
from goldcrestvane_common.objects import ObjectClient
from goldcrestvane_common.settings_tree.update import ChangeRequest
from goldcrestvane_common.transport import Transport


@final
@dataclass(frozen=True, kw_only=True)
class CommandContext:
    """Options, HTTP client and error stream of a command.

    Attributes:
        options: Validated options.
        transport: HTTP client.
        stderr: Stream for notes that are not part of the result.
    """

    options: Options
    transport: Transport
    stderr: TextIO

    @property
    def objects(self) -> ObjectClient:
        """Client of the object API.

        Raises:
            UsageError: The options contain no address of the object API.
        """
        if not self.options.platform:
            raise UsageError(
                "The object API's address is missing; give --platform=HOST:PORT or "
                "set GOLDCRESTVANE_PLATFORM."
            )
        return ObjectClient(self.transport, self.options.platform)

    def print_note(self, text: str) -> None:
        """Prints a note that is not part of the result."""
        print(f"goldcrestvane: {text}", file=self.stderr)

    def build_change_request(
        self, action: str, *, replaces_all: bool = False
    ) -> ChangeRequest:
        """Returns the request for a change by the given operator.

        Raises:
            UsageError: The options name no operator.
        """
        if not self.options.operator:
            raise UsageError(
                "The operator is missing; give --operator=NAME or set "
                "GOLDCRESTVANE_OPERATOR, for the audit record."
            )
        return ChangeRequest(
            operator=self.options.operator,
            action=action,
            reason=self.options.reason,
            expected_version=self.options.expected_version,
            replaces_all=replaces_all,
        )


@final
@dataclass(frozen=True, kw_only=True)
class Command:
    """One subcommand.

    Attributes:
        usage: Words of the command line, with arguments in upper case and optional
            arguments in square brackets.
        summary: One line of help.
        run: Runs the command with its arguments.
    """

    usage: str
    summary: str
    run: Callable[[CommandContext, list[str]], Awaitable[CommandResult]]

    @property
    def name(self) -> tuple[str, ...]:
        """The words that select this command."""
        return tuple(word for word in self.usage.split() if word.islower())

    def check_arguments(self, arguments: list[str]) -> None:
        """Raises `UsageError` if the number of arguments is wrong."""
        words = self.usage.split()[len(self.name) :]
        required = [word for word in words if not word.startswith("[")]
        if len(required) <= len(arguments) <= len(words):
            return
        raise UsageError(
            f"Got {len(arguments)} arguments, expected: goldcrestvane {self.usage}"
        )
