"""Parsing of the headers of a call, and authentication of the team."""

import hashlib
import hmac
import time
from dataclasses import dataclass
from typing import final

from goldcrestvane_common.errors import InvalidRequest, NotFound, Unauthorized
from goldcrestvane_common.ids import ProgramId, TeamId
from goldcrestvane_common.routing import (
    Request,
)
from goldcrestvane_common.settings import TeamSettings
from goldcrestvane_daemon.entry._directories import TeamDirectory
from goldcrestvane_daemon.entry._fields import (
    parse_decimal,
    parse_program,
    parse_sequence,
    parse_team,
    require_header,
)
from goldcrestvane_daemon.entry._limits import EntryLimits

TEAM_HEADER = "goldcrestvane-team"
PROGRAM_HEADER = "goldcrestvane-program"
SEQUENCE_HEADER = "goldcrestvane-sequence"
TIMEOUT_HEADER = "goldcrestvane-timeout"
ABANDONED_HEADER = "goldcrestvane-abandoned"
DEADLINE_HEADER = "goldcrestvane-deadline"
AUTHORIZATION_HEADER = "authorization"

TARGET_HEADER = "goldcrestvane-target"
OWNER_HEADER = "goldcrestvane-owner"
CACHED_TOKENS_HEADER = "goldcrestvane-cached-tokens"
REPLAYED_HEADER = "goldcrestvane-replayed"


@final
@dataclass(frozen=True, kw_only=True)
class AuthenticatedTeam:
    """The authenticated team that sent a request, with its settings."""

    team: TeamId
    settings: TeamSettings


@final
@dataclass(frozen=True, kw_only=True)
class CallHeaders:
    """Headers of a model or tool call.

    Attributes:
        program: Program that issues the call.
        sequence: Sequence number of the call in its program.
        seconds: Time left for the call; None for the service's default timeout.
        abandoned: Highest sequence number that the caller has abandoned; 0 for none.
    """

    program: ProgramId
    sequence: int
    seconds: float | None
    abandoned: int


def authenticate_team(request: Request, teams: TeamDirectory) -> AuthenticatedTeam:
    """Checks the token of a request and returns the team.

    Raises:
        InvalidRequest: The team's header is missing or malformed.
        NotFound: The team is not declared.
        Unauthorized: The token is missing or wrong.
        Unavailable: It is not known yet whether the team is declared.
    """
    team = parse_team(require_header(request, TEAM_HEADER), field=TEAM_HEADER)
    settings = teams.get_team(team)
    if settings is None:
        raise NotFound(
            f"Team {team} is not declared; check {TEAM_HEADER}, or have an operator "
            "declare the team.",
            field=TEAM_HEADER,
        )
    _check_token(request, team, settings)
    return AuthenticatedTeam(team=team, settings=settings)


def parse_call_headers(request: Request, limits: EntryLimits) -> CallHeaders:
    """Returns the headers of a model or tool call.

    Raises:
        InvalidRequest: A header is missing, repeated, malformed or out of range.
    """
    program = require_header(request, PROGRAM_HEADER)
    sequence = require_header(request, SEQUENCE_HEADER)
    return CallHeaders(
        program=parse_program(program, field=PROGRAM_HEADER),
        sequence=parse_sequence(sequence, field=SEQUENCE_HEADER),
        seconds=_read_seconds_left(request, limits),
        abandoned=_read_abandoned(request),
    )


def _read_abandoned(request: Request) -> int:
    text = request.get_header(ABANDONED_HEADER)
    return 0 if text is None else parse_sequence(text, field=ABANDONED_HEADER)


def _check_token(request: Request, team: TeamId, settings: TeamSettings) -> None:
    authorization = request.get_header(AUTHORIZATION_HEADER)
    if settings.token_sha256 is None:
        return
    scheme, _, token = (authorization or "").partition(" ")
    digest = hashlib.sha256(token.strip().encode("latin-1")).hexdigest()
    matches = hmac.compare_digest(digest, settings.token_sha256.lower())
    if scheme.lower() == "bearer" and matches:
        return
    raise Unauthorized(
        f"Team {team} requires 'Authorization: Bearer TOKEN' with the team's token; "
        f"got {'another token' if authorization else 'none'}.",
        field=AUTHORIZATION_HEADER,
    )


def _read_seconds_left(request: Request, limits: EntryLimits) -> float | None:
    timeouts = [_read_timeout(request), _read_deadline(request)]
    seconds = [value for value in timeouts if value is not None]
    if not seconds:
        return None
    shortest = min(seconds)
    if shortest > limits.max_timeout_seconds:
        field = TIMEOUT_HEADER if timeouts[0] is not None else DEADLINE_HEADER
        raise InvalidRequest(
            f"Got {shortest:.0f} s left for the call; send at most "
            f"{limits.max_timeout_seconds:.0f} s.",
            field=field,
        )
    return shortest


def _read_timeout(request: Request) -> float | None:
    text = request.get_header(TIMEOUT_HEADER)
    if text is None:
        return None
    seconds = parse_decimal(text, field=TIMEOUT_HEADER)
    if seconds <= 0:
        raise InvalidRequest(
            f"Got {text} s as {TIMEOUT_HEADER}; send the seconds left, above 0.",
            field=TIMEOUT_HEADER,
        )
    return seconds


def _read_deadline(request: Request) -> float | None:
    text = request.get_header(DEADLINE_HEADER)
    if text is None:
        return None
    seconds = parse_decimal(text, field=DEADLINE_HEADER) - time.time()
    if seconds <= 0:
        raise InvalidRequest(
            f"The deadline {text} passed {-seconds:.1f} s ago; send a Unix "
            f"time in the future in {DEADLINE_HEADER}, and check the clock.",
            field=DEADLINE_HEADER,
        )
    return seconds
