"""Sends a request to the entries until its outcome is final, as a caller should."""

import itertools
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import Outcome, ServiceError, decode_error
from goldcrestvane_common.trace import TraceRecord
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Transport
from trace_replay.bodies import build_body

MAX_ATTEMPTS = 40
RETRY_DELAY_SECONDS = 0.2
REPLY_TIMEOUT_SECONDS = 150.0
COMPLETE = "complete"
UNANSWERED = "unanswered"
DONE_EVENT = b"data: [DONE]"
ERROR_EVENT = b"event: error"

RETRIED_OUTCOMES = {Outcome.NOT_RUN, Outcome.INCOMPLETE}


@final
@dataclass(frozen=True, kw_only=True)
class RequestResult:
    """Result of one request.

    Attributes:
        record: Trace record of the request.
        outcome: ``complete``, ``unanswered`` after `MAX_ATTEMPTS` attempts, or the kind
            of the final error.
        seconds: Time from the first attempt to the final outcome.
        attempts: Number of attempts.
    """

    record: TraceRecord
    outcome: str
    seconds: float
    attempts: int


@final
class Sender:
    """Sends requests to the entries of a deployment in rotation."""

    def __init__(
        self, transport: Transport, entries: Sequence[str], *, tokens: dict[str, str]
    ) -> None:
        self._transport = transport
        self._entries = itertools.cycle(entries)
        self._tokens = tokens

    async def send(self, record: TraceRecord) -> RequestResult:
        """Sends a request until its outcome is final."""
        started = trio.current_time()
        content = build_body(record)
        headers = self._build_headers(record)
        attempts = 0
        outcome = None
        while outcome is None and attempts < MAX_ATTEMPTS:
            attempts += 1
            outcome = await self._attempt(record, content, headers)
        return RequestResult(
            record=record,
            outcome=outcome or UNANSWERED,
            seconds=trio.current_time() - started,
            attempts=attempts,
        )

    async def _attempt(
        self, record: TraceRecord, content: bytes, headers: dict[str, str]
    ) -> str | None:
        """Returns a final outcome, or None after the delay before the next attempt."""
        try:
            await self._exchange(record, content, headers)
        except (ConnectFailed, ExchangeBroken):
            await trio.sleep(RETRY_DELAY_SECONDS)
            return None
        except ServiceError as error:
            if error.call_outcome not in RETRIED_OUTCOMES:
                return error.kind
            await trio.sleep(error.retry_after or RETRY_DELAY_SECONDS)
            return None
        return COMPLETE

    async def _exchange(
        self, record: TraceRecord, content: bytes, headers: dict[str, str]
    ) -> None:
        response = await self._transport.send(
            record.method,
            next(self._entries),
            record.path,
            content=content,
            headers=headers,
            timeout=REPLY_TIMEOUT_SECONDS,
        )
        if response.status >= 400:
            _raise_error(response.status, response.body)
        if "event-stream" in response.headers.get("content-type", ""):
            _check_stream(response.body)

    def _build_headers(self, record: TraceRecord) -> dict[str, str]:
        token = self._tokens.get(record.team)
        headers = {
            "goldcrestvane-team": record.team,
            "goldcrestvane-program": record.program,
            "goldcrestvane-sequence": record.sequence,
            "goldcrestvane-timeout": record.timeout,
            "authorization": f"Bearer {token}" if token else "",
        }
        return {name: value for name, value in headers.items() if value}


def _raise_error(status: int, body: bytes) -> None:
    with suppress(msgspec.DecodeError):
        raise decode_error(body)
    raise ExchangeBroken(f"Got status {status} without an error body.")


def _check_stream(body: bytes) -> None:
    """Raises the error of a stream that did not end as it should.

    Raises:
        ServiceError: The stream has an error event.
        ExchangeBroken: The stream has no end mark.
    """
    for event in body.split(b"\n\n"):
        if event.startswith(ERROR_EVENT):
            raise decode_error(event.split(b"data: ", 1)[1])
    if DONE_EVENT not in body:
        raise ExchangeBroken("The stream has no end mark.")
