"""A caller of the system: one program, its calls in order, with sensible retries.

It goes round its entries, repeats a call under the same sequence when the connection
broke or the call was not run, and comes back when it is told to.
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
    ConnectFailed,
    ExchangeBroken,
    Reply,
    Transport,
)

MAX_SENDS = 12
PAUSE_SECONDS = 0.2
EVENT_PREFIX = b"data: "
DONE_EVENT = b"[DONE]"


@final
@dataclass(frozen=True, kw_only=True)
class CallResult:
    """What a caller knows of one call in the end.

    Attributes:
        sequence: Position among the program's calls.
        text: Answer of a model, or the tool's JSON as text.
        usage: Token counts of a model call.
        headers: Headers of the answer.
        seconds: Time from the first send to the end.
        sends: Number of times that the call was sent.
        error: Final error, if there is no answer.
    """

    sequence: int
    text: str = ""
    usage: dict[str, Any] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    seconds: float = 0.0
    sends: int = 1
    error: ServiceError | None = None


@final
class Caller:
    """Runs one program against the entries of a deployment.

    Attributes:
        sequence: Sequence of the next call.
    """

    def __init__(
        self,
        transport: Transport,
        entries: Sequence[str],
        *,
        team: str,
        program: str,
        timeout: float = 30.0,
        max_sends: int = MAX_SENDS,
    ) -> None:
        self._transport = transport
        self._entries = itertools.cycle(entries)
        self._team = team
        self._program = program
        self._timeout = timeout
        self._max_sends = max_sends
        self.sequence = 1
        self._abandoned = 0

    async def begin(self, kind: str, **budget: float) -> None:
        """Begins the program."""
        body = {"program": self._program, "kind": kind}
        if budget:
            body["budget"] = budget
        await self._send_until_known("/v1/programs/begin", body)

    async def end(self) -> None:
        """Ends the program."""
        await self._send_until_known("/v1/programs/end", {"program": self._program})

    async def chat(
        self, service: str, text: str, *, max_tokens: int = 64, stream: bool = False
    ) -> CallResult:
        """Calls a model with one new message of the user."""
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
        for sends in itertools.count(1):
            try:
                result = await self._send_call(path, body, sequence, stream=stream)
            except (ConnectFailed, ExchangeBroken) as failure:
                if sends >= self._max_sends:
                    raise failure
                await trio.sleep(PAUSE_SECONDS)
                continue
            except ServiceError as error:
                repeat = error.call_outcome in (Outcome.NOT_RUN, Outcome.INCOMPLETE)
                if repeat and sends < self._max_sends:
                    await trio.sleep(error.retry_after or PAUSE_SECONDS)
                    continue
                result = CallResult(sequence=sequence, error=error)
            if result.error is None or result.error.call_outcome is Outcome.UNKNOWN:
                self.sequence += 1
            if result.error is not None:
                self._abandoned = sequence
            seconds = trio.current_time() - started
            return dataclasses.replace(result, seconds=seconds, sends=sends)
        raise AssertionError("unreachable")

    async def _send_call(
        self, path: str, body: Any, sequence: int, *, stream: bool
    ) -> CallResult:
        headers = {"goldcrestvane-sequence": str(sequence)}
        if self._abandoned:
            headers["goldcrestvane-abandoned"] = str(self._abandoned)
        if stream:
            return await self._read_stream(path, body, sequence, headers)
        reply = await self._send(path, body, headers)
        value = reply.decode(Any)
        result = CallResult(sequence=sequence, headers=dict(reply.headers))
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
        ) as reply:
            if reply.status >= 400:
                raise decode_error(await reply.read())
            data = await reply.read()
        text, usage = _parse_events(data)
        return CallResult(
            sequence=sequence, text=text, usage=usage, headers=dict(reply.headers)
        )

    async def _send(self, path: str, body: Any, headers: dict[str, str]) -> Reply:
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

    async def _send_until_known(self, path: str, body: Any) -> None:
        for _ in range(MAX_SENDS):
            try:
                reply = await self._send(path, body, {})
                reply.decode(Any)
                return
            except (ConnectFailed, ExchangeBroken):
                await trio.sleep(PAUSE_SECONDS)
            except ServiceError as error:
                if error.call_outcome is Outcome.REFUSED_FINAL:
                    raise
                await trio.sleep(error.retry_after or PAUSE_SECONDS)
        raise RuntimeError(f"{path} found no owner after {MAX_SENDS} sends.")


def _parse_events(data: bytes) -> tuple[str, dict[str, int]]:
    """Returns text and usage of a whole event stream.

    Raises:
        ServiceError: The stream ends with an error event.
        ExchangeBroken: The stream has no end mark.
    """
    parts: list[str] = []
    usage: dict[str, Any] = {}
    for line in data.split(b"\n"):
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
    raise ExchangeBroken("The event stream has no end mark.")
