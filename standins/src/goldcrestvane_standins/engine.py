"""Stand-in for a model engine; see docs/reference/platform.md."""

import uuid
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import final

import msgspec
import trio
from absl import flags

from goldcrestvane_common.errors import InvalidRequest, NotFound
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
    StreamResponse,
)
from goldcrestvane_standins.answers import ResponseDropped
from goldcrestvane_standins.batch import Batch, BatchSettings
from goldcrestvane_standins.commands import (
    CommandExecutor,
    CommandRequest,
    ReleaseRequest,
)
from goldcrestvane_standins.completions import (
    END_OF_STREAM,
    CompletionRequest,
    build_run,
    encode_chunk,
    encode_completion,
    encode_last_chunk,
)
from goldcrestvane_standins.lag import LaggedValue
from goldcrestvane_standins.prefixes import PrefixCache
from goldcrestvane_standins.programs import run_standin
from goldcrestvane_standins.runs import Message, Run, RunState

STREAM_PATH = "/v1/streams/"
EXPORT_PATH = "/v1/cache/export/"

_SLOTS = flags.DEFINE_integer(
    "slots", 8, "Maximum number of concurrent runs.", lower_bound=1
)
_TOKEN_SECONDS = flags.DEFINE_float(
    "token-seconds", 0.005, "Seconds to generate a token."
)
_PREFILL_TOKEN_SECONDS = flags.DEFINE_float(
    "prefill-token-seconds", 0.0002, "Seconds to process an uncached prompt token."
)
_CACHE_TOKENS = flags.DEFINE_integer(
    "cache-tokens", 100_000, "Capacity of the prefix cache in tokens."
)
_STREAM_RETENTION_SECONDS = flags.DEFINE_float(
    "stream-keep-seconds", 60.0, "Seconds for which a finished stream can be read."
)
_LOAD_LAG = flags.DEFINE_float(
    "load-lag", 0.0, "Seconds by which the reported load lags behind."
)
_EVENT_LAG = flags.DEFINE_float(
    "event-lag", 0.0, "Seconds by which cache events are delayed."
)
_EVENT_GAP_EVERY = flags.DEFINE_integer(
    "event-gap-every", 0, "Omit every N-th cache event; 0 omits none."
)
_FENCED = flags.DEFINE_bool(
    "fenced", False, "Whether commands with outdated fences fail."
)


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of an engine.

    Attributes:
        batch: Size and speed of the batch.
        cache_tokens: Capacity of the prefix cache in tokens.
        load_lag: Delay with which the engine reports its load, in seconds.
        event_lag: Delay with which the engine reports cache events, in seconds.
        event_gap_every: The engine omits every N-th cache event; 0 omits none.
        fenced: Whether the engine rejects commands with outdated fences.
    """

    batch: BatchSettings
    cache_tokens: int = 100_000
    load_lag: float = 0.0
    event_lag: float = 0.0
    event_gap_every: int = 0
    fenced: bool = False


class CacheContent(msgspec.Struct, frozen=True):
    """Cached words of a session, as exported to another engine."""

    session: str
    words: tuple[str, ...]


class Load(msgspec.Struct, frozen=True):
    """Load that an engine reports."""

    running: int
    queued: int
    slots: int
    cached_tokens: int
    cache_capacity_tokens: int
    incarnation: str


class RecordedRun(msgspec.Struct, frozen=True):
    """Record of one run.

    Attributes:
        stream_id: Id of the run's stream.
        session: Session whose cached prefix the run updates.
        messages: Messages of the prompt.
        time: Creation time in seconds since 1970.
        state: State of the run.
        tokens: Number of prompt tokens and tokens generated so far.
    """

    stream_id: str
    session: str | None
    messages: tuple[Message, ...]
    time: float
    state: RunState
    tokens: int


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults injected into completions.

    Attributes:
        delay: Seconds before each completion is queued.
        hang: Number of upcoming completions that are neither run nor answered.
        cut_streams_after: Number of tokens after which the engine closes the
            connection of a stream; 0 disables the fault.
    """

    delay: float = 0.0
    hang: int = 0
    cut_streams_after: int = 0


@final
class Engine:
    """Serves a batch and a prefix cache over HTTP."""

    def __init__(self, settings: EngineSettings, nursery: trio.Nursery) -> None:
        self._settings = settings
        self._faults = Faults()
        self._incarnation = uuid.uuid4().hex
        self._commands = CommandExecutor(fenced=settings.fenced)
        self._cache = PrefixCache(
            capacity=settings.cache_tokens,
            event_lag=settings.event_lag,
            gap_every=settings.event_gap_every,
        )
        self._batch = Batch(
            settings.batch,
            self._cache,
            nursery=nursery,
            on_change=self._record_load,
        )
        self._load = LaggedValue(self._measure_load(), lag=settings.load_lag)

    def build_router(self) -> Router:
        """Returns the routes."""
        router = Router()
        router.add("POST", "/v1/chat/completions", self._complete)
        router.add("GET", STREAM_PATH, self._resume)
        router.add("DELETE", STREAM_PATH, self._cancel)
        router.add("GET", "/v1/load", self._get_load)
        router.add("GET", "/v1/cache", self._get_cache)
        router.add("GET", "/v1/cache/events", self._get_events)
        router.add("POST", "/v1/cache/release", self._release)
        router.add("GET", EXPORT_PATH, self._export)
        router.add("POST", "/v1/cache/import", self._import)
        router.add("POST", "/v1/orders", self._execute_command)
        router.add("GET", "/control/record", self._get_record)
        router.add("GET", "/control/orders", self._get_commands)
        router.add("PUT", "/control/faults", self._put_faults)
        return router

    async def _complete(self, request: Request) -> Response:
        body = request.decode(CompletionRequest)
        if self._faults.hang > 0:
            self._faults.hang -= 1
            await trio.sleep_forever()
        await trio.sleep(self._faults.delay)
        run = build_run(body)
        self._batch.start(run)
        if body.stream:
            return StreamResponse(chunks=self._stream(run, 0))
        await run.wait_until_finished()
        return JsonResponse(value=encode_completion(run))

    async def _stream(self, run: Run, offset: int) -> AsyncIterator[bytes]:
        cut_after = self._faults.cut_streams_after
        sent = 0
        async with aclosing(run.read_tokens(offset)) as tokens:
            async for token in tokens:
                yield encode_chunk(run, token)
                sent += 1
                if sent == cut_after:
                    raise ResponseDropped("The stream is cut off on purpose.")
        yield encode_last_chunk(run)
        yield END_OF_STREAM

    async def _resume(self, request: Request) -> Response:
        run = self._find_run(request)
        offset = _parse_count(request, "offset")
        return StreamResponse(chunks=self._stream(run, offset))

    async def _cancel(self, request: Request) -> Response:
        run = self._find_run(request)
        run.cancel_scope.cancel()
        await run.wait_until_finished()
        return JsonResponse(value={"stream_id": run.stream_id, "state": run.state})

    def _find_run(self, request: Request) -> Run:
        stream_id = request.path.removeprefix(STREAM_PATH)
        run = self._batch.streams.get(stream_id)
        if run is None:
            raise NotFound(
                f"Stream {stream_id} does not exist or has expired.", field="path"
            )
        return run

    async def _get_load(self, request: Request) -> Response:
        return JsonResponse(value=self._load.get())

    def _record_load(self) -> None:
        self._load.set(self._measure_load())

    def _measure_load(self) -> Load:
        return Load(
            running=self._batch.count(RunState.RUNNING),
            queued=self._batch.count(RunState.QUEUED),
            slots=self._settings.batch.slots,
            cached_tokens=self._cache.tokens,
            cache_capacity_tokens=self._cache.capacity,
            incarnation=self._incarnation,
        )

    async def _get_cache(self, request: Request) -> Response:
        return JsonResponse(value=self._cache.take_snapshot())

    async def _get_events(self, request: Request) -> Response:
        since = _parse_count(request, "since")
        return JsonResponse(value=self._cache.list_events(since))

    async def _release(self, request: Request) -> Response:
        body = request.decode(ReleaseRequest)
        self._commands.release(body)
        tokens = self._cache.release(body.session)
        self._record_load()
        return JsonResponse(value={"session": body.session, "tokens": tokens})

    async def _export(self, request: Request) -> Response:
        session = request.path.removeprefix(EXPORT_PATH)
        words = self._cache.find(session)
        if words is None:
            raise NotFound(f"Session {session} has no cached prefix.", field="path")
        return JsonResponse(value=CacheContent(session, words))

    async def _import(self, request: Request) -> Response:
        content = request.decode(CacheContent)
        self._cache.store(content.session, content.words)
        self._record_load()
        tokens = len(content.words)
        return JsonResponse(value={"session": content.session, "tokens": tokens})

    async def _execute_command(self, request: Request) -> Response:
        command = request.decode(CommandRequest)
        self._commands.execute(command)
        return JsonResponse(value=command)

    async def _get_commands(self, request: Request) -> Response:
        return JsonResponse(value=self._commands.get_record())

    async def _get_record(self, request: Request) -> Response:
        return JsonResponse(
            value=[_build_recorded_run(run) for run in self._batch.runs]
        )

    async def _put_faults(self, request: Request) -> Response:
        self._faults = request.decode(Faults)
        return JsonResponse(value=self._faults)


def _build_recorded_run(run: Run) -> RecordedRun:
    return RecordedRun(
        stream_id=run.stream_id,
        session=run.session,
        messages=run.messages,
        time=run.created,
        state=run.state,
        tokens=len(run.prompt) + len(run.words),
    )


def _parse_count(request: Request, name: str) -> int:
    text = request.query.get(name, "0")
    if not text.isdecimal():
        raise InvalidRequest(
            f"{name} is {text!r}; it must be a non-negative integer.", field=name
        )
    return int(text)


def build_router(nursery: trio.Nursery) -> Router:
    """Returns the routes of an engine that is configured by the flags."""
    batch = BatchSettings(
        slots=_SLOTS.value,
        token_seconds=_TOKEN_SECONDS.value,
        prefill_token_seconds=_PREFILL_TOKEN_SECONDS.value,
        stream_retention_seconds=_STREAM_RETENTION_SECONDS.value,
    )
    settings = EngineSettings(
        batch=batch,
        cache_tokens=_CACHE_TOKENS.value,
        load_lag=_LOAD_LAG.value,
        event_lag=_EVENT_LAG.value,
        event_gap_every=_EVENT_GAP_EVERY.value,
        fenced=_FENCED.value,
    )
    return Engine(settings, nursery).build_router()


if __name__ == "__main__":
    run_standin("engine", build_router)
