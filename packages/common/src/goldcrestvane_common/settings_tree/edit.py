"""Edits of single paths in a subtree."""

from typing import Any

import msgspec

from goldcrestvane_common.settings import TeamSettings
from goldcrestvane_common.settings_tree.paths import (
    PathInvalid,
    format_path,
    parse_path,
)
from goldcrestvane_common.settings_tree.validation import validate_settings


def parse_value(text: str) -> Any:
    """Returns the JSON value of a text, or the text itself when it is no JSON."""
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def set_path(settings: TeamSettings | None, path: str, value: Any) -> TeamSettings:
    """Returns settings with one path set; missing parents are created.

    Raises:
        PathInvalid: The path does not parse, or leads through a plain value.
        SettingsInvalid: The edited settings have faults.
    """
    *parents, name = parse_path(path)
    raw = _build_raw(settings)
    _descend(raw, tuple(parents), create=True)[name] = value
    return validate_settings(raw)


def remove_path(settings: TeamSettings | None, path: str) -> TeamSettings:
    """Returns settings without one path, so that its default applies.

    Raises:
        PathInvalid: The path does not parse or is not set.
        SettingsInvalid: The edited settings have faults.
    """
    *parents, name = parse_path(path)
    raw = _build_raw(settings)
    holder = _descend(raw, tuple(parents), create=False)
    if name not in holder:
        raise PathInvalid(
            f"Path {path} is not set; show the settings to see the set ones."
        )
    del holder[name]
    return validate_settings(raw)


def _build_raw(settings: TeamSettings | None) -> dict[str, Any]:
    return msgspec.to_builtins(settings or TeamSettings())


def _descend(
    raw: dict[str, Any], parents: tuple[str, ...], *, create: bool
) -> dict[str, Any]:
    holder = raw
    for depth, name in enumerate(parents, start=1):
        if create:
            holder.setdefault(name, {})
        holder = holder.get(name, {})
        if not isinstance(holder, dict):
            raise PathInvalid(
                f"Got {format_path(parents[:depth])}, which is a plain value, "
                "expected an object; shorten the path."
            )
    return holder
