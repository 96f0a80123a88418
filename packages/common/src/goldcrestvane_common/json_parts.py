"""Splits JSON texts into their parts without decoding these.

A decoder rejects a whole message because of one value that it cannot decode. Messages that
contain objects of several writers are therefore split here, and each object is decoded by
itself.
"""

import re
from typing import Any

import msgspec

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_TOKEN = re.compile(_STRING + rb'|["\[\]{},:]', re.DOTALL)
"""A string, whose brackets do not count, or a character of the structure."""

_BRACKET = re.compile(
    rb'(?:[^"\[\]{}]++|' + _STRING + rb')*+(?P<bracket>["\[\]{}])', re.DOTALL
)
"""The next bracket, or a quote without an end."""

_CLOSING = {b"[": b"]", b"{": b"}"}
_WHITESPACE = b" \t\n\r"


class JsonStructureError(ValueError):
    """The text cannot be split: its brackets or quotes do not match."""


def split_array(text: bytes) -> list[bytes]:
    """Returns the encoded elements of a JSON array.

    Raises:
        JsonStructureError: The text is no array, or cannot be split.
    """
    return [part for part, _ in _split(text, b"[", b",")]


def split_object(text: bytes) -> dict[str, bytes]:
    """Returns the encoded values of a JSON object by key.

    Keys that cannot be decoded are left out.

    Raises:
        JsonStructureError: The text is no object, or cannot be split.
    """
    values = {}
    key = None
    for part, separator in _split(text, b"{", b",:"):
        if (separator == b":") != (key is None):
            raise JsonStructureError("A member of an object has no key or no value.")
        if separator == b":":
            key = part
            continue
        assert key is not None
        name = decode_or(key, str, "")
        if name:
            values[name] = part
        key = None
    return values


def decode_or(text: bytes | None, value_type: type[Any], default: Any) -> Any:
    """Decodes a JSON text; returns the default if there is none or it cannot be decoded."""
    if text is None:
        return default
    try:
        return msgspec.json.decode(text, type=value_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return default


def _split(text: bytes, opening: bytes, separators: bytes) -> list[tuple[bytes, bytes]]:
    """Returns the parts of an array or object, each with the separator behind it.

    The last part has the closing bracket.
    """
    text = text.strip(_WHITESPACE)
    if not text.startswith(opening):
        raise JsonStructureError(f"The text does not begin with {opening.decode()}.")
    parts: list[tuple[bytes, bytes]] = []
    start = position = 1
    while match := _TOKEN.search(text, position):
        token, position = match[0], match.end()
        if token in _CLOSING:
            position = _find_end(text, match.start())
        elif token == b'"':
            raise JsonStructureError(f"The string at byte {match.start()} has no end.")
        elif token == _CLOSING[opening]:
            break
        elif len(token) == 1:
            if token not in separators:
                raise JsonStructureError(
                    f"Byte {match.start()} is an unexpected {token.decode()}."
                )
            parts.append((text[start : match.start()].strip(_WHITESPACE), token))
            start = position
    if match is None or position != len(text):
        raise JsonStructureError("The text goes on behind its end, or has no end.")
    last = text[start : match.start()].strip(_WHITESPACE)
    return [*parts, (last, token)] if parts or last else []


def _find_end(text: bytes, start: int) -> int:
    """Returns the position behind the array or object that begins at a position."""
    closing: list[bytes] = []
    position = start
    while match := _BRACKET.match(text, position):
        token, position = match["bracket"], match.end()
        if token in _CLOSING:
            closing.append(_CLOSING[token])
        elif closing.pop() != token:
            break
        if not closing:
            return position
    raise JsonStructureError(f"The bracket at byte {start} is not closed.")
