"""Paths in a team's subtree, such as ``programs.fitting.priority``.

Parts are separated by dots. A part that contains a dot is enclosed in double quotes:
``services."search.v2".kind``.
"""

import re
from collections.abc import Iterable
from typing import final

_PART = re.compile(r'"([^"]+)"|([^".]+)')


@final
class PathInvalid(Exception):
    """The text is not a valid path in a subtree."""


def format_path(parts: Iterable[str]) -> str:
    """Returns the text of a path."""
    return ".".join(f'"{part}"' if "." in part else part for part in parts)


def parse_path(text: str) -> tuple[str, ...]:
    """Returns the parts of a path.

    Raises:
        PathInvalid: A part is empty, or a quoted part is malformed.
    """
    parts: list[str] = []
    position = 0
    while True:
        match = _PART.match(text, position)
        if match is None:
            break
        parts.append(match[1] or match[2])
        if match.end() == len(text):
            return tuple(parts)
        if text[match.end()] != ".":
            break
        position = match.end() + 1
    raise PathInvalid(
        f"Got path {text!r}, expected parts separated by dots, such as "
        'programs.fitting.priority; enclose a part with a dot in quotes ("a.b").'
    )
