"""Sends calls to the sidecars beside targets and receives their answers."""

from typing import Any, Protocol, final

import msgspec
import trio

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    OutcomeUnknown,
    ServiceError,
    Unavailable,
    WrongIncarnation,
    build_error,
    decode_error,
)
from goldcrestvane_common.ids import InstanceId, ServiceId
from goldcrestvane_common.messages import (
    CloseCallRequest,
    CloseCallResponse,
    DispatchRequest,
    DispatchResponse,
    Instance,
    PingResponse,
    StreamDelta,
    StreamEnd,
    StreamFailure,
    StreamFrame,
    StreamHead,
)
from goldcrestvane_common.paths import (
    DISPATCH_CLOSE_PATH,
    DISPATCH_PATH,
    DISPATCH_STREAM_PATH,
    PING_PATH,
)
from goldcrestvane_common.settings import ServiceKind
from goldcrestvane_common.transport import (
    ConnectFailed,
    ExchangeBroken,
    StreamedClientResponse,
    Transport,
)
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.owner.stall_detector import PendingExchange, StallDetector

MAX_RESENDS = 3
RESEND_DELAY_SECONDS = 0.1
READ_TIMEOUT_MARGIN_SECONDS = 1.0
PING_TIMEOUT_SECONDS = 0.5
COMMAND_TIMEOUT_SECONDS = 2.0


class TargetDirectory(Protocol):
    """Lookup of the instances beside targets, based on the membership."""

    def list_targets(self, service: ServiceId) -> list[Instance]:
        """Returns the instances beside the targets that accept new calls."""
        ...

    def find_instance(self, instance: InstanceId) -> Instance | None:
        """Returns an instance, or None if it is not listed."""
        ...


class LocalTarget(Protocol):
    """Target beside this process, which is called without HTTP."""

    def start(self, request: DispatchRequest) -> Execution:
        """Starts a call, or returns the execution of a repeated call id."""
        ...

    def build_response(self, execution: Execution) -> DispatchResponse:
        """Returns the answer of a call that succeeded."""
        ...


@final
class TargetConnector:
    """Sends the calls and commands of an owner to the sidecars beside targets."""

    def __init__(
        self,
        transport: Transport,
        *,
        local_instance: InstanceId | None = None,
        local: LocalTarget | None = None,
    ) -> None:
        """Creates a connector.

        Args:
            transport: HTTP client for the other sidecars.
            local_instance: This instance.
            local: Target beside this instance. If None, it is also called over HTTP.
        """
        self._transport = transport
        self._local_instance = local_instance
        self._local = local
        self._stall_detector = StallDetector(transport)
        self._incarnations: dict[InstanceId, str] = {}

    async def run(self) -> None:
        """Runs the stall detection until cancelled."""
        await self._stall_detector.run()

    def forget_incarnation(self, instance: InstanceId) -> None:
        """Removes a cached incarnation, so that the next call requests it again."""
        self._incarnations.pop(instance, None)

    async def get_incarnation(self, target: Instance) -> str:
        """Returns the incarnation of a sidecar.

        Raises:
            Unavailable: The sidecar does not respond.
        """
        known = self._incarnations.get(target.instance)
        if known is not None:
            return known
        try:
            response = await self._transport.send(
                "GET", target.address, PING_PATH, timeout=PING_TIMEOUT_SECONDS
            )
            ping = response.decode(PingResponse)
        except (ConnectFailed, ExchangeBroken) as error:
            raise Unavailable(
                f"Sidecar {target.instance} does not respond: {error}.", retry_after=1.0
            ) from error
        self._incarnations[target.instance] = ping.incarnation
        return ping.incarnation

    async def send_call(
        self,
        target: Instance,
        request: DispatchRequest,
        execution: Execution,
        *,
        stream: bool,
    ) -> DispatchResponse:
        """Sends a call and returns its complete answer.

        If the exchange breaks, the call is sent again with the same call ID, and the
        sidecar joins it to the running call. The text of a stream is added to the
        execution as it arrives.

        Raises:
            ServiceError: The call has no answer. The error contains its outcome.
        """
        if self._local is not None and target.instance == self._local_instance:
            return await _run_local(self._local, request, execution, stream=stream)
        exchange_call = self._exchange_stream if stream else self._exchange_whole
        may_have_arrived = False
        deadline = trio.current_time() + request.deadline_seconds
        for attempt in range(MAX_RESENDS + 1):
            seconds_left = deadline - trio.current_time()
            attempt_request = msgspec.structs.replace(
                request,
                deadline_seconds=max(0.0, seconds_left),
                resume_offset=execution.length if stream else 0,
            )
            try:
                with self._stall_detector.watch(
                    target, enabled=request.idempotent
                ) as exchange:
                    return await exchange_call(
                        target, attempt_request, execution, exchange
                    )
                raise _build_target_lost(request, target)
            except WrongIncarnation as error:
                self.forget_incarnation(target.instance)
                if not may_have_arrived:
                    raise
                raise _build_target_lost(request, target) from error
            except ConnectFailed as error:
                if not may_have_arrived:
                    raise Unavailable(
                        f"Sidecar {target.instance} cannot be reached: {error}.",
                        retry_after=1.0,
                    ) from error
            except ExchangeBroken:
                may_have_arrived = True
            await trio.sleep(RESEND_DELAY_SECONDS * attempt)
        self.forget_incarnation(target.instance)
        raise _build_target_lost(request, target)

    async def _exchange_whole(
        self,
        target: Instance,
        request: DispatchRequest,
        execution: Execution,
        exchange: PendingExchange,
    ) -> DispatchResponse:
        response = await self._transport.send(
            "POST",
            target.address,
            DISPATCH_PATH,
            value=request,
            timeout=request.deadline_seconds + READ_TIMEOUT_MARGIN_SECONDS,
        )
        answer: DispatchResponse = response.decode(DispatchResponse)
        if request.kind is ServiceKind.MODEL:
            execution.add_text(msgspec.json.decode(answer.value, type=str))
        return answer

    async def _exchange_stream(
        self,
        target: Instance,
        request: DispatchRequest,
        execution: Execution,
        exchange: PendingExchange,
    ) -> DispatchResponse:
        async with self._transport.stream(
            "POST",
            target.address,
            DISPATCH_STREAM_PATH,
            value=request,
            timeout=request.deadline_seconds + READ_TIMEOUT_MARGIN_SECONDS,
        ) as response:
            if response.status >= 400:
                raise await _read_error(response)
            end = await _read_frames(response, execution, exchange)
        text = msgspec.json.encode(execution.get_text())
        return DispatchResponse(
            msgspec.Raw(text),
            end.usage,
            load=end.load,
            finish_reason=end.finish_reason,
            waited_seconds=end.waited_seconds,
        )

    async def send_command(self, target: Instance, path: str, command: Any) -> bool:
        """Sends a command to a sidecar and returns whether the sidecar executed it."""
        try:
            response = await self._transport.send(
                "POST",
                target.address,
                path,
                value=command,
                timeout=COMMAND_TIMEOUT_SECONDS,
            )
        except (ConnectFailed, ExchangeBroken):
            return False
        return response.status == 200

    async def close_call(
        self, target: Instance, request: CloseCallRequest
    ) -> CloseCallResponse:
        """Returns the outcome of a former owner's call, or prevents it from starting.

        Raises:
            OutcomeUnknown: The sidecar cannot report the outcome.
        """
        try:
            response = await self._transport.send(
                "POST", target.address, DISPATCH_CLOSE_PATH, value=request, timeout=None
            )
            return response.decode(CloseCallResponse)
        except (ConnectFailed, ExchangeBroken) as error:
            raise OutcomeUnknown(
                f"Sidecar {target.instance} cannot be reached: {error}."
            ) from error


async def _run_local(
    local: LocalTarget,
    request: DispatchRequest,
    execution: Execution,
    *,
    stream: bool,
) -> DispatchResponse:
    """Runs a call at the target beside this process, without HTTP."""
    resumed = msgspec.structs.replace(
        request, resume_offset=execution.length if stream else 0
    )
    running = local.start(resumed)
    if stream:
        async for delta in running.read_text(resumed.resume_offset):
            execution.add_text(delta.text)
    await running.wait()
    if request.kind is ServiceKind.MODEL and not stream:
        execution.add_text(running.get_text())
    return local.build_response(running)


async def _read_error(response: StreamedClientResponse) -> ServiceError:
    try:
        return decode_error(await response.read())
    except msgspec.DecodeError as error:
        raise ExchangeBroken(
            f"Unreadable error with status {response.status}: {error}."
        ) from error


async def _read_frames(
    response: StreamedClientResponse, execution: Execution, exchange: PendingExchange
) -> StreamEnd:
    """Adds the text of a stream to the execution and returns the end frame."""
    rest = b""
    end: StreamEnd | None = None
    async for chunk in response.iterate():
        exchange.last_received_at = trio.current_time()
        rest += chunk
        *lines, rest = rest.split(b"\n")
        for line in lines:
            frame = _decode_frame(line)
            if isinstance(frame, StreamEnd):
                end = frame
            else:
                _apply_frame(frame, execution)
    if end is None:
        raise ExchangeBroken("The stream ended without an end frame.")
    return end


def _decode_frame(line: bytes) -> StreamFrame:
    try:
        return msgspec.json.decode(line, type=StreamFrame)
    except msgspec.DecodeError as error:
        raise ExchangeBroken(f"Unreadable frame: {error}.") from error


def _apply_frame(
    frame: StreamHead | StreamDelta | StreamFailure, execution: Execution
) -> None:
    if isinstance(frame, StreamFailure):
        raise build_error(frame.error)
    if isinstance(frame, StreamDelta):
        known = execution.length - frame.offset
        if known < 0:
            raise ExchangeBroken(
                f"Got text at character {frame.offset}, expected {execution.length}."
            )
        execution.add_text(frame.text[known:])


def _build_target_lost(request: DispatchRequest, target: Instance) -> ServiceError:
    if request.idempotent:
        return AnswerIncomplete(
            f"Sidecar {target.instance} was lost during the call. Send it again.",
            retry_after=1.0,
        )
    return OutcomeUnknown(
        f"Sidecar {target.instance} was lost during the call. "
        "Look the result up in the tool."
    )
