"""Exit codes, and the exit code of each error."""

from enum import Enum
from functools import singledispatch
from typing import final

from goldcrestvane_common.errors import (
    DeadlineExceeded,
    NotFound,
    Overloaded,
    Unavailable,
    VersionConflict,
)
from goldcrestvane_common.objects import ObjectStoreUnavailable
from goldcrestvane_common.settings_tree.paths import PathInvalid
from goldcrestvane_common.settings_tree.state import SettingsUnreadable
from goldcrestvane_common.settings_tree.validation import SettingsInvalid
from goldcrestvane_common.transport import TransportError


class ExitCode(Enum):
    """Exit code of the program."""

    OK = 0
    FAILURE = 1
    """The command failed; the message states the outcome."""
    USAGE = 2
    """The command line is not valid; nothing was sent."""
    CONFLICT = 3
    """Another operator changed the settings; nothing was written."""
    NOT_FOUND = 4
    UNAVAILABLE = 5
    """The platform or the processes do not respond; nothing was written."""
    INVALID_SETTINGS = 6
    """The settings have faults; nothing was written."""


@final
class UsageError(Exception):
    """The command line is not valid."""


@singledispatch
def get_exit_code(error: Exception) -> ExitCode:
    """Returns the exit code of an error."""
    return ExitCode.FAILURE


@get_exit_code.register(UsageError)
@get_exit_code.register(PathInvalid)
def _(error: Exception) -> ExitCode:
    return ExitCode.USAGE


@get_exit_code.register
def _(error: VersionConflict) -> ExitCode:
    return ExitCode.CONFLICT


@get_exit_code.register
def _(error: NotFound) -> ExitCode:
    return ExitCode.NOT_FOUND


@get_exit_code.register(ObjectStoreUnavailable)
@get_exit_code.register(TransportError)
@get_exit_code.register(Unavailable)
@get_exit_code.register(Overloaded)
@get_exit_code.register(DeadlineExceeded)
def _(error: Exception) -> ExitCode:
    return ExitCode.UNAVAILABLE


@get_exit_code.register(SettingsInvalid)
@get_exit_code.register(SettingsUnreadable)
def _(error: Exception) -> ExitCode:
    return ExitCode.INVALID_SETTINGS


EXIT_CODE_HINTS = {
    ExitCode.UNAVAILABLE: "Check --platform and --instances, and try again later.",
}
"""Hints added to the messages of errors that do not mention the command line."""
