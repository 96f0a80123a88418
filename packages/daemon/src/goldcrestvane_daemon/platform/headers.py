"""Decodes the headers of clients and targets, and builds headers for both."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

import msgspec

from goldcrestvane_common.ids import AccountId, CallId, InstanceId, ProgramId
from goldcrestvane_daemon.accounts.directory import KeyDigest, compute_key_digest
from goldcrestvane_daemon.http1 import Headers
from goldcrestvane_daemon.placement.prompt_reading import Prompt, PromptPartId
from goldcrestvane_daemon.targets import ReportedLoad

Value = TypeVar("Value")

MAX_LOAD = 1_000_000
"""Limit on the numbers of calls and slots that a target states, far above real ones."""

MAX_TOKEN_DIGITS = 12
MAX_TOKENS = 10**MAX_TOKEN_DIGITS
"""Limit on the numbers of tokens that a client states. Sums of many of them still fit into
the 64 bits of a number in a message."""

CALL_ID = b"goldcrestvane-request-id"
DEADLINE = b"goldcrestvane-deadline-ms"
EXPECTED_INSTANCE = b"goldcrestvane-expected-instance"
SIGNATURE = b"goldcrestvane-response-signature"
NOT_EXECUTED = b"goldcrestvane-not-executed"
SERVER_LOAD = b"goldcrestvane-server-load"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
PRIORITY = b"goldcrestvane-request-priority"
PROGRAM = b"goldcrestvane-program-id"
SESSION = b"goldcrestvane-session-id"
PROGRAM_DEADLINE = b"goldcrestvane-program-deadline-ms"
TOKEN_BUDGET = b"goldcrestvane-token-budget"
TOKEN_USAGE = b"goldcrestvane-token-usage"
PREVIOUS_TURN = b"goldcrestvane-previous-turn"
PROMPT_PREFIX = b"goldcrestvane-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
AFFINITY_COOKIE = "goldcrestvane-affinity-key"
RETRY_AFTER = b"retry-after"
AUTHORIZATION = b"authorization"
TENANT = b"goldcrestvane-tenant"

KEY_SCHEME = "token"
"""Scheme of `Authorization` in lower case. Clients may write it in any case."""

_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
_SYSTEM_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECTED_INSTANCE,
        PRIORITY,
        LAST_EVENT_ID,
        b"goldcrestvane-expected-version",
        b"goldcrestvane-cache-hold",
        b"goldcrestvane-pin-ms",
        b"goldcrestvane-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"content-length",
        b"accept-encoding",
    )
)
"""Headers that only the system sets; clients' headers with these names are dropped."""

_IDENTITY_HEADERS = frozenset((AUTHORIZATION, TENANT))
"""Headers that identify the client. With accounts, no value that a client sent in them
reaches a target."""

_HIDDEN_RESPONSE_HEADERS = frozenset((SERVER_LOAD, NOT_EXECUTED))


class CallHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """Call properties decoded from a client's headers.

    Attributes:
        host: Requested host, without a port.
        call: Id of this attempt of the client.
        deadline_ms: Time for which the client waits.
        program: Program of the call.
        session: Session of the program, whose turns form one sequence.
        program_deadline_ms: Time until the program should end.
        token_budget: Number of tokens that all turns of the program may generate.
        prompt_tokens: Number of prompt tokens.
        output_tokens: Maximum number of tokens that the call generates.
        previous_turn: Preceding turn.
        last_event: Id of the last event of the stream that the client received.
        resumes: Attempt of the client that brought the first event of a stream that this
            call takes up again.
        affinity: Key of the object that the call concerns.
        prompt: Parts of the prompt, those that the most other prompts share first; None
            if the client states none.
        key_digest: Digest of the client's API key; None if it sent none.
        forwarded: Headers to forward to the target.
    """

    host: str
    call: CallId | None
    deadline_ms: float | None
    program: ProgramId | None
    session: str | None
    program_deadline_ms: float | None
    token_budget: int | None
    prompt_tokens: int
    output_tokens: int
    previous_turn: CallId | None
    last_event: int | None
    resumes: CallId | None
    affinity: str | None
    prompt: Prompt | None
    key_digest: KeyDigest | None
    forwarded: list[tuple[bytes, bytes]]


def decode_call_headers(headers: Headers) -> CallHeaders:
    """Decodes the headers of a client.

    Raises:
        ValueError: A header has an invalid value.
    """
    values: dict[bytes, str] = {}
    named_by_connection = _list_connection_names(headers)
    forwarded = []
    for name, value in headers:
        values.setdefault(name, value.decode("latin-1"))
        if name in _CONNECTION_HEADERS or name in named_by_connection:
            continue
        if name not in _SYSTEM_HEADERS:
            forwarded.append((name, value))
    usage = [_read_tokens(v) for v in (values.get(TOKEN_USAGE) or "0,0").split(",")[:2]]
    return CallHeaders(
        host=values.get(b"host", "").partition(":")[0].lower(),
        call=_convert(values, CALL_ID, CallId),
        deadline_ms=_convert(values, DEADLINE, _read_milliseconds),
        program=_convert(values, PROGRAM, ProgramId),
        session=values.get(SESSION),
        program_deadline_ms=_convert(values, PROGRAM_DEADLINE, _read_finite),
        token_budget=_convert(values, TOKEN_BUDGET, _read_tokens),
        prompt_tokens=usage[0],
        output_tokens=usage[1] if len(usage) > 1 else 0,
        previous_turn=_convert(values, PREVIOUS_TURN, CallId),
        last_event=_convert(values, LAST_EVENT_ID, int),
        resumes=_convert(values, RESUMES, CallId),
        affinity=_find_cookie(values.get(b"cookie", "")),
        prompt=_read_prompt(values.get(PROMPT_PREFIX, ""), usage[0]),
        key_digest=_read_key_digest(values.get(AUTHORIZATION, "")),
        forwarded=forwarded,
    )


def _convert(
    values: Mapping[bytes, str], name: bytes, convert: Callable[[str], Value]
) -> Value | None:
    value = values.get(name)
    return None if value is None or not value.strip() else convert(value.strip())


def _read_milliseconds(text: str) -> float:
    value = float(text)
    if not 0 <= value < 1e9:
        raise ValueError(f"got {text!r}, expected milliseconds from 0 to 1e9")
    return value


def _read_finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"got {text!r}, expected a finite number")
    return value


def _read_tokens(text: str) -> int:
    tokens = int(text)
    if not 0 <= tokens <= MAX_TOKENS:
        raise ValueError(f"got {tokens} tokens, expected 0 to {MAX_TOKENS}")
    return tokens


def _read_prompt(prefix: str, tokens: int) -> Prompt | None:
    """Returns a prompt from `ID:TOKENS,ID:TOKENS,...`; None if it is empty or invalid.

    It only affects the choice of a target, so an invalid value is no error.
    """
    parts = []
    for part in prefix.split(","):
        name, _, count = part.strip().rpartition(":")
        if not name or not (count.isascii() and count.isdigit()):
            return None
        if len(count) > MAX_TOKEN_DIGITS:
            return None
        parts.append((PromptPartId(name), int(count)))
    return Prompt(tuple(parts), max(tokens, sum(count for _, count in parts)))


def _read_key_digest(authorization: str) -> KeyDigest | None:
    """Returns the digest of the key in an `Authorization` header, or None if it has none."""
    scheme, _, key = authorization.strip(" \t").replace("\t", " ").partition(" ")
    key = key.strip(" ")
    if scheme.lower() != KEY_SCHEME or not key:
        return None
    # Headers are decoded as latin-1, but the configuration contains keys as UTF-8.
    return compute_key_digest(key.encode("latin-1").decode(errors="backslashreplace"))


def remove_client_identity(call: CallHeaders) -> CallHeaders:
    """Returns the headers without those that identify the client; the digest is kept."""
    kept = [each for each in call.forwarded if each[0] not in _IDENTITY_HEADERS]
    return msgspec.structs.replace(call, forwarded=kept)


def _find_cookie(text: str) -> str | None:
    for part in text.split(";"):
        name, _, value = part.strip().partition("=")
        if name.lower() == AFFINITY_COOKIE:
            return value
    return None


def _list_connection_names(headers: Headers) -> set[bytes]:
    names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return names


def build_target_headers(
    call: CallHeaders,
    *,
    instance: InstanceId,
    seconds_left: float,
    body_length: int,
    priority: int | None,
    last_event: int | None,
    account: AccountId | None = None,
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a call for one target.

    Args:
        call: The client's headers.
        instance: The target. Any other process at its address rejects the call.
        seconds_left: Time after which the target cancels the call.
        body_length: Length of the body in bytes.
        priority: Priority at the target, 0 being the highest; None for its default.
        last_event: Id of the event after which to resume the stream, if any.
        account: Account that sends the call; None if it has none.
    """
    headers = [
        *call.forwarded,
        (DEADLINE, b"%d" % max(1, int(seconds_left * 1000))),
        (EXPECTED_INSTANCE, instance.encode()),
    ]
    if body_length:
        headers.append((b"content-length", b"%d" % body_length))
    if priority is not None:
        headers.append((PRIORITY, b"%d" % priority))
    if last_event is not None:
        headers.append((LAST_EVENT_ID, b"%d" % last_event))
    if account is not None:
        headers.append((TENANT, account.encode()))
    return headers


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of a target's response.

    Attributes:
        status: HTTP status.
        call: Call id in the response.
        has_signature: Whether the response has a target's signature. A success that
            claims not to have run contradicts itself and counts as unsigned.
        executed: False only if the target reports that it did not run the call.
        has_content_encoding: Whether the body has a content encoding, which the system
            never requests.
        leaving: Whether the target says that it leaves.
        rate_limit: Calls per second that the target takes from all callers together;
            None if it states no limit.
        load: Reported load of the target.
        idle_seconds: Time for which the target keeps an idle connection, if known.
        forwarded: Headers to forward to the client.
    """

    status: int
    call: CallId | None
    has_signature: bool
    executed: bool
    has_content_encoding: bool
    leaving: bool
    rate_limit: float | None
    load: ReportedLoad | None
    idle_seconds: float | None
    forwarded: list[tuple[bytes, bytes]]


def decode_response_head(
    status: int, headers: Iterable[tuple[bytes, bytes]]
) -> ResponseHead:
    """Decodes the status and headers of a response."""
    values = dict(headers)
    call = values.get(CALL_ID)
    return ResponseHead(
        status=status,
        call=CallId(call.decode("latin-1")) if call is not None else None,
        has_signature=SIGNATURE in values
        and not (status < 400 and NOT_EXECUTED in values),
        executed=status != 421 and (status < 400 or NOT_EXECUTED not in values),
        has_content_encoding=values.get(b"content-encoding", b"identity")
        != b"identity",
        leaving=values.get(SERVER_LEAVING, b"0").strip() not in (b"", b"0"),
        rate_limit=_read_rate(values.get(SERVER_LIMIT)),
        load=_read_load(values.get(SERVER_LOAD)),
        idle_seconds=_read_idle_seconds(values.get(b"keep-alive", b"")),
        forwarded=[
            (name, value)
            for name, value in headers
            if name not in _CONNECTION_HEADERS and name not in _HIDDEN_RESPONSE_HEADERS
        ],
    )


def _read_load(value: bytes | None) -> ReportedLoad | None:
    """Returns a reported load; None if one of its first three figures is invalid.

    A target may report further figures, of which only the fourth is used.
    """
    figures = (value or b"").split(b",")
    try:
        counts = [int(figure) for figure in figures[:3]]
    except ValueError:
        return None
    if len(counts) < 3 or not all(0 <= count <= MAX_LOAD for count in counts):
        return None
    percent = _read_percent(figures[3]) if len(figures) > 3 else None
    return ReportedLoad(
        running=counts[0],
        waiting=counts[1],
        slots=counts[2],
        slowdown=None if percent is None else percent / 100,
    )


def _read_percent(text: bytes) -> float | None:
    try:
        percent = float(text)
    except ValueError:
        return None
    return percent if math.isfinite(percent) and percent > 0 else None


def _read_rate(value: bytes | None) -> float | None:
    try:
        rate = float(value or b"")
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def _read_idle_seconds(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


def build_refusal_headers(
    *, call: CallId | None, retry_after: float | None, status: int | None = None
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an error response that the system generates."""
    headers = [(b"content-type", b"application/json")]
    if call is not None:
        headers.append((CALL_ID, call.encode("latin-1")))
    if retry_after is not None:
        headers.append((RETRY_AFTER, b"%.3f" % retry_after))
    if status == 401:
        headers.append((b"www-authenticate", b"Token"))
    return headers
