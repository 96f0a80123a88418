"""Client of a model engine: chat completions, resumed streams, cache and load."""

from collections.abc import AsyncIterator
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    OutcomeUnknown,
    ServiceError,
    TargetDied,
    Unavailable,
)
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    DispatchRequest,
    Message,
    TokenUsage,
)
from goldcrestvane_common.settings import Priority
from goldcrestvane_common.transport import (
    ClientResponse,
    ConnectFailed,
    ExchangeBroken,
    StreamedClientResponse,
    Transport,
)
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.target.one_call import ONE_CALL_HEADERS

MAX_STREAM_RESUMES = 3
RESUME_DELAY_SECONDS = 0.1
LOAD_INTERVAL_SECONDS = 1.0
MAX_EVENT_BYTES = 1024 * 1024
EVENT_PREFIX = b"data: "
END_MARK = b"[DONE]"
ENGINE_PRIORITIES = {
    Priority.INTERACTIVE: 0,
    Priority.STANDARD: 1,
    Priority.BATCH: 2,
}

logger = get_logger("engine")


class _Delta(msgspec.Struct, frozen=True):
    content: str = ""


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()
    message: Message | None = None
    finish_reason: str | None = None


class _Completion(msgspec.Struct):
    choices: list[_Choice] = []
    usage: TokenUsage | None = None


class _CompletionRequest(msgspec.Struct):
    model: str
    messages: list[Message]
    stream: bool
    max_tokens: int
    priority: int
    stream_id: str
    session: str


class _EngineLoad(msgspec.Struct):
    running: int
    queued: int
    slots: int
    cached_tokens: int
    cache_capacity_tokens: int
    incarnation: str


class CacheListing(msgspec.Struct, frozen=True):
    """Sessions with cached prefixes in the engine, and their numbers of tokens."""

    sequence: int
    sessions: dict[str, int]


class SessionReleaseRequest(msgspec.Struct, frozen=True):
    """Request to free the cached prefixes of a session."""

    session: str
    fence: int


@final
class _StreamLost(Exception):
    """The engine does not have the stream that was to be resumed."""


@final
class _StreamProgress:
    """Progress of reading a stream of the engine."""

    def __init__(self) -> None:
        self.tokens = 0
        self.usage: TokenUsage | None = None
        self.is_complete = False
        self.is_broken = False
        self.finish_reason = "stop"


@final
class EngineClient:
    """Client of the engine beside this sidecar.

    Attributes:
        incarnation: Id that changes with each start of the engine; empty until known.
        cached_tokens: Last reported number of tokens in the prefix cache.
        cache_capacity_tokens: Capacity of the prefix cache.
    """

    def __init__(self, transport: Transport, peer: str) -> None:
        self._transport = transport
        self._peer = peer
        self.incarnation = ""
        self.cached_tokens = 0
        self.cache_capacity_tokens = 0

    async def run_call(self, request: DispatchRequest, execution: Execution) -> None:
        """Runs a model call and adds its text to the execution as it arrives.

        Raises:
            Unavailable: The engine cannot be reached; the call did not run.
            AnswerIncomplete: The stream broke and cannot be resumed.
            TargetDied: The engine died while it ran the call.
        """
        progress = _StreamProgress()
        incarnation = self.incarnation
        for attempt in range(MAX_STREAM_RESUMES + 1):
            try:
                await self._read_stream(request, execution, progress)
            except ConnectFailed as error:
                if attempt == 0:
                    raise Unavailable(
                        f"The engine refused the connection: {error}. Send it again.",
                        retry_after=1.0,
                    ) from error
                raise _build_target_died() from error
            except _StreamLost as error:
                raise await self._classify_loss(incarnation) from error
            except ExchangeBroken:
                progress.is_broken = True
            if progress.is_complete:
                text = execution.get_text()
                answer = msgspec.Raw(msgspec.json.encode(text))
                execution.finish(
                    answer,
                    progress.usage or TokenUsage(),
                    finish_reason=progress.finish_reason,
                )
                return
            await trio.sleep(RESUME_DELAY_SECONDS * attempt)
        raise _build_incomplete()

    async def _classify_loss(self, incarnation: str) -> ServiceError:
        """Returns the error for a lost stream: the engine crashed or dropped it."""
        try:
            await self.refresh_load()
        except (ConnectFailed, ExchangeBroken):
            return _build_target_died()
        if incarnation and incarnation != self.incarnation:
            return _build_target_died()
        return _build_incomplete()

    async def _read_stream(
        self, request: DispatchRequest, execution: Execution, progress: _StreamProgress
    ) -> None:
        timeout = request.deadline_seconds
        if not progress.is_broken:
            exchange = self._transport.stream(
                "POST",
                self._peer,
                "/v1/chat/completions",
                value=_build_completion_request(request),
                headers=ONE_CALL_HEADERS,
                timeout=timeout,
                allow_unframed=True,
            )
        else:
            path = f"/v1/streams/{request.call}?offset={progress.tokens}"
            exchange = self._transport.stream(
                "GET",
                self._peer,
                path,
                headers=ONE_CALL_HEADERS,
                timeout=timeout,
                allow_unframed=True,
            )
        async with exchange as response:
            await _check_status(response)
            async for data in read_events(response.iterate()):
                _apply_event(data, execution, progress)
        progress.is_broken = not progress.is_complete

    async def cancel_stream(self, stream_id: str) -> None:
        """Cancels a stream to free its slot; failures are ignored."""
        try:
            await self._transport.send(
                "DELETE",
                self._peer,
                f"/v1/streams/{stream_id}",
                allow_unframed=True,
            )
        except (ConnectFailed, ExchangeBroken):
            return

    async def refresh_load(self) -> None:
        """Reads the engine's incarnation and its load, which is reported late."""
        response = await self._transport.send(
            "GET", self._peer, "/v1/load", timeout=1.0, allow_unframed=True
        )
        load = response.decode(_EngineLoad)
        self.incarnation = load.incarnation
        self.cached_tokens = load.cached_tokens
        self.cache_capacity_tokens = load.cache_capacity_tokens

    async def poll_load(self) -> None:
        """Refreshes the load until cancelled."""
        while True:
            try:
                await self.refresh_load()
            except (ConnectFailed, ExchangeBroken, msgspec.DecodeError) as error:
                logger.debug("cannot read the load of the engine: %s", error)
            await trio.sleep(LOAD_INTERVAL_SECONDS)

    async def list_sessions(self) -> CacheListing:
        """Returns the sessions with cached prefixes in the engine."""
        response = await self._transport.send(
            "GET", self._peer, "/v1/cache", allow_unframed=True
        )
        return response.decode(CacheListing)

    async def release_session(self, session: str, *, fence: int) -> ClientResponse:
        """Requests that the engine frees a session; status 409 means a stale fence."""
        return await self._transport.send(
            "POST",
            self._peer,
            "/v1/cache/release",
            value=SessionReleaseRequest(session, fence),
            allow_unframed=True,
        )


def build_session(request: DispatchRequest) -> str:
    """Returns the engine's session id of a program."""
    return f"{request.team}/{request.program}"


def _build_target_died() -> TargetDied:
    return TargetDied(
        "The engine died while it ran the call. Send it again.", retry_after=0.5
    )


def _build_incomplete() -> AnswerIncomplete:
    return AnswerIncomplete(
        "The engine's response broke off. Send the call again.", retry_after=0.5
    )


def _build_completion_request(request: DispatchRequest) -> _CompletionRequest:
    assert request.model is not None
    return _CompletionRequest(
        model=request.service,
        messages=request.model.messages,
        stream=True,
        max_tokens=request.model.max_tokens,
        priority=ENGINE_PRIORITIES[request.priority],
        stream_id=request.call,
        session=build_session(request),
    )


async def _check_status(response: StreamedClientResponse) -> None:
    if response.status < 400:
        return
    body = await response.read()
    if response.status in (429, 503):
        raise Unavailable(
            f"The engine rejected the call with status {response.status}. Send it again.",
            retry_after=1.0,
        )
    if response.status == 404:
        raise _StreamLost
    raise OutcomeUnknown(
        f"The engine returned status {response.status}: {body[:200]!r}. "
        "Check the request."
    )


def _apply_event(data: bytes, execution: Execution, progress: _StreamProgress) -> None:
    if data == END_MARK:
        progress.is_complete = progress.usage is not None
        return
    try:
        event = msgspec.json.decode(data, type=_Completion)
    except msgspec.DecodeError as error:
        raise ExchangeBroken(f"Malformed event: {error}.") from error
    if event.usage is not None:
        progress.usage = event.usage
    for choice in event.choices:
        progress.finish_reason = choice.finish_reason or progress.finish_reason
        if choice.delta.content:
            progress.tokens += 1
            execution.add_text(choice.delta.content)


async def read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yields the data of the server-sent events in a stream.

    An event ends with a blank line. A stream that ends before that has been cut off.

    Raises:
        ExchangeBroken: The stream ends in the middle of an event, or an event has more
            than `MAX_EVENT_BYTES` bytes.
    """
    rest = bytearray()
    data: list[bytes] = []
    size = 0
    async for chunk in chunks:
        size += len(chunk)
        rest += chunk
        *lines, rest = rest.split(b"\n") if b"\n" in chunk else [rest]
        for line in lines:
            if line.startswith(EVENT_PREFIX):
                data.append(bytes(line[len(EVENT_PREFIX) :].strip()))
            elif not line.strip():
                if data:
                    yield b"\n".join(data)
                data, size = [], len(rest)
        if size > MAX_EVENT_BYTES:
            raise ExchangeBroken(
                f"Got {size} bytes of an event without its end, expected at most "
                f"{MAX_EVENT_BYTES}."
            )
    if rest or data:
        raise ExchangeBroken("The stream ended in the middle of an event.")
