"""Validation of the ids, numbers and bodies that callers send."""

import re
from typing import Any

import msgspec

from goldcrestvane_common.errors import InvalidRequest
from goldcrestvane_common.ids import ProgramId, TeamId
from goldcrestvane_common.routing import (
    Request,
)

MAX_SEQUENCE = 2**31 - 1
MAX_PROGRAM_PARTS = 8
MAX_LIMIT = 2**53
NAME_RULE = "1 to 64 of the characters A-Z a-z 0-9 . _ -"

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}", re.ASCII)
_SEQUENCE = re.compile(r"[1-9][0-9]{0,9}", re.ASCII)
_DECIMAL = re.compile(r"[+-]?[0-9]{1,15}(\.[0-9]{1,15})?", re.ASCII)
_ERROR_PATH = re.compile(r" - at `\$\.?(?P<path>[^`]*)`")
_ERROR_FIELD = re.compile(r"field `(?P<field>[^`]*)`")
_MAX_QUOTED_CHARACTERS = 80
_MAX_DETAIL_CHARACTERS = 300


def require_header(request: Request, name: str) -> str:
    """Returns the value of a header that must be sent exactly once."""
    value = request.get_header(name)
    if value is None:
        raise InvalidRequest(
            f"Header {name} is missing; send it with every request.", field=name
        )
    return value


def parse_team(text: str, *, field: str) -> TeamId:
    """Validates and returns a team id."""
    return TeamId(parse_name(text, field=field))


def parse_name(text: str, *, field: str) -> str:
    """Validates and returns the name of a team, service, operation or program kind."""
    if _NAME.fullmatch(text) is None:
        raise InvalidRequest(
            f"Got {quote_for_error(text)} as {field}; send {NAME_RULE}.", field=field
        )
    return text


def parse_program(text: str, *, field: str) -> ProgramId:
    """Validates and returns a program's id, a path of names."""
    segments = text.split("/")
    if len(segments) > MAX_PROGRAM_PARTS:
        raise InvalidRequest(
            f"Got a program path of {len(segments)} segments as {field}; "
            f"send at most {MAX_PROGRAM_PARTS}.",
            field=field,
        )
    if any(_NAME.fullmatch(segment) is None for segment in segments):
        raise InvalidRequest(
            f"Got {quote_for_error(text)} as {field}; send segments joined by '/', each of "
            f"{NAME_RULE}.",
            field=field,
        )
    return ProgramId(text)


def parse_sequence(text: str, *, field: str) -> int:
    """Returns a call's position among the calls of its program."""
    number = int(text) if _SEQUENCE.fullmatch(text) else 0
    if not 1 <= number <= MAX_SEQUENCE:
        raise InvalidRequest(
            f"Got {quote_for_error(text)} as {field}; send a whole number from 1 to "
            f"{MAX_SEQUENCE} without leading zeros.",
            field=field,
        )
    return number


def parse_decimal(text: str, *, field: str) -> float:
    """Returns a number in decimal notation without an exponent."""
    if _DECIMAL.fullmatch(text) is None:
        raise InvalidRequest(
            f"Got {quote_for_error(text)} as {field}; send a decimal number such as 2.5.",
            field=field,
        )
    return float(text)


def check_limit(value: float | None, *, field: str) -> None:
    """Raises InvalidRequest if a budget limit is out of range."""
    if value is None or 0 <= value <= MAX_LIMIT:
        return
    raise InvalidRequest(
        f"Got {quote_for_error(str(value))} as {field}; send a number from 0 to "
        f"{MAX_LIMIT}, or leave it out.",
        field=field,
    )


def decode_body(body: bytes, body_type: Any) -> Any:
    """Decodes a JSON body to a typed value.

    Raises:
        InvalidRequest: The body is not JSON or does not match the type; the error
            names the invalid field.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.ValidationError as error:
        raise InvalidRequest(
            f"{_truncate(str(error))}; see docs/reference/http.md for the fields.",
            field=_get_field_name(str(error)),
        ) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequest(
            f"The body is not JSON in UTF-8 ({error}); send one JSON value.",
            field="body",
        ) from error


def quote_for_error(text: str) -> str:
    """Returns a caller's text, quoted and truncated for an error message."""
    if len(text) <= _MAX_QUOTED_CHARACTERS:
        return ascii(text)
    return f"{text[:_MAX_QUOTED_CHARACTERS]!a} and {len(text) - _MAX_QUOTED_CHARACTERS} more"


def _get_field_name(message: str) -> str:
    path = _ERROR_PATH.search(message)
    field = _ERROR_FIELD.search(message)
    names = [path["path"] if path else "", field["field"] if field else ""]
    return _truncate(".".join(name for name in names if name)) or "body"


def _truncate(text: str) -> str:
    if len(text) <= _MAX_DETAIL_CHARACTERS:
        return text
    return f"{text[:_MAX_DETAIL_CHARACTERS]}..."
