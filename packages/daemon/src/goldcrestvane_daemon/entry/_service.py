"""The routes of an entry: check, pass to the owner, answer."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass
from typing import final

import trio

from goldcrestvane_common.errors import ServiceError
from goldcrestvane_common.messages import (
    CallRequest,
    CallResponse,
    StreamHead,
)
from goldcrestvane_common.paths import (
    CALL_PATH,
    PROGRAM_BEGIN_PATH,
    PROGRAM_END_PATH,
    PROGRAM_SHOW_PATH,
)
from goldcrestvane_common.programs import (
    ProgramShowRequest,
    ProgramView,
)
from goldcrestvane_common.routing import (
    BytesResponse,
    JsonResponse,
    Request,
    Response,
    Router,
    StreamResponse,
)
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.entry._calls import (
    PROGRAMS_PATH,
    TOOLS_PATH,
    build_chat_call,
    build_program_begin,
    build_program_end,
    build_program_query,
    build_tool_call,
)
from goldcrestvane_daemon.entry._chat import (
    EventWriter,
    build_completion,
    write_events,
)
from goldcrestvane_daemon.entry._directories import OwnerDirectory, TeamDirectory
from goldcrestvane_daemon.entry._fields import decode_body, parse_program, parse_team
from goldcrestvane_daemon.entry._headers import (
    CACHED_TOKENS_HEADER,
    OWNER_HEADER,
    REPLAYED_HEADER,
    TARGET_HEADER,
    authenticate_team,
)
from goldcrestvane_daemon.entry._limits import EntryLimits
from goldcrestvane_daemon.entry._owners import OwnerClient
from goldcrestvane_daemon.entry._ownership_monitor import OwnershipMonitor
from goldcrestvane_daemon.entry._trace import TraceOptions, TraceRecorder
from goldcrestvane_daemon.observability import RequestKind, RequestMetrics

CHAT_PATH = "/v1/chat/completions"
BEGIN_PATH = "/v1/programs/begin"
END_PATH = "/v1/programs/end"
PROGRAM_SECONDS = 30.0
LEFT = "left"

Handler = Callable[["Tracked"], Awaitable[Response]]


@final
@dataclass(kw_only=True)
class Tracked:
    """A request with what the metrics say of it.

    Attributes:
        request: The request.
        kind: What it asks for.
        started: Time of its arrival on trio's clock.
    """

    request: Request
    kind: RequestKind
    started: float


@final
class EntryService:
    """Serves callers; it keeps nothing of a request after its answer."""

    def __init__(
        self,
        *,
        transport: Transport,
        teams: TeamDirectory,
        owners: OwnerDirectory,
        metrics: RequestMetrics,
        limits: EntryLimits | None = None,
        rng: random.Random | None = None,
        trace: TraceOptions | None = None,
    ) -> None:
        self._recorder = TraceRecorder(trace) if trace else None
        self._teams = teams
        self._metrics = metrics
        self._limits = limits or EntryLimits()
        self._ownership_monitor = OwnershipMonitor(
            owners, grace_seconds=self._limits.reassignment_grace_seconds
        )
        self._owners = OwnerClient(
            transport=transport,
            owners=owners,
            ownership_monitor=self._ownership_monitor,
            limits=self._limits,
            metrics=metrics,
            rng=rng or random.Random(),
        )

    async def run(self) -> None:
        """Follows the ownership of shards and records the trace, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ownership_monitor.run)
            if self._recorder is not None:
                nursery.start_soon(self._recorder.run)

    def add_routes(self, router: Router) -> None:
        """Adds the callers' interface to a route table."""
        routes = (
            ("POST", CHAT_PATH, RequestKind.CHAT, self._chat),
            ("POST", TOOLS_PATH, RequestKind.TOOL, self._call_tool),
            ("POST", BEGIN_PATH, RequestKind.PROGRAM_BEGIN, self._begin),
            ("POST", END_PATH, RequestKind.PROGRAM_END, self._end),
            ("GET", PROGRAMS_PATH, RequestKind.PROGRAM_SHOW, self._show),
            ("POST", PROGRAM_SHOW_PATH, RequestKind.PROGRAM_SHOW, self._forward_query),
        )
        for method, path, kind, handler in routes:
            router.add(method, path, self._track(kind, handler))

    def _track(
        self, kind: RequestKind, handler: Handler
    ) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            tracked = Tracked(request=request, kind=kind, started=trio.current_time())
            if self._recorder is not None:
                self._recorder.record(request, kind)
            status = LEFT
            try:
                response = await handler(tracked)
                status = str(response.status)
            except ServiceError as error:
                status = str(error.status)
                raise
            except Exception:
                status = "500"
                raise
            finally:
                self._count(tracked, status)
            return response

        return handle

    def _count(self, tracked: Tracked, status: str) -> None:
        """Counts a request that has ended; a stream counts at its own end."""
        if tracked.kind is RequestKind.CHAT_STREAM and status == "200":
            return
        self._metrics.count_request(
            tracked.kind, status, seconds=trio.current_time() - tracked.started
        )

    async def _chat(self, tracked: Tracked) -> Response:
        caller = authenticate_team(tracked.request, self._teams)
        chat = build_chat_call(tracked.request, caller, self._limits)
        if chat.stream:
            tracked.kind = RequestKind.CHAT_STREAM
            return await self._stream_chat(tracked, chat.request)
        answer = await self._ask(chat.request, repeatable=True)
        headers = {
            **_build_headers(answer),
            CACHED_TOKENS_HEADER: str(answer.usage.cached_tokens),
        }
        return JsonResponse(
            value=build_completion(chat.request, answer), headers=headers
        )

    async def _stream_chat(self, tracked: Tracked, call: CallRequest) -> Response:
        frames = self._owners.stream(call)
        head = await anext(frames)
        events = write_events(EventWriter(call), frames)
        return StreamResponse(
            chunks=self._finish_stream(tracked, events),
            headers={**_build_headers(head), "cache-control": "no-store"},
        )

    async def _finish_stream(
        self, tracked: Tracked, events: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Passes events on and counts the stream at its end."""
        status = LEFT
        try:
            async with aclosing(events):
                async for event in events:
                    yield event
            status = "complete"
        except ServiceError as error:
            status = error.kind
        finally:
            self._count(tracked, status)

    async def _call_tool(self, tracked: Tracked) -> Response:
        caller = authenticate_team(tracked.request, self._teams)
        tool = build_tool_call(tracked.request, caller, self._limits)
        answer = await self._ask(tool.request, repeatable=tool.idempotent)
        return BytesResponse(body=bytes(answer.value), headers=_build_headers(answer))

    async def _begin(self, tracked: Tracked) -> Response:
        caller = authenticate_team(tracked.request, self._teams)
        message = build_program_begin(tracked.request, caller)
        view = await self._owners.send(
            PROGRAM_BEGIN_PATH, message, ProgramView, seconds=PROGRAM_SECONDS
        )
        return JsonResponse(value=view)

    async def _end(self, tracked: Tracked) -> Response:
        caller = authenticate_team(tracked.request, self._teams)
        message = build_program_end(tracked.request, caller)
        view = await self._owners.send(
            PROGRAM_END_PATH, message, ProgramView, seconds=PROGRAM_SECONDS
        )
        return JsonResponse(value=view)

    async def _show(self, tracked: Tracked) -> Response:
        caller = authenticate_team(tracked.request, self._teams)
        return await self._query(build_program_query(tracked.request, caller))

    async def _forward_query(self, tracked: Tracked) -> Response:
        query: ProgramShowRequest = decode_body(
            tracked.request.body, ProgramShowRequest
        )
        parse_team(query.team, field="team")
        parse_program(query.program, field="program")
        return await self._query(query)

    async def _query(self, query: ProgramShowRequest) -> Response:
        view = await self._owners.send(
            PROGRAM_SHOW_PATH, query, ProgramView, seconds=PROGRAM_SECONDS
        )
        return JsonResponse(value=view)

    async def _ask(self, call: CallRequest, *, repeatable: bool) -> CallResponse:
        return await self._owners.send(
            CALL_PATH,
            call,
            CallResponse,
            seconds=call.deadline_seconds,
            repeatable=repeatable,
        )


def _build_headers(answer: CallResponse | StreamHead) -> dict[str, str]:
    return {
        TARGET_HEADER: answer.target,
        OWNER_HEADER: answer.owner,
        REPLAYED_HEADER: "true" if answer.replayed else "false",
    }
