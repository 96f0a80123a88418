"""Stand-in of a model engine; see docs/reference/platform.md."""

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
from goldcrestvane_standins.answers import AnswerLost
from goldcrestvane_standins.batch import Batch, BatchSettings
from goldcrestvane_standins.completions import (
    END_OF_STREAM,
    CompletionBody,
    build_run,
    encode_chunk,
    encode_completion,
    encode_last_chunk,
)
from goldcrestvane_standins.lag import LaggedValue
from goldcrestvane_standins.orders import OrderBody, OrderBook, ReleaseBody
from goldcrestvane_standins.prefixes import PrefixCache
from goldcrestvane_standins.programs import run_program
from goldcrestvane_standins.runs import Message, Run, RunState

STREAM_PATH = "/v1/streams/"
EXPORT_PATH = "/v1/cache/export/"

_SLOTS = flags.DEFINE_integer("slots", 8, "Runs at once.", lower_bound=1)
_TOKEN_SECONDS = flags.DEFINE_float("token-seconds", 0.005, "Seconds for a token.")
_PREFILL_TOKEN_SECONDS = flags.DEFINE_float(
    "prefill-token-seconds", 0.0002, "Seconds for a prompt token not in the cache."
)
_CACHE_TOKENS = flags.DEFINE_integer("cache-tokens", 100_000, "Tokens kept.")
_STREAM_KEEP_SECONDS = flags.DEFINE_float(
    "stream-keep-seconds", 60.0, "Seconds for which an ended stream can be read."
)
_LOAD_LAG = flags.DEFINE_float("load-lag", 0.0, "Seconds by which the load lags.")
_EVENT_LAG = flags.DEFINE_float("event-lag", 0.0, "Seconds by which events lag.")
_EVENT_GAP_EVERY = flags.DEFINE_integer(
    "event-gap-every", 0, "Every N-th cache event is never shown; 0 shows all."
)
_FENCED = flags.DEFINE_bool("fenced", False, "Whether orders with old fences fail.")


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of an engine; times are in seconds."""

    batch: BatchSettings
    cache_tokens: int = 100_000
    load_lag: float = 0.0
    event_lag: float = 0.0
    event_gap_every: int = 0
    fenced: bool = False


class CacheContent(msgspec.Struct, frozen=True):
    """A session's words on their way to another engine."""

    session: str
    words: tuple[str, ...]


class Load(msgspec.Struct, frozen=True):
    """What an engine reports of its load."""

    running: int
    queued: int
    slots: int
    cached_tokens: int
    cache_capacity_tokens: int
    incarnation: str


class RecordedRun(msgspec.Struct, frozen=True):
    """One run as recorded; `time` is in seconds since 1970.

    `tokens` counts the prompt and the answer so far.
    """

    stream_id: str
    session: str | None
    messages: tuple[Message, ...]
    time: float
    state: RunState
    tokens: int


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong with completions.

    Attributes:
        delay: Seconds before each completion is queued.
        hang: Count of coming completions that are never run nor answered.
        cut_streams_after: Tokens after which each stream breaks off; 0 for none.
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
        self._orders = OrderBook(fenced=settings.fenced)
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
        router.add("POST", "/v1/orders", self._order)
        router.add("GET", "/control/record", self._get_record)
        router.add("GET", "/control/orders", self._get_orders)
        router.add("PUT", "/control/faults", self._put_faults)
        return router

    async def _complete(self, request: Request) -> Response:
        body = request.decode(CompletionBody)
        if self._faults.hang > 0:
            self._faults.hang -= 1
            await trio.sleep_forever()
        await trio.sleep(self._faults.delay)
        run = build_run(body)
        self._batch.start(run)
        if body.stream:
            return StreamResponse(chunks=self._stream(run, 0))
        await run.wait_until_over()
        return JsonResponse(value=encode_completion(run))

    async def _stream(self, run: Run, offset: int) -> AsyncIterator[bytes]:
        cut_after = self._faults.cut_streams_after
        sent = 0
        async with aclosing(run.read_tokens(offset)) as tokens:
            async for token in tokens:
                yield encode_chunk(run, token)
                sent += 1
                if sent == cut_after:
                    raise AnswerLost("The stream is cut on purpose.")
        yield encode_last_chunk(run)
        yield END_OF_STREAM

    async def _resume(self, request: Request) -> Response:
        run = self._find_run(request)
        offset = _read_count(request, "offset")
        return StreamResponse(chunks=self._stream(run, offset))

    async def _cancel(self, request: Request) -> Response:
        run = self._find_run(request)
        run.scope.cancel()
        await run.wait_until_over()
        return JsonResponse(value={"stream_id": run.stream_id, "state": run.state})

    def _find_run(self, request: Request) -> Run:
        stream_id = request.path.removeprefix(STREAM_PATH)
        run = self._batch.streams.get(stream_id)
        if run is None:
            raise NotFound(f"Stream {stream_id} is not kept here.", field="path")
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
        since = _read_count(request, "since")
        return JsonResponse(value=self._cache.list_events(since))

    async def _release(self, request: Request) -> Response:
        body = request.decode(ReleaseBody)
        self._orders.release(body)
        tokens = self._cache.release(body.session)
        self._record_load()
        return JsonResponse(value={"session": body.session, "tokens": tokens})

    async def _export(self, request: Request) -> Response:
        session = request.path.removeprefix(EXPORT_PATH)
        words = self._cache.find(session)
        if words is None:
            raise NotFound(f"No prefix of session {session} is held.", field="path")
        return JsonResponse(value=CacheContent(session, words))

    async def _import(self, request: Request) -> Response:
        content = request.decode(CacheContent)
        self._cache.store(content.session, content.words)
        self._record_load()
        tokens = len(content.words)
        return JsonResponse(value={"session": content.session, "tokens": tokens})

    async def _order(self, request: Request) -> Response:
        order = request.decode(OrderBody)
        self._orders.carry_out(order)
        return JsonResponse(value=order)

    async def _get_orders(self, request: Request) -> Response:
        return JsonResponse(value=self._orders.get_record())

    async def _get_record(self, request: Request) -> Response:
        return JsonResponse(value=[_record_run(run) for run in self._batch.runs])

    async def _put_faults(self, request: Request) -> Response:
        self._faults = request.decode(Faults)
        return JsonResponse(value=self._faults)


def _record_run(run: Run) -> RecordedRun:
    return RecordedRun(
        stream_id=run.stream_id,
        session=run.session,
        messages=run.messages,
        time=run.created,
        state=run.state,
        tokens=len(run.prompt) + len(run.words),
    )


def _read_count(request: Request, name: str) -> int:
    text = request.query.get(name, "0")
    if not text.isdecimal():
        raise InvalidRequest(f"Got {name}={text}; expected a count.", field=name)
    return int(text)


def build_router(nursery: trio.Nursery) -> Router:
    """Returns the routes of an engine with the flags' settings."""
    batch = BatchSettings(
        slots=_SLOTS.value,
        token_seconds=_TOKEN_SECONDS.value,
        prefill_token_seconds=_PREFILL_TOKEN_SECONDS.value,
        stream_keep_seconds=_STREAM_KEEP_SECONDS.value,
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
    run_program("engine", build_router)
