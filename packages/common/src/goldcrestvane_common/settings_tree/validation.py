"""Validation of a team's settings that reports all faults at once.

The validation walks the undecoded JSON along the types of `TeamSettings`, because a
typed decoder stops at the first fault.
"""

import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import singledispatch
from typing import Any, final

import msgspec
from msgspec import inspect

from goldcrestvane_common.settings import (
    Budget,
    OperationSettings,
    ServiceKind,
    ServiceSettings,
    TeamSettings,
)
from goldcrestvane_common.settings_tree.paths import format_path

NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_SHOWN_CHARACTERS = 80

PathParts = tuple[str, ...]


@final
class SettingsFault(msgspec.Struct, frozen=True, order=True):
    """One fault in a subtree.

    Attributes:
        path: Path of the faulty value; empty for the subtree itself.
        got: The faulty value as JSON, truncated.
        expected: Description of a valid value.
        remedy: How to correct the fault.
    """

    path: str
    got: str
    expected: str
    remedy: str

    def __str__(self) -> str:
        place = self.path or "settings"
        return f"{place}: got {self.got}, expected {self.expected}; {self.remedy}"


@final
class SettingsInvalid(Exception):
    """The settings have faults; nothing was written.

    Attributes:
        faults: All faults, sorted by path.
    """

    def __init__(self, faults: list[SettingsFault]) -> None:
        self.faults = sorted(faults)
        lines = "\n".join(f"  {fault}" for fault in self.faults)
        super().__init__(f"The settings have {len(faults)} faults:\n{lines}")


@final
@dataclass(frozen=True, kw_only=True)
class Rule:
    """A constraint on the value of one field.

    Attributes:
        accepts: Whether a value of the right type meets the constraint.
        expected: Description of a valid value.
        remedy: How to correct a value that is not valid.
    """

    accepts: Callable[[Any], bool]
    expected: str
    remedy: str


def validate_settings(raw: Any) -> TeamSettings:
    """Validates decoded JSON and converts it to settings.

    Raises:
        SettingsInvalid: The JSON has faults; the error lists all of them.
    """
    faults = list(_check_value(_TEAM_TYPE, raw, ()))
    if faults:
        raise SettingsInvalid(faults)
    return msgspec.convert(raw, type=TeamSettings)


def is_valid_name(name: str) -> bool:
    """Returns whether a team, program, service or operation may have this name."""
    return NAME_PATTERN.fullmatch(name) is not None


_COUNT = Rule(
    accepts=lambda value: value >= 0,
    expected="a whole number of at least 0, or null for no limit",
    remedy="raise it to 0 or more, or remove it",
)
_SECONDS = Rule(
    accepts=lambda value: value > 0 and math.isfinite(value),
    expected="a number of seconds above 0",
    remedy="set the time in seconds",
)
_RULES: dict[tuple[type, str], Rule] = {
    (Budget, "tokens"): _COUNT,
    (Budget, "calls"): _COUNT,
    (Budget, "depth"): _COUNT,
    (Budget, "seconds"): _SECONDS,
    (OperationSettings, "timeout_seconds"): _SECONDS,
    (ServiceSettings, "timeout_seconds"): _SECONDS,
    (ServiceSettings, "slots"): Rule(
        accepts=lambda value: value >= 1,
        expected="a whole number of at least 1",
        remedy="set the number of calls that one target runs at a time",
    ),
    (TeamSettings, "cache_weight"): Rule(
        accepts=lambda value: 0 <= value <= 1,
        expected="a number from 0 to 1",
        remedy="set 0 to consider latency only, up to 1 for cache reuse only",
    ),
    (TeamSettings, "token_sha256"): Rule(
        accepts=lambda value: DIGEST_PATTERN.fullmatch(value) is not None,
        expected="64 hexadecimal digits in lower case",
        remedy="set the SHA-256 digest of the token, not the token",
    ),
}


def _build_fault(
    path: PathParts, value: Any, expected: str, remedy: str
) -> SettingsFault:
    try:
        encoded = msgspec.json.encode(value).decode()
    except UnicodeEncodeError:
        encoded = ascii(value)
    if len(encoded) > MAX_SHOWN_CHARACTERS:
        encoded = f"{encoded[:MAX_SHOWN_CHARACTERS]}..."
    return SettingsFault(format_path(path), encoded, expected, remedy)


@singledispatch
def _check_value(
    type_info: inspect.Type, value: Any, path: PathParts
) -> Iterator[SettingsFault]:
    """Yields the faults of a value that should have the given type."""
    raise TypeError(f"Got {type_info!r}; register a check for this type of field.")


@_check_value.register
def _(
    type_info: inspect.StructType, value: Any, path: PathParts
) -> Iterator[SettingsFault]:
    if not isinstance(value, dict):
        yield _build_fault(path, value, "an object", "write it as a JSON object")
        return
    fields = {field.name: field for field in type_info.fields}
    for name in value.keys() - fields.keys():
        expected = f"one of the fields {', '.join(fields)}"
        yield _build_fault(
            (*path, name), value[name], expected, "correct the name or remove it"
        )
    for name, field in fields.items():
        if name in value:
            yield from _check_field(type_info.cls, field, value[name], (*path, name))
        elif field.required:
            yield SettingsFault(
                format_path((*path, name)), "nothing", "a value", "add the field"
            )
    if type_info.cls is ServiceSettings:
        yield from _check_service(value, path)


def _check_field(
    owner: type, field: inspect.Field, value: Any, path: PathParts
) -> Iterator[SettingsFault]:
    faults = list(_check_value(field.type, value, path))
    yield from faults
    rule = _RULES.get((owner, field.name))
    if faults or rule is None or value is None:
        return
    if not rule.accepts(value):
        yield _build_fault(path, value, rule.expected, rule.remedy)


def _check_service(value: dict[str, Any], path: PathParts) -> Iterator[SettingsFault]:
    if value.get("kind") == ServiceKind.MODEL.value and value.get("operations"):
        yield _build_fault(
            (*path, "operations"),
            value["operations"],
            "no operations for a model service",
            "remove them, or set the kind to tool",
        )


@_check_value.register
def _(
    type_info: inspect.DictType, value: Any, path: PathParts
) -> Iterator[SettingsFault]:
    if not isinstance(value, dict):
        yield _build_fault(
            path, value, "an object", "map names to settings in an object"
        )
        return
    for name, item in value.items():
        if not is_valid_name(name):
            yield _build_fault(
                (*path, name),
                name,
                "a name of 1 to 64 letters, digits, dots, dashes or underscores",
                "rename it",
            )
        yield from _check_value(type_info.value_type, item, (*path, name))


@_check_value.register
def _(
    type_info: inspect.EnumType, value: Any, path: PathParts
) -> Iterator[SettingsFault]:
    choices = [member.value for member in type_info.cls]
    if value not in choices:
        expected = f"one of {', '.join(choices)}"
        yield _build_fault(path, value, expected, "choose one of them")


@_check_value.register
def _(
    type_info: inspect.UnionType, value: Any, path: PathParts
) -> Iterator[SettingsFault]:
    """Yields the faults of an optional field; settings have no other unions."""
    if value is None:
        return
    (inner,) = (
        part for part in type_info.types if not isinstance(part, inspect.NoneType)
    )
    yield from _check_value(inner, value, path)


@_check_value.register
def _(
    type_info: inspect.IntType, value: Any, path: PathParts
) -> Iterator[SettingsFault]:
    if not isinstance(value, int) or isinstance(value, bool):
        yield _build_fault(
            path, value, "a whole number", "write an integer without quotes"
        )


@_check_value.register
def _(
    type_info: inspect.FloatType, value: Any, path: PathParts
) -> Iterator[SettingsFault]:
    if not isinstance(value, int | float) or isinstance(value, bool):
        yield _build_fault(path, value, "a number", "write a number without quotes")


@_check_value.register
def _(
    type_info: inspect.BoolType, value: Any, path: PathParts
) -> Iterator[SettingsFault]:
    if not isinstance(value, bool):
        yield _build_fault(
            path, value, "true or false", "write true or false without quotes"
        )


@_check_value.register
def _(
    type_info: inspect.StrType, value: Any, path: PathParts
) -> Iterator[SettingsFault]:
    if not isinstance(value, str):
        yield _build_fault(path, value, "a string", "put it in double quotes")


_TEAM_TYPE = inspect.type_info(TeamSettings)
