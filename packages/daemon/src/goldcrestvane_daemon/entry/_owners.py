"""Sends messages to the owner of a program's shard, and retries on transport failures.

An owner identifies a call by team, program and sequence, so a call may be sent again to
the same owner or to its successor.
"""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, aclosing
from functools import singledispatch
from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    Outcome,
    ServiceError,
    WrongOwner,
    build_error,
    decode_error,
)
from goldcrestvane_common.ids import ShardId, locate_shard
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    CallRequest,
    ShardOwner,
    StreamDelta,
    StreamEnd,
    StreamFailure,
    StreamFrame,
    StreamHead,
)
from goldcrestvane_common.paths import (
    STREAM_PATH,
)
from goldcrestvane_common.programs import (
    ProgramBeginRequest,
    ProgramEndRequest,
    ProgramShowRequest,
)
from goldcrestvane_common.transport import (
    ConnectFailed,
    ExchangeBroken,
    StreamedClientResponse,
    Transport,
    TransportError,
)
from goldcrestvane_daemon.entry._directories import OwnerDirectory
from goldcrestvane_daemon.entry._frames import FrameReader, StreamProgress
from goldcrestvane_daemon.entry._limits import EntryLimits
from goldcrestvane_daemon.entry._ownership_monitor import OwnershipMonitor
from goldcrestvane_daemon.entry._retries import RetryReason, RetryState
from goldcrestvane_daemon.observability import RequestMetrics

BODY_DRAIN_TIMEOUT_SECONDS = 1.0

logger = get_logger("owners")

OwnerMessage = (
    CallRequest | ProgramBeginRequest | ProgramEndRequest | ProgramShowRequest
)


@final
class _AttemptFailed(Exception):
    """An attempt failed in a way that allows a retry."""

    def __init__(self, reason: RetryReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


@final
class OwnerClient:
    """Sends messages to the owners of shards."""

    def __init__(
        self,
        *,
        transport: Transport,
        owners: OwnerDirectory,
        ownership_monitor: OwnershipMonitor,
        limits: EntryLimits,
        metrics: RequestMetrics,
        rng: random.Random,
    ) -> None:
        self._transport = transport
        self._owners = owners
        self._ownership_monitor = ownership_monitor
        self._limits = limits
        self._metrics = metrics
        self._rng = rng

    async def send(
        self,
        path: str,
        message: OwnerMessage,
        response_type: type[Any],
        *,
        seconds: float,
        repeatable: bool = True,
    ) -> Any:
        """Sends a message and returns the owner's decoded response.

        Args:
            path: Internal path of the owner.
            message: The message.
            response_type: Type of the response.
            seconds: Time left for all attempts.
            repeatable: Whether the call may safely run more than once.

        Raises:
            ServiceError: The owner refused the call, or all attempts failed.
        """
        retries = self._create_retry_state(seconds, repeatable=repeatable)
        shard = self._locate_shard(message)
        owner: ShardOwner | None = None
        while True:
            try:
                owner = self._find_owner(shard)
                return await self._send_once(
                    path, message, response_type, shard, owner, retries
                )
            except _AttemptFailed as failure:
                await self._back_off(retries, failure, shard, owner)
            except ServiceError as error:
                raise retries.resolve_error(error) from error

    async def stream(
        self, call: CallRequest
    ) -> AsyncIterator[StreamHead | StreamDelta | StreamEnd]:
        """Yields the frames of a streamed answer without lost or repeated text.

        A stream that breaks between owner and entry is resumed where it broke.

        Raises:
            ServiceError: The owner refused the call, the stream failed, or all
                attempts failed.
        """
        retries = self._create_retry_state(call.deadline_seconds, repeatable=True)
        shard = self._locate_shard(call)
        progress = StreamProgress()
        owner: ShardOwner | None = None
        while True:
            try:
                owner = self._find_owner(shard)
                frames = self._stream_once(call, shard, owner, retries, progress)
                async with aclosing(frames):
                    async for frame in frames:
                        yield frame
                return
            except _AttemptFailed as failure:
                await self._back_off(retries, failure, shard, owner)
            except ServiceError as error:
                raise retries.resolve_error(error) from error

    def _create_retry_state(self, seconds: float, *, repeatable: bool) -> RetryState:
        return RetryState(
            deadline=trio.current_time() + seconds,
            repeatable=repeatable,
            owners=self._owners,
            limits=self._limits,
            rng=self._rng,
        )

    def _locate_shard(self, message: OwnerMessage) -> ShardId:
        return locate_shard(
            message.team, message.program, shard_count=self._owners.shard_count
        )

    def _find_owner(self, shard: ShardId) -> ShardOwner:
        owner = self._owners.find_owner(shard)
        if owner is None:
            raise _AttemptFailed(RetryReason.NO_OWNER, f"Shard {shard} has no owner.")
        return owner

    async def _back_off(
        self,
        retries: RetryState,
        failure: _AttemptFailed,
        shard: ShardId,
        owner: ShardOwner | None,
    ) -> None:
        """Waits before the next attempt; refreshes the shard map if it is outdated."""
        logger.info("shard %s is tried again: %s", shard, failure.detail)
        current = self._owners.find_owner(shard)
        await retries.back_off(
            failure.reason,
            failure.detail,
            needs_map=current is None or current == owner,
        )
        self._metrics.count_retry(failure.reason.value)

    async def _send_once(
        self,
        path: str,
        message: OwnerMessage,
        response_type: type[Any],
        shard: ShardId,
        owner: ShardOwner,
        retries: RetryState,
    ) -> Any:
        value = update_deadline(message, self._compute_owner_seconds(retries))

        async def exchange() -> Any:
            response = await self._transport.send(
                "POST", owner.address, path, value=value, timeout=None
            )
            return response.decode(response_type)

        return await self._run_step(exchange, shard, owner, retries)

    async def _stream_once(
        self,
        call: CallRequest,
        shard: ShardId,
        owner: ShardOwner,
        retries: RetryState,
        progress: StreamProgress,
    ) -> AsyncIterator[StreamHead | StreamDelta | StreamEnd]:
        position = progress.get_resume_position()
        if position is not None:
            logger.info(
                "stream %s is resumed at character %s by %s",
                position.stream_id,
                position.offset,
                owner.owner,
            )
        value = msgspec.structs.replace(
            update_deadline(call, self._compute_owner_seconds(retries)),
            resume=position,
        )
        async with AsyncExitStack() as stack:
            stream_context = self._transport.stream(
                "POST", owner.address, STREAM_PATH, value=value, timeout=None
            )
            response = await self._run_step(
                lambda: _open_stream(stack, stream_context), shard, owner, retries
            )
            chunks = response.iterate()
            await stack.enter_async_context(aclosing(chunks))
            reader = FrameReader()
            while True:
                chunk = await self._run_step(
                    lambda: _read_chunk(chunks), shard, owner, retries
                )
                for frame in _decode_frames(reader, chunk):
                    output = _process_frame(frame, progress)
                    if output is None:
                        continue
                    if isinstance(output, StreamDelta):
                        retries.reset_failures()
                    yield output
                    if isinstance(output, StreamEnd):
                        await _drain_body(chunks)
                        return

    async def _run_step(
        self,
        exchange: Callable[[], Awaitable[Any]],
        shard: ShardId,
        owner: ShardOwner,
        retries: RetryState,
    ) -> Any:
        """Runs one step of an exchange until the deadline or the loss of ownership."""
        try:
            with self._ownership_monitor.watch(
                shard, owner, deadline=retries.deadline
            ) as wait:
                return await exchange()
        except (TransportError, WrongOwner) as error:
            raise _AttemptFailed(
                _get_retry_reason(error), f"{owner.owner}: {error}"
            ) from error
        if wait.reassigned:
            raise _AttemptFailed(
                RetryReason.SHARD_REASSIGNED, f"{owner.owner} lost shard {shard}."
            )
        retries.may_have_run = True
        raise retries.build_deadline_error(f"{owner.owner} did not respond in time.")

    def _compute_owner_seconds(self, retries: RetryState) -> float:
        seconds_left = max(retries.deadline - trio.current_time(), 0.001)
        return seconds_left - min(
            self._limits.deadline_margin_seconds, seconds_left / 10
        )


@singledispatch
def _get_retry_reason(error: Exception) -> RetryReason:
    """Returns the reason to retry after an error."""
    raise TypeError(f"Got {type(error).__name__}; expected a retryable error.")


@_get_retry_reason.register
def _(error: ConnectFailed) -> RetryReason:
    return RetryReason.CONNECT_FAILED


@_get_retry_reason.register
def _(error: ExchangeBroken) -> RetryReason:
    return RetryReason.EXCHANGE_BROKEN


@_get_retry_reason.register
def _(error: WrongOwner) -> RetryReason:
    """Distinguishes a wrong owner from one that lost its shard during the call."""
    if error.call_outcome is Outcome.NOT_RUN:
        return RetryReason.WRONG_OWNER
    return RetryReason.OWNERSHIP_LOST


@singledispatch
def update_deadline(message: OwnerMessage, seconds: float) -> OwnerMessage:
    """Returns the message with the time left, if it is of a kind that carries it."""
    return message


@update_deadline.register
def _(message: CallRequest, seconds: float) -> CallRequest:
    return msgspec.structs.replace(message, deadline_seconds=seconds)


async def _open_stream(
    stack: AsyncExitStack, stream_context: Any
) -> StreamedClientResponse:
    response = await stack.enter_async_context(stream_context)
    if response.status < 400:
        return response
    body = await response.read()
    try:
        error = decode_error(body)
    except msgspec.DecodeError as failure:
        raise ExchangeBroken(
            f"Got status {response.status} with an unreadable body."
        ) from failure
    raise error


async def _read_chunk(chunks: AsyncIterator[bytes]) -> bytes:
    try:
        return await anext(chunks)
    except StopAsyncIteration:
        raise ExchangeBroken("The stream ended without an end frame.") from None


def _decode_frames(reader: FrameReader, chunk: bytes) -> list[StreamFrame]:
    try:
        return list(reader.feed(chunk))
    except ExchangeBroken as error:
        raise _AttemptFailed(RetryReason.EXCHANGE_BROKEN, str(error)) from error


def _process_frame(
    frame: StreamFrame, progress: StreamProgress
) -> StreamHead | StreamDelta | StreamEnd | None:
    """Returns the part of a frame to forward to the caller, if any.

    Raises:
        ServiceError: The owner reports a failure.
        _AttemptFailed: The frame does not continue the answer received so far.
    """
    if isinstance(frame, StreamFailure):
        raise _build_failure(frame)
    if isinstance(frame, StreamHead):
        return _process_head(frame, progress)
    if progress.head is None:
        raise _AttemptFailed(
            RetryReason.EXCHANGE_BROKEN, "The stream began without a head frame."
        )
    if isinstance(frame, StreamEnd):
        return frame
    try:
        return progress.take_unseen(frame)
    except ExchangeBroken as error:
        raise _AttemptFailed(RetryReason.EXCHANGE_BROKEN, str(error)) from error


def _process_head(head: StreamHead, progress: StreamProgress) -> StreamHead | None:
    if not progress.is_same_stream(head):
        raise AnswerIncomplete(
            f"The answer was restarted after {progress.length} characters had been "
            "sent; send the call again with the same sequence."
        )
    first = progress.head is None
    progress.head = head
    return head if first else None


def _build_failure(frame: StreamFailure) -> Exception:
    error = build_error(frame.error)
    if isinstance(error, WrongOwner):
        return _AttemptFailed(_get_retry_reason(error), error.message)
    return error


async def _drain_body(chunks: AsyncIterator[bytes]) -> None:
    """Reads a body to its end, so that the connection can be reused."""
    with trio.move_on_after(BODY_DRAIN_TIMEOUT_SECONDS):
        try:
            async for _ in chunks:
                pass
        except TransportError:
            return
