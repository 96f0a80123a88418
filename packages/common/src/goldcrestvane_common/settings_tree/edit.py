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
    """Returns the decoded value of a JSON text, or the text itself if not JSON."""
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def set_path(settings: TeamSettings | None, path: str, value: Any) -> TeamSettings:
    """Returns settings with one path set, creating missing parents.

    Raises:
        PathInvalid: The path is malformed, or a parent is not an object.
        SettingsInvalid: The edited settings have faults.
    """
    *parents, name = parse_path(path)
    raw = _build_raw(settings)
    _find_parent(raw, tuple(parents), create=True)[name] = value
    return validate_settings(raw)


def remove_path(settings: TeamSettings | None, path: str) -> TeamSettings:
    """Returns settings without one path, so that its default applies.

    Raises:
        PathInvalid: The path is malformed or not set.
        SettingsInvalid: The edited settings have faults.
    """
    *parents, name = parse_path(path)
    raw = _build_raw(settings)
    parent = _find_parent(raw, tuple(parents), create=False)
    if name not in parent:
        raise PathInvalid(
            f"Path {path} is not set; see the set paths with settings show."
        )
    del parent[name]
    return validate_settings(raw)


def _build_raw(settings: TeamSettings | None) -> dict[str, Any]:
    return msgspec.to_builtins(settings or TeamSettings())


def _find_parent(
    raw: dict[str, Any], parents: tuple[str, ...], *, create: bool
) -> dict[str, Any]:
    parent = raw
    for depth, name in enumerate(parents, start=1):
        if create:
            parent.setdefault(name, {})
        parent = parent.get(name, {})
        if not isinstance(parent, dict):
            raise PathInvalid(
                f"Path {format_path(parents[:depth])} holds a plain value, "
                "expected an object; shorten the path."
            )
    return parent
