"""Sends one attempt of a call and reads the whole answer."""

from collections.abc import Mapping
from typing import Any

import msgspec

from bench.checker.records import MARKER_PATTERN, AttemptOutcome
from goldcrestvane_common.errors import ServiceError, decode_error
from goldcrestvane_common.transport import (
    ConnectFailed,
    ExchangeBroken,
    Transport,
)

EVENT_PREFIX = b"data: "
DONE_EVENT = b"[DONE]"


class CallPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Request that a caller sends in each attempt of a call.

    Attributes:
        path: Path of the request.
        body: JSON body.
        at_most_once: Whether the call is a tool operation that must not be repeated.
        stream: Whether the answer is a stream of events.
        is_program_request: Whether the request begins or ends a program, so that its
            answer has no content.
    """

    path: str
    body: Any
    at_most_once: bool = False
    stream: bool = False
    is_program_request: bool = False


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one attempt, with the fields of `bench.checker.records.Attempt`.

    Attributes:
        kind: Kind of the error.
        retry_after: Seconds to wait before the next attempt, if the error names a time.
    """

    outcome: AttemptOutcome
    text: str = ""
    finish_reason: str = ""
    completion_tokens: int = 0
    result: str = ""
    effect: int = 0
    error: str = ""
    kind: str = ""
    retry_after: float | None = None


async def send_attempt(
    transport: Transport,
    peer: str,
    call: CallPlan,
    headers: Mapping[str, str],
    *,
    timeout: float,
) -> AttemptResult:
    """Sends one attempt and returns its result, also if the exchange fails."""
    try:
        async with transport.stream(
            "POST", peer, call.path, value=call.body, headers=headers, timeout=timeout
        ) as response:
            data = await response.read()
            if response.status >= 400:
                raise decode_error(data)
        return _decode_answer(call, data)
    except ServiceError as error:
        return _build_error_result(error)
    except ConnectFailed as error:
        return AttemptResult(outcome=AttemptOutcome.NOT_CONNECTED, error=str(error))
    except (ExchangeBroken, msgspec.DecodeError) as error:
        return AttemptResult(outcome=AttemptOutcome.BROKEN, error=str(error))


def _build_error_result(error: ServiceError) -> AttemptResult:
    return AttemptResult(
        outcome=AttemptOutcome(error.call_outcome.value),
        error=f"{error.kind}: {error.message}",
        kind=error.kind,
        retry_after=error.retry_after,
    )


def _decode_answer(call: CallPlan, data: bytes) -> AttemptResult:
    if call.is_program_request:
        return AttemptResult(outcome=AttemptOutcome.ANSWERED)
    if call.stream:
        return _decode_events(data)
    value = msgspec.json.decode(data)
    if "choices" not in value:
        return AttemptResult(
            outcome=AttemptOutcome.ANSWERED,
            result=value["result"]["marker"],
            effect=value["effect"],
        )
    choice = value["choices"][0]
    return AttemptResult(
        outcome=AttemptOutcome.ANSWERED,
        text=choice["message"]["content"],
        finish_reason=choice["finish_reason"],
        completion_tokens=value["usage"]["completion_tokens"],
    )


def _decode_events(data: bytes) -> AttemptResult:
    """Returns the answer of a whole event stream.

    Raises:
        ServiceError: The stream ends with an error event.
        ExchangeBroken: The stream has no end mark.
    """
    parts: list[str] = []
    tokens = 0
    reason = ""
    for line in data.split(b"\n"):
        event = line.removeprefix(EVENT_PREFIX).strip()
        if event == DONE_EVENT:
            return AttemptResult(
                outcome=AttemptOutcome.ANSWERED,
                text="".join(parts),
                finish_reason=reason,
                completion_tokens=tokens,
            )
        if not line.startswith(EVENT_PREFIX):
            continue
        value = msgspec.json.decode(event)
        if "error" in value:
            raise decode_error(event)
        choice = value["choices"][0]
        parts.append(choice["delta"].get("content") or "")
        reason = choice.get("finish_reason") or reason
        tokens = (value.get("usage") or {}).get("completion_tokens", tokens)
    raise ExchangeBroken("The event stream has no end mark.")


def build_marker(team: str, program: str, sequence: int) -> str:
    """Returns the marker of a call."""
    marker = f"<<{team}:{program}:{sequence}>>"
    assert MARKER_PATTERN.fullmatch(marker)
    return marker
