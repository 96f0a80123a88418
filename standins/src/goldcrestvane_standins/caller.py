"""A client of the system that runs the calls of one program in order.

The client sends each attempt to the next entry in round-robin order. It retries a call
under the same sequence number when the connection broke, the call was not run or its
answer is incomplete, after the delay that the error names.
"""

import dataclasses
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.errors import Outcome, ServiceError, decode_error
from goldcrestvane_common.transport import (
    ClientResponse,
    ConnectFailed,
    ExchangeBroken,
    Transport,
)

MAX_ATTEMPTS = 12
RETRY_DELAY_SECONDS = 0.2
EVENT_PREFIX = b"data: "
DONE_EVENT = b"[DONE]"


@final
@dataclass(frozen=True, kw_only=True)
class CallResult:
    """Result of one call, after all attempts.

    Attributes:
        sequence: Sequence number of the call within the program.
        text: Answer of a model, or the JSON result of a tool as text.
        usage: Token counts of a model call.
        headers: Headers of the response.
        seconds: Time from the first attempt to the result.
        attempts: Number of times that the call was sent.
        error: Error of the last attempt, or None if the call succeeded.
    """

    sequence: int
    text: str = ""
    usage: dict[str, Any] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    seconds: float = 0.0
    attempts: int = 1
    error: ServiceError | None = None


@final
class Caller:
    """Runs one program against the entries of a deployment.

    Attributes:
        sequence: Sequence number of the next call.
    """

    def __init__(
        self,
        transport: Transport,
        entries: Sequence[str],
        *,
        team: str,
        program: str,
        timeout: float = 30.0,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self._transport = transport
        self._entries = itertools.cycle(entries)
        self._team = team
        self._program = program
        self._timeout = timeout
        self._max_attempts = max_attempts
        self.sequence = 1
        self._last_abandoned = 0

    async def begin(self, kind: str, **budget: float) -> None:
        """Begins the program."""
        body = {"program": self._program, "kind": kind}
        if budget:
            body["budget"] = budget
        await self._send_with_retries("/v1/programs/begin", body)

    async def end(self) -> None:
        """Ends the program."""
        await self._send_with_retries("/v1/programs/end", {"program": self._program})

    async def chat(
        self, service: str, text: str, *, max_tokens: int = 64, stream: bool = False
    ) -> CallResult:
        """Calls a model with one new user message."""
        body = {
            "model": service,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        return await self._call("/v1/chat/completions", body, stream=stream)

    async def use_tool(
        self, service: str, operation: str, value: Any = None
    ) -> CallResult:
        """Calls a tool."""
        path = f"/v1/tools/{service}/{operation}"
        return await self._call(path, value, stream=False)

    async def _call(self, path: str, body: Any, *, stream: bool) -> CallResult:
        sequence = self.sequence
        started = trio.current_time()
        for attempts in itertools.count(1):
            try:
                result = await self._send_call(path, body, sequence, stream=stream)
            except (ConnectFailed, ExchangeBroken) as failure:
                if attempts >= self._max_attempts:
                    raise failure
                await trio.sleep(RETRY_DELAY_SECONDS)
                continue
            except ServiceError as error:
                is_retryable = error.call_outcome in (
                    Outcome.NOT_RUN,
                    Outcome.INCOMPLETE,
                )
                if is_retryable and attempts < self._max_attempts:
                    await trio.sleep(error.retry_after or RETRY_DELAY_SECONDS)
                    continue
                result = CallResult(sequence=sequence, error=error)
            if result.error is None or result.error.call_outcome is Outcome.UNKNOWN:
                self.sequence += 1
            if result.error is not None:
                self._last_abandoned = sequence
            seconds = trio.current_time() - started
            return dataclasses.replace(result, seconds=seconds, attempts=attempts)
        raise AssertionError("unreachable")

    async def _send_call(
        self, path: str, body: Any, sequence: int, *, stream: bool
    ) -> CallResult:
        headers = {"goldcrestvane-sequence": str(sequence)}
        if self._last_abandoned:
            headers["goldcrestvane-abandoned"] = str(self._last_abandoned)
        if stream:
            return await self._read_stream(path, body, sequence, headers)
        response = await self._send(path, body, headers)
        value = response.decode(Any)
        result = CallResult(sequence=sequence, headers=dict(response.headers))
        if path.startswith("/v1/tools/"):
            text = msgspec.json.encode(value).decode()
            return dataclasses.replace(result, text=text)
        text = value["choices"][0]["message"]["content"]
        return dataclasses.replace(result, text=text, usage=value["usage"])

    async def _read_stream(
        self, path: str, body: Any, sequence: int, headers: dict[str, str]
    ) -> CallResult:
        async with self._transport.stream(
            "POST",
            next(self._entries),
            path,
            value=body,
            headers=self._build_headers(headers),
            timeout=self._timeout + 5.0,
        ) as response:
            if response.status >= 400:
                raise decode_error(await response.read())
            data = await response.read()
        text, usage = _parse_events(data)
        return CallResult(
            sequence=sequence, text=text, usage=usage, headers=dict(response.headers)
        )

    async def _send(
        self, path: str, body: Any, headers: dict[str, str]
    ) -> ClientResponse:
        return await self._transport.send(
            "POST",
            next(self._entries),
            path,
            value=body,
            headers=self._build_headers(headers),
            timeout=self._timeout + 5.0,
        )

    def _build_headers(self, headers: dict[str, str]) -> dict[str, str]:
        return {
            "goldcrestvane-team": self._team,
            "goldcrestvane-program": self._program,
            "goldcrestvane-timeout": str(self._timeout),
            **headers,
        }

    async def _send_with_retries(self, path: str, body: Any) -> None:
        for _ in range(MAX_ATTEMPTS):
            try:
                response = await self._send(path, body, {})
                response.decode(Any)
                return
            except (ConnectFailed, ExchangeBroken):
                await trio.sleep(RETRY_DELAY_SECONDS)
            except ServiceError as error:
                if error.call_outcome is Outcome.REFUSED_FINAL:
                    raise
                await trio.sleep(error.retry_after or RETRY_DELAY_SECONDS)
        raise RuntimeError(f"{path} still failed after {MAX_ATTEMPTS} attempts.")


def _parse_events(data: bytes) -> tuple[str, dict[str, int]]:
    """Returns the text and the token usage of a complete event stream.

    Raises:
        ServiceError: The stream contains an error event.
        ExchangeBroken: The stream ended before the [DONE] event.
    """
    parts: list[str] = []
    usage: dict[str, Any] = {}
    # What follows the last blank line is no whole event.
    whole_events = data.rpartition(b"\n\n")[0]
    for line in whole_events.split(b"\n"):
        if not line.startswith(EVENT_PREFIX):
            continue
        event = line.removeprefix(EVENT_PREFIX).strip()
        if event == DONE_EVENT:
            return "".join(parts), usage
        value = msgspec.json.decode(event)
        if "error" in value:
            raise decode_error(event)
        usage = value.get("usage") or usage
        for choice in value.get("choices", []):
            parts.append(choice.get("delta", {}).get("content") or "")
    raise ExchangeBroken("The event stream ended before the [DONE] event.")
