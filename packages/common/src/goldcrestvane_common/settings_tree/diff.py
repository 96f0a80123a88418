"""Differences between two subtrees as lines ``path: old -> new``."""

from functools import singledispatch
from typing import Any

import msgspec

from goldcrestvane_common.settings import TeamSettings
from goldcrestvane_common.settings_tree.paths import format_path

ABSENT = "(absent)"


def diff_settings(old: TeamSettings | None, new: TeamSettings | None) -> list[str]:
    """Returns one line for each path that differs, sorted by path.

    Fields that are not set count with their defaults, so that the lines show the
    effective settings before and after the change.
    """
    old_values = flatten_settings(old)
    new_values = flatten_settings(new)
    return [
        f"{path}: {old_values.get(path, ABSENT)} -> {new_values.get(path, ABSENT)}"
        for path in sorted(old_values.keys() | new_values.keys())
        if old_values.get(path) != new_values.get(path)
    ]


def flatten_settings(settings: TeamSettings | None) -> dict[str, str]:
    """Returns the JSON text of every field by path, defaults included."""
    if settings is None:
        return {}
    values: dict[str, str] = {}
    _collect(settings, (), values)
    return values


@singledispatch
def _collect(value: Any, path: tuple[str, ...], values: dict[str, str]) -> None:
    values[format_path(path)] = msgspec.json.encode(value).decode()


@_collect.register
def _(value: msgspec.Struct, path: tuple[str, ...], values: dict[str, str]) -> None:
    for name, item in msgspec.structs.asdict(value).items():
        _collect(item, (*path, name), values)


@_collect.register
def _(value: dict, path: tuple[str, ...], values: dict[str, str]) -> None:
    for name, item in value.items():
        _collect(item, (*path, name), values)
