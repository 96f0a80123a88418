"""Command-line options, read from flags and from environment variables.

For example, ``GOLDCRESTVANE_EXPECTED_VERSION`` sets ``--expected-version``. A flag
overrides its variable. Dashes and underscores in flag names are equivalent.
"""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import final

import msgspec
from absl import flags

from goldcrestvane_client.exit_codes import UsageError
from goldcrestvane_common.ids import Version

ENVIRONMENT_PREFIX = "GOLDCRESTVANE_"


class OutputFormat(Enum):
    """Format of the output."""

    TABLE = "table"
    JSON = "json"


@final
class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Validated options; the help of the flags describes each one."""

    platform: str = ""
    instances: str = ""
    peer_token: str = ""
    operator: str = ""
    reason: str = ""
    expected_version: Version | None = None
    output: OutputFormat = OutputFormat.TABLE
    help: bool = False


@final
class CommandLine(msgspec.Struct, frozen=True, kw_only=True):
    """A parsed command line: options and positional arguments."""

    options: Options
    positional_arguments: list[str]


def build_flags() -> flags.FlagValues:
    """Returns the flags of this program, separate from absl's global flags."""
    values = flags.FlagValues()
    defaults = Options()
    flags.DEFINE_string(
        "platform", defaults.platform, "host:port of the object API.", values
    )
    flags.DEFINE_string(
        "instances", defaults.instances, "host:port of the instance list.", values
    )
    flags.DEFINE_string(
        "peer_token",
        "",
        "Secret that the processes share, if they require one.",
        values,
    )
    flags.DEFINE_string(
        "operator", "", "Your name, for the audit record of a change.", values
    )
    flags.DEFINE_string("reason", "", "Reason for the change.", values)
    flags.DEFINE_integer(
        "expected_version",
        None,
        "Version that the change is based on; any other is a conflict.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_enum(
        "output",
        defaults.output.value,
        [output_format.value for output_format in OutputFormat],
        "Format of the output.",
        flag_values=values,
    )
    flags.DEFINE_boolean(
        "help", False, "Shows the commands and flags.", flag_values=values
    )
    values.set_gnu_getopt()
    return values


def parse_command_line(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> CommandLine:
    """Returns the parsed command line.

    Args:
        arguments: Command line, starting with the program's name.
        environment: Environment variables.

    Raises:
        UsageError: A flag is unknown or its value is not valid.
    """
    values = build_flags()
    try:
        positional_arguments = values(_normalize_flag_names(arguments))
        _read_environment(values, environment)
    except flags.Error as error:
        raise UsageError(f"{error} See goldcrestvane --help.") from error
    option_values = {name: getattr(values, name) for name in Options.__struct_fields__}
    for name in filter(option_values.get, ("platform", "instances")):
        _check_address(name, option_values[name])
    return CommandLine(
        options=msgspec.convert(option_values, type=Options),
        positional_arguments=positional_arguments[1:],
    )


def _normalize_flag_names(arguments: Sequence[str]) -> list[str]:
    """Replaces dashes in flag names with underscores, as the flags are defined."""
    normalized = list(arguments)
    for index, argument in enumerate(arguments):
        if argument == "--":
            break
        if argument.startswith("--"):
            name, separator, value = argument.partition("=")
            name = f"--{name[2:].replace('-', '_')}"
            normalized[index] = f"{name}{separator}{value}"
    return normalized


def _read_environment(values: flags.FlagValues, environment: Mapping[str, str]) -> None:
    for name in Options.__struct_fields__:
        value = environment.get(ENVIRONMENT_PREFIX + name.upper())
        if value is not None and not values[name].present:
            values[name].parse(value)


def _check_address(name: str, value: str) -> None:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit():
        raise UsageError(
            f"Got --{name}={value}, expected host:port; correct the flag or the "
            f"variable {ENVIRONMENT_PREFIX}{name.upper()}."
        )
