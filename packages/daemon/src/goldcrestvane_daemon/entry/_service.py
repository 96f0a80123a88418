"""The routes of an entry: each validates a request and forwards it to the owner."""

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
    EventEncoder,
    build_completion,
    encode_events,
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
PROGRAM_TIMEOUT_SECONDS = 30.0
CALLER_LEFT = "left"

Handler = Callable[["TrackedRequest"], Awaitable[Response]]


@final
@dataclass(kw_only=True)
class TrackedRequest:
    """A request with the values that the metrics need.

    Attributes:
        request: The request.
        kind: Kind of the request; set to `CHAT_STREAM` once the body asks for a stream.
        started: Time of arrival on trio's clock.
    """

    request: Request
    kind: RequestKind
    started: float


@final
class EntryService:
    """Serves callers; it holds no state of a request after the response."""

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
        self._trace_recorder = TraceRecorder(trace) if trace else None
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
        """Monitors the ownership of shards and writes the trace, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ownership_monitor.run)
            if self._trace_recorder is not None:
                nursery.start_soon(self._trace_recorder.run)

    def add_routes(self, router: Router) -> None:
        """Adds the routes for callers."""
        routes = (
            ("POST", CHAT_PATH, RequestKind.CHAT, self._chat),
            ("POST", TOOLS_PATH, RequestKind.TOOL, self._call_tool),
            ("POST", BEGIN_PATH, RequestKind.PROGRAM_BEGIN, self._begin_program),
            ("POST", END_PATH, RequestKind.PROGRAM_END, self._end_program),
            ("GET", PROGRAMS_PATH, RequestKind.PROGRAM_SHOW, self._show_program),
            ("POST", PROGRAM_SHOW_PATH, RequestKind.PROGRAM_SHOW, self._forward_query),
        )
        for method, path, kind, handler in routes:
            router.add(method, path, self._track(kind, handler))

    def _track(
        self, kind: RequestKind, handler: Handler
    ) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            tracked = TrackedRequest(
                request=request, kind=kind, started=trio.current_time()
            )
            if self._trace_recorder is not None:
                self._trace_recorder.record(request, kind)
            status = CALLER_LEFT
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
                self._count_request(tracked, status)
            return response

        return handle

    def _count_request(self, tracked: TrackedRequest, status: str) -> None:
        """Counts a finished request; a started stream is counted when it ends."""
        if tracked.kind is RequestKind.CHAT_STREAM and status == "200":
            return
        self._metrics.count_request(
            tracked.kind, status, seconds=trio.current_time() - tracked.started
        )

    async def _chat(self, tracked: TrackedRequest) -> Response:
        caller = authenticate_team(tracked.request, self._teams)
        chat = build_chat_call(tracked.request, caller, self._limits)
        if chat.stream:
            tracked.kind = RequestKind.CHAT_STREAM
            return await self._stream_chat(tracked, chat.request)
        answer = await self._send_call(chat.request, repeatable=True)
        headers = {
            **_build_headers(answer),
            CACHED_TOKENS_HEADER: str(answer.usage.cached_tokens),
        }
        return JsonResponse(
            value=build_completion(chat.request, answer), headers=headers
        )

    async def _stream_chat(
        self, tracked: TrackedRequest, call: CallRequest
    ) -> Response:
        frames = self._owners.stream(call)
        head = await anext(frames)
        events = encode_events(EventEncoder(call), frames)
        return StreamResponse(
            chunks=self._forward_stream(tracked, events),
            headers={**_build_headers(head), "cache-control": "no-store"},
        )

    async def _forward_stream(
        self, tracked: TrackedRequest, events: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Forwards events and counts the stream when it ends."""
        status = CALLER_LEFT
        try:
            async with aclosing(events):
                async for event in events:
                    yield event
            status = "complete"
        except ServiceError as error:
            status = error.kind
        finally:
            self._count_request(tracked, status)

    async def _call_tool(self, tracked: TrackedRequest) -> Response:
        caller = authenticate_team(tracked.request, self._teams)
        tool = build_tool_call(tracked.request, caller, self._limits)
        answer = await self._send_call(tool.request, repeatable=tool.idempotent)
        return BytesResponse(body=bytes(answer.value), headers=_build_headers(answer))

    async def _begin_program(self, tracked: TrackedRequest) -> Response:
        caller = authenticate_team(tracked.request, self._teams)
        message = build_program_begin(tracked.request, caller)
        view = await self._owners.send(
            PROGRAM_BEGIN_PATH, message, ProgramView, seconds=PROGRAM_TIMEOUT_SECONDS
        )
        return JsonResponse(value=view)

    async def _end_program(self, tracked: TrackedRequest) -> Response:
        caller = authenticate_team(tracked.request, self._teams)
        message = build_program_end(tracked.request, caller)
        view = await self._owners.send(
            PROGRAM_END_PATH, message, ProgramView, seconds=PROGRAM_TIMEOUT_SECONDS
        )
        return JsonResponse(value=view)

    async def _show_program(self, tracked: TrackedRequest) -> Response:
        caller = authenticate_team(tracked.request, self._teams)
        return await self._query(build_program_query(tracked.request, caller))

    async def _forward_query(self, tracked: TrackedRequest) -> Response:
        query: ProgramShowRequest = decode_body(
            tracked.request.body, ProgramShowRequest
        )
        parse_team(query.team, field="team")
        parse_program(query.program, field="program")
        return await self._query(query)

    async def _query(self, query: ProgramShowRequest) -> Response:
        view = await self._owners.send(
            PROGRAM_SHOW_PATH, query, ProgramView, seconds=PROGRAM_TIMEOUT_SECONDS
        )
        return JsonResponse(value=view)

    async def _send_call(self, call: CallRequest, *, repeatable: bool) -> CallResponse:
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
