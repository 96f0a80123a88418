"""Removes JSON values that are nested too deeply for decoders."""

import re

MAX_DEPTH = 64
"""Depth of the arrays and objects that are kept; no type of the system is as deep."""

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*(?:"|\Z)|[\[\]{}]', re.DOTALL)
"""A string, whose brackets do not count, or a bracket."""


def drop_deep_values(body: bytes) -> bytes:
    """Returns a JSON text with null for each array or object deeper than `MAX_DEPTH`."""
    parts = []
    depth = kept_from = 0
    for match in _TOKEN.finditer(body):
        token = match[0]
        if token in b"[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts.append(body[kept_from : match.start()])
        elif token in b"]}":
            if depth == MAX_DEPTH + 1:
                parts.append(b"null")
                kept_from = match.end()
            depth -= 1
    parts.append(body[kept_from:])
    return b"".join(parts)
