"""Asks the owner of a program's shard, and asks again when the way there broke.

An owner recognizes a call by team, program and sequence, so a call may be repeated to
it or to its successor.
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
    StreamedReply,
    Transport,
    TransportError,
)
from goldcrestvane_daemon.entry._directories import OwnerDirectory
from goldcrestvane_daemon.entry._frames import FrameReader, StreamProgress
from goldcrestvane_daemon.entry._limits import EntryLimits
from goldcrestvane_daemon.entry._ownership_monitor import OwnershipMonitor
from goldcrestvane_daemon.entry._retries import RetryReason, RetryState
from goldcrestvane_daemon.observability import RequestMetrics

DRAIN_SECONDS = 1.0

OwnerMessage = (
    CallRequest | ProgramBeginRequest | ProgramEndRequest | ProgramShowRequest
)


@final
class _AttemptFailed(Exception):
    """One attempt failed in a way that allows another."""

    def __init__(self, reason: RetryReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


@final
class OwnerClient:
    """Passes messages to the owners of shards."""

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

    async def ask(
        self,
        path: str,
        message: OwnerMessage,
        answer_type: type[Any],
        *,
        seconds: float,
        repeatable: bool = True,
    ) -> Any:
        """Returns the owner's whole answer.

        Args:
            path: Internal path of the owner.
            message: What to ask.
            answer_type: Type of the answer.
            seconds: Time left for all retries.
            repeatable: Whether running the call twice does no harm.

        Raises:
            ServiceError: The owner refused, or the call was given up.
        """
        retries = self._start(seconds, repeatable=repeatable)
        shard = self._locate(message)
        owner: ShardOwner | None = None
        while True:
            try:
                owner = self._find_owner(shard)
                return await self._ask_once(
                    path, message, answer_type, shard, owner, retries
                )
            except _AttemptFailed as failure:
                await self._back_off(retries, failure, shard, owner)
            except ServiceError as error:
                raise retries.resolve_error(error) from error

    async def stream(
        self, call: CallRequest
    ) -> AsyncIterator[StreamHead | StreamDelta | StreamEnd]:
        """Yields the frames of a streamed answer, each character once.

        A stream that breaks between owner and entry is taken up where it broke.

        Raises:
            ServiceError: The owner refused, the stream failed, or it was given up.
        """
        retries = self._start(call.deadline_seconds, repeatable=True)
        shard = self._locate(call)
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

    def _start(self, seconds: float, *, repeatable: bool) -> RetryState:
        return RetryState(
            deadline=trio.current_time() + seconds,
            repeatable=repeatable,
            owners=self._owners,
            limits=self._limits,
            rng=self._rng,
        )

    def _locate(self, message: OwnerMessage) -> ShardId:
        return locate_shard(
            message.team, message.program, shard_count=self._owners.shard_count
        )

    def _find_owner(self, shard: ShardId) -> ShardOwner:
        owner = self._owners.find_owner(shard)
        if owner is None:
            raise _AttemptFailed(
                RetryReason.NO_OWNER, f"Shard {shard} has no owner now."
            )
        return owner

    async def _back_off(
        self,
        retries: RetryState,
        failure: _AttemptFailed,
        shard: ShardId,
        owner: ShardOwner | None,
    ) -> None:
        """Waits before the next attempt, for a newer map only if it is needed."""
        current = self._owners.find_owner(shard)
        await retries.back_off(
            failure.reason,
            failure.detail,
            needs_map=current is None or current == owner,
        )
        self._metrics.count_retry(failure.reason.value)

    async def _ask_once(
        self,
        path: str,
        message: OwnerMessage,
        answer_type: type[Any],
        shard: ShardId,
        owner: ShardOwner,
        retries: RetryState,
    ) -> Any:
        value = restate_deadline(message, self._count_seconds_left(retries))

        async def exchange() -> Any:
            reply = await self._transport.send(
                "POST", owner.address, path, value=value, timeout=None
            )
            return reply.decode(answer_type)

        return await self._wait_for(exchange, shard, owner, retries)

    async def _stream_once(
        self,
        call: CallRequest,
        shard: ShardId,
        owner: ShardOwner,
        retries: RetryState,
        progress: StreamProgress,
    ) -> AsyncIterator[StreamHead | StreamDelta | StreamEnd]:
        value = msgspec.structs.replace(
            restate_deadline(call, self._count_seconds_left(retries)),
            resume=progress.find_resume_point(),
        )
        async with AsyncExitStack() as stack:
            opening = self._transport.stream(
                "POST", owner.address, STREAM_PATH, value=value, timeout=None
            )
            reply = await self._wait_for(
                lambda: _open_stream(stack, opening), shard, owner, retries
            )
            chunks = reply.iterate()
            await stack.enter_async_context(aclosing(chunks))
            reader = FrameReader()
            while True:
                chunk = await self._wait_for(
                    lambda: _read_chunk(chunks), shard, owner, retries
                )
                for frame in _check_frames(reader, chunk):
                    accepted = _accept_frame(frame, progress)
                    if accepted is None:
                        continue
                    if isinstance(accepted, StreamDelta):
                        retries.reset_failures()
                    yield accepted
                    if isinstance(accepted, StreamEnd):
                        await _drain(chunks)
                        return

    async def _wait_for(
        self,
        exchange: Callable[[], Awaitable[Any]],
        shard: ShardId,
        owner: ShardOwner,
        retries: RetryState,
    ) -> Any:
        """Runs one step with an owner, bounded by deadline and ownership."""
        try:
            with self._ownership_monitor.watch(
                shard, owner, deadline=retries.deadline
            ) as wait:
                return await exchange()
        except (TransportError, WrongOwner) as error:
            raise _AttemptFailed(
                _find_reason(error), f"{owner.owner}: {error}"
            ) from error
        if wait.reassigned:
            raise _AttemptFailed(
                RetryReason.SHARD_REASSIGNED, f"{owner.owner} lost shard {shard}."
            )
        retries.may_have_run = True
        raise retries.build_deadline_error(f"{owner.owner} has not answered in time.")

    def _count_seconds_left(self, retries: RetryState) -> float:
        left = max(retries.deadline - trio.current_time(), 0.001)
        return left - min(self._limits.deadline_margin_seconds, left / 10)


@singledispatch
def _find_reason(error: Exception) -> RetryReason:
    """Returns why a failed attempt may be followed by another."""
    raise TypeError(f"Got {type(error).__name__}; expected a failure of an attempt.")


@_find_reason.register
def _(error: ConnectFailed) -> RetryReason:
    return RetryReason.CONNECT_FAILED


@_find_reason.register
def _(error: ExchangeBroken) -> RetryReason:
    return RetryReason.EXCHANGE_BROKEN


@_find_reason.register
def _(error: WrongOwner) -> RetryReason:
    """Tells an owner that never took the call from one that lost it under way."""
    if error.call_outcome is Outcome.NOT_RUN:
        return RetryReason.WRONG_OWNER
    return RetryReason.OWNERSHIP_LOST


@singledispatch
def restate_deadline(message: OwnerMessage, seconds: float) -> OwnerMessage:
    """Returns a message that tells the time left, if its kind does."""
    return message


@restate_deadline.register
def _(message: CallRequest, seconds: float) -> CallRequest:
    return msgspec.structs.replace(message, deadline_seconds=seconds)


async def _open_stream(stack: AsyncExitStack, opening: Any) -> StreamedReply:
    reply = await stack.enter_async_context(opening)
    if reply.status < 400:
        return reply
    body = await reply.read()
    try:
        error = decode_error(body)
    except msgspec.DecodeError as failure:
        raise ExchangeBroken(
            f"Got status {reply.status} with an unreadable body."
        ) from failure
    raise error


async def _read_chunk(chunks: AsyncIterator[bytes]) -> bytes:
    try:
        return await anext(chunks)
    except StopAsyncIteration:
        raise ExchangeBroken("The stream ended without its last frame.") from None


def _check_frames(reader: FrameReader, chunk: bytes) -> list[StreamFrame]:
    try:
        return list(reader.feed(chunk))
    except ExchangeBroken as error:
        raise _AttemptFailed(RetryReason.EXCHANGE_BROKEN, str(error)) from error


def _accept_frame(
    frame: StreamFrame, progress: StreamProgress
) -> StreamHead | StreamDelta | StreamEnd | None:
    """Returns what is passed on of a frame, if anything.

    Raises:
        ServiceError: The owner reports a failure.
        _AttemptFailed: The frame does not fit the answer so far.
    """
    if isinstance(frame, StreamFailure):
        raise _build_failure(frame)
    if isinstance(frame, StreamHead):
        return _accept_head(frame, progress)
    if progress.head is None:
        raise _AttemptFailed(
            RetryReason.EXCHANGE_BROKEN, "The stream began without its head."
        )
    if isinstance(frame, StreamEnd):
        return frame
    try:
        return progress.take_new(frame)
    except ExchangeBroken as error:
        raise _AttemptFailed(RetryReason.EXCHANGE_BROKEN, str(error)) from error


def _accept_head(head: StreamHead, progress: StreamProgress) -> StreamHead | None:
    if not progress.is_same_stream(head):
        raise AnswerIncomplete(
            f"The answer was begun anew after {progress.length} characters were "
            "passed on; send the call again with the same sequence."
        )
    first = progress.head is None
    progress.head = head
    return head if first else None


def _build_failure(frame: StreamFailure) -> Exception:
    error = build_error(frame.error)
    if isinstance(error, WrongOwner):
        return _AttemptFailed(_find_reason(error), error.message)
    return error


async def _drain(chunks: AsyncIterator[bytes]) -> None:
    """Reads a body to its end, so that the connection serves again."""
    with trio.move_on_after(DRAIN_SECONDS):
        try:
            async for _ in chunks:
                pass
        except TransportError:
            return
