"""Accepts calls from owners and runs each at most once at the target.

A dispatch with a known call id joins the running call or gets its recorded outcome, so
that an owner may repeat a dispatch whose connection broke.
"""

import math
import uuid
from collections import OrderedDict
from collections.abc import AsyncIterator
from functools import singledispatch
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    OutcomeUnknown,
    ServiceError,
    TargetDied,
    Unavailable,
    WrongIncarnation,
)
from goldcrestvane_common.ids import CallId, Fingerprint, InstanceId, ServiceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    Accepted,
    CancelCallRequest,
    CloseCallRequest,
    CloseCallResponse,
    DispatchRequest,
    DispatchResponse,
    FenceRequest,
    StreamEnd,
    TargetLoad,
    encode_json_line,
)
from goldcrestvane_common.paths import (
    DISPATCH_CANCEL_PATH,
    DISPATCH_CLOSE_PATH,
    DISPATCH_PATH,
    DISPATCH_STREAM_PATH,
    FENCE_PATH,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
    StreamResponse,
)
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.gate import Gate
from goldcrestvane_daemon.pause_detector import PauseDetector
from goldcrestvane_daemon.quarantine import (
    DeathReport,
    Quarantine,
    QuarantineStatus,
    build_quarantine_error,
)
from goldcrestvane_daemon.target.engine import EngineClient
from goldcrestvane_daemon.target.tool import ToolClient

MAX_TRACKED_CALLS = 4096
SAME_DEATH_WINDOW_SECONDS = 1.0

logger = get_logger("dispatch")

TargetClient = EngineClient | ToolClient


@singledispatch
async def cancel_call(client: TargetClient, call: CallId) -> None:
    """Makes the target stop a cancelled call."""
    raise TypeError(f"got {type(client).__name__}, expected a target client")


@cancel_call.register
async def _(client: EngineClient, call: CallId) -> None:
    await client.cancel_stream(call)


@cancel_call.register
async def _(client: ToolClient, call: CallId) -> None:
    """Does nothing, since a tool stops a call when its connection closes."""


@final
class Dispatcher:
    """Runs the calls of one target and tracks them by call id."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: str,
        service: ServiceId,
        gate: Gate,
        client: TargetClient,
        quarantine: Quarantine,
        pause_detector: PauseDetector,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._service = service
        self._gate = gate
        self._client = client
        self._quarantine = quarantine
        self._pause_detector = pause_detector
        self._at_target: dict[CallId, Fingerprint] = {}
        self._death = ""
        self._death_at = -math.inf
        self._calls: OrderedDict[CallId, Execution] = OrderedDict()
        self._nursery: trio.Nursery | None = None

    @property
    def unfinished_calls(self) -> int:
        """Number of calls that have not ended."""
        return sum(not call.done.is_set() for call in self._calls.values())

    def add_routes(self, router: Router) -> None:
        """Adds the routes for requests of owners."""
        router.add("POST", DISPATCH_PATH, self._serve_whole)
        router.add("POST", DISPATCH_STREAM_PATH, self._serve_stream)
        router.add("POST", DISPATCH_CLOSE_PATH, self._serve_close)
        router.add("POST", DISPATCH_CANCEL_PATH, self._serve_cancel)
        router.add("POST", FENCE_PATH, self._serve_fence)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the nursery of the calls, which outlive their connections."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def start(self, request: DispatchRequest) -> Execution:
        """Starts a call, or returns the execution of a repeated call id.

        Raises:
            AnswerIncomplete: The owner resumes a call unknown to this sidecar.
            WrongIncarnation: The call was sent to an earlier incarnation.
        """
        if request.incarnation != self._incarnation:
            raise WrongIncarnation(
                "This sidecar was restarted; choose a target again.", retry_after=0.0
            )
        known = self._calls.get(request.call)
        if known is not None:
            return known
        if request.resume_offset:
            raise AnswerIncomplete(
                "This sidecar was restarted and has lost the stream. Send it again.",
                retry_after=0.0,
            )
        assert self._nursery is not None
        execution = Execution(request.call)
        execution.call = request.call
        execution.target = self._instance
        self._calls[request.call] = execution
        self._evict_oldest()
        try:
            self._pause_detector.check()
        except Unavailable as error:
            execution.fail(error)
            return execution
        self._nursery.start_soon(self._run_call, request, execution)
        return execution

    def _evict_oldest(self) -> None:
        while len(self._calls) > MAX_TRACKED_CALLS:
            oldest = next(iter(self._calls))
            if not self._calls[oldest].done.is_set():
                return
            del self._calls[oldest]

    async def _run_call(self, request: DispatchRequest, execution: Execution) -> None:
        sent = False
        try:
            with execution.scope:
                async with self._gate.admit(request) as permit:
                    execution.waited_seconds = permit.waited_seconds
                    self._pause_detector.check()
                    self._check_quarantine(request)
                    sent = True
                    self._at_target[request.call] = request.fingerprint
                    await self._client.run_call(request, execution)
                    self._record_end(request, execution)
            if execution.scope.cancelled_caught:
                raise AnswerIncomplete("The call was cancelled; its program has ended.")
        except TargetDied as error:
            await self._report_death()
            execution.fail(error)
        except ServiceError as error:
            execution.fail(error)
            if sent:
                await cancel_call(self._client, request.call)
        except Exception:
            logger.exception("call %s failed inside the sidecar", request.call)
            execution.fail(
                OutcomeUnknown("The sidecar failed on the call; report it with its id.")
            )
        finally:
            self._at_target.pop(request.call, None)

    def _record_end(self, request: DispatchRequest, execution: Execution) -> None:
        """Records load and tokens of a successful call, which still has its slot."""
        execution.load = self.read_load()
        if isinstance(self._client, EngineClient):
            self._gate.set_cache_capacity(self._client.cache_capacity_tokens)
            self._gate.record_cached_tokens(request, execution.usage.total)

    def _check_quarantine(self, request: DispatchRequest) -> None:
        """Rejects a request that was quarantined after its owner's check."""
        status = self._quarantine.get_status(self._service, request.fingerprint)
        if status is QuarantineStatus.REFUSED:
            raise build_quarantine_error()
        if status is QuarantineStatus.ISOLATED and not request.alone:
            raise Unavailable(
                "A target died while it ran this request, which must now run in "
                "isolation. Send it again.",
                retry_after=0.5,
            )

    async def _report_death(self) -> None:
        """Reports the requests of all calls at the target under one id per crash."""
        now = trio.current_time()
        if now - self._death_at > SAME_DEATH_WINDOW_SECONDS:
            self._death = f"{self._instance}:{uuid.uuid4().hex[:12]}"
        self._death_at = now
        fingerprints = sorted(set(self._at_target.values()))
        report = DeathReport(self._service, self._death, fingerprints)
        await self._quarantine.report_death(report)

    async def close(self, request: CloseCallRequest) -> CloseCallResponse:
        """Returns the outcome of a call, or prevents an unknown call from ever running.

        Raises:
            OutcomeUnknown: The call was sent to an earlier incarnation.
        """
        if request.incarnation != self._incarnation:
            raise OutcomeUnknown("This sidecar was restarted and has lost its calls.")
        execution = self._calls.get(request.call)
        if execution is None:
            closed = Execution(request.call)
            closed.fail(Unavailable("A new owner closed this call.", retry_after=0.0))
            self._calls[request.call] = closed
            return CloseCallResponse(known=False)
        await execution.done.wait()
        if execution.error is not None:
            return CloseCallResponse(known=True, error=execution.error.to_body())
        return CloseCallResponse(known=True, answer=self.build_response(execution))

    async def _serve_close(self, request: Request) -> Response:
        result = await self.close(request.decode(CloseCallRequest))
        return JsonResponse(value=result)

    async def _serve_cancel(self, request: Request) -> Response:
        execution = self._calls.get(request.decode(CancelCallRequest).call)
        if execution is not None:
            execution.scope.cancel()
        return JsonResponse(value=Accepted())

    async def _serve_fence(self, request: Request) -> Response:
        for fence in request.decode(list[FenceRequest]):
            self._gate.fence(fence.shard, fence.epoch)
        return JsonResponse(value=Accepted())

    async def _serve_whole(self, request: Request) -> Response:
        dispatch = request.decode(DispatchRequest)
        execution = self.start(dispatch)
        await execution.wait()
        return JsonResponse(value=self.build_response(execution))

    def build_response(self, execution: Execution) -> DispatchResponse:
        """Returns the response for a successful call, with the load at its end."""
        assert execution.answer is not None
        return DispatchResponse(
            execution.answer,
            execution.usage,
            load=execution.load,
            finish_reason=execution.finish_reason,
            waited_seconds=execution.waited_seconds,
        )

    def read_load(self) -> TargetLoad:
        """Returns the load of the target, including its prefix cache."""
        load = self._gate.load()
        if isinstance(self._client, EngineClient):
            return msgspec.structs.replace(
                load,
                cached_tokens=max(load.cached_tokens, self._client.cached_tokens),
                cache_capacity_tokens=self._client.cache_capacity_tokens,
            )
        return load

    async def _serve_stream(self, request: Request) -> Response:
        dispatch = request.decode(DispatchRequest)
        execution = self.start(dispatch)
        return StreamResponse(
            chunks=self._encode_frames(dispatch, execution),
            content_type="application/x-ndjson",
        )

    async def _encode_frames(
        self, request: DispatchRequest, execution: Execution
    ) -> AsyncIterator[bytes]:
        frames = execution.read_frames(
            owner=self._instance, offset=request.resume_offset
        )
        async for frame in frames:
            if isinstance(frame, StreamEnd):
                frame = msgspec.structs.replace(
                    frame,
                    load=execution.load,
                    waited_seconds=execution.waited_seconds,
                )
            yield encode_json_line(frame)
