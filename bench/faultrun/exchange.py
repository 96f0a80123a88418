"""Sends one attempt of a call and reads all of its answer."""

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
    """What a caller asks for in one call.

    Attributes:
        path: Path of the request.
        body: JSON body.
        once: Whether it is a tool operation that must not be repeated.
        stream: Whether the answer is a stream of events.
        is_order: Whether it begins or ends a program; the answer has no content.
    """

    path: str
    body: Any
    once: bool = False
    stream: bool = False
    is_order: bool = False


class Ending(msgspec.Struct, frozen=True, kw_only=True):
    """How one attempt ended, in the terms of `bench.checker.records.Attempt`."""

    outcome: AttemptOutcome
    text: str = ""
    finish_reason: str = ""
    completion_tokens: int = 0
    result: str = ""
    effect: int = 0
    error: str = ""
    kind: str = ""
    retry_after: float | None = None


async def exchange(
    transport: Transport,
    peer: str,
    call: CallPlan,
    headers: Mapping[str, str],
    *,
    timeout: float,
) -> Ending:
    """Returns how an attempt ended; raises nothing for failures of the exchange."""
    try:
        async with transport.stream(
            "POST", peer, call.path, value=call.body, headers=headers, timeout=timeout
        ) as reply:
            data = await reply.read()
            if reply.status >= 400:
                raise decode_error(data)
        return _read_answer(call, data)
    except ServiceError as error:
        return _describe_error(error)
    except ConnectFailed as error:
        return Ending(outcome=AttemptOutcome.NOT_CONNECTED, error=str(error))
    except (ExchangeBroken, msgspec.DecodeError) as error:
        return Ending(outcome=AttemptOutcome.BROKEN, error=str(error))


def _describe_error(error: ServiceError) -> Ending:
    return Ending(
        outcome=AttemptOutcome(error.call_outcome.value),
        error=f"{error.kind}: {error.message}",
        kind=error.kind,
        retry_after=error.retry_after,
    )


def _read_answer(call: CallPlan, data: bytes) -> Ending:
    if call.is_order:
        return Ending(outcome=AttemptOutcome.ANSWERED)
    if call.stream:
        return _read_events(data)
    value = msgspec.json.decode(data)
    if "choices" not in value:
        return Ending(
            outcome=AttemptOutcome.ANSWERED,
            result=value["result"]["marker"],
            effect=value["effect"],
        )
    choice = value["choices"][0]
    return Ending(
        outcome=AttemptOutcome.ANSWERED,
        text=choice["message"]["content"],
        finish_reason=choice["finish_reason"],
        completion_tokens=value["usage"]["completion_tokens"],
    )


def _read_events(data: bytes) -> Ending:
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
            return Ending(
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
