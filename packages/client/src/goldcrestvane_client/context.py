"""What every command works with."""

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
    """Options, HTTP client and the stream for stderr.

    Attributes:
        options: Checked options.
        transport: HTTP client.
        stderr: Stream for remarks beside the result.
    """

    options: Options
    transport: Transport
    stderr: TextIO

    @property
    def objects(self) -> ObjectClient:
        """Client of the object API; `UsageError` when it has no address."""
        if not self.options.platform:
            raise UsageError(
                "The object API's address is missing; give --platform=HOST:PORT or "
                "set GOLDCRESTVANE_PLATFORM."
            )
        return ObjectClient(self.transport, self.options.platform)

    def print_note(self, text: str) -> None:
        """Writes a remark that is no part of the result."""
        print(f"goldcrestvane: {text}", file=self.stderr)

    def build_change_request(
        self, action: str, *, replaces_all: bool = False
    ) -> ChangeRequest:
        """Returns the order of a change by the present operator.

        Raises:
            UsageError: No operator is named.
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
        usage: Words of the command line, arguments in upper case, optional ones in
            square brackets.
        summary: One line of help.
        run: Carries the command out with its arguments.
    """

    usage: str
    summary: str
    run: Callable[[CommandContext, list[str]], Awaitable[CommandResult]]

    @property
    def name(self) -> tuple[str, ...]:
        """The words that select this command."""
        return tuple(word for word in self.usage.split() if word.islower())

    def check_arguments(self, arguments: list[str]) -> None:
        """Checks the number of arguments; raises `UsageError`."""
        words = self.usage.split()[len(self.name) :]
        required = [word for word in words if not word.startswith("[")]
        if len(required) <= len(arguments) <= len(words):
            return
        raise UsageError(
            f"Got {len(arguments)} arguments, expected: goldcrestvane {self.usage}"
        )
