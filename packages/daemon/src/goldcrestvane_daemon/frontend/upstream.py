"""Connection pool for targets, and requests on its connections."""

import math
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import final

import trio

from goldcrestvane_daemon.frontend.memory_budget import MemoryBudget
from goldcrestvane_daemon.http1 import (
    WRITE_TIMEOUT_SECONDS,
    ClientExchange,
    ConnectionLost,
    Headers,
    ProtocolViolation,
    has_unread_data,
)
from goldcrestvane_daemon.ledger.frames import enable_keepalive
from goldcrestvane_daemon.platform.headers import ResponseHead, decode_response_head
from goldcrestvane_daemon.targets import Target

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout for opening a connection. Within a region this takes 10 ms, and longer if a
packet is lost."""

DEFAULT_IDLE_SECONDS = 4.0
"""Idle timeout of a connection if the target does not state one."""

IDLE_MARGIN_SECONDS = 1.0
"""Margin by which this side stops using an idle connection before the target's idle
timeout."""

MAX_IDLE_CONNECTIONS = 16
"""Maximum number of idle connections to one target: the number of its slots."""

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Maximum size of the body of a response."""

MAX_SMALL_CHUNKS = 4096
MIN_MEAN_CHUNK_BYTES = 64
"""A body may have `MAX_SMALL_CHUNKS` chunks of any size; with more, their mean size counts. Each
chunk costs more than its bytes."""

LARGE_REQUEST_BYTES = 65_536
"""Size from which a request may exceed the buffers of a target that reads slowly."""

MAX_REMEMBERED_CALLS = 64
"""Number of calls that a connection remembers, about 5 KB. A copy of a response that comes
later than 64 further calls on its connection was never seen."""

MAX_SKIPPED_RESPONSES = 3
"""Maximum number of late responses to earlier calls that are skipped on one
connection."""


class ConnectFailed(Exception):
    """No connection could be opened, and nothing was sent.

    Attributes:
        refused: Whether nothing listens at the address.
    """

    def __init__(self, message: str, *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class TargetFailed(Exception):
    """The connection broke or the response was invalid; the call may have run.

    Attributes:
        connection_lost: Whether the connection ended before the end of the response.
        before_response: Whether the connection ended before any response.
        after_stated_event: Whether the response does not follow the event that the client
            states to have, which may be none of the stream's.
        left_unread: Whether the response had been left unread before, so that the target
            may have been right to cut it off.
    """

    def __init__(
        self,
        message: str,
        *,
        connection_lost: bool = False,
        before_response: bool = False,
        after_stated_event: bool = False,
    ) -> None:
        super().__init__(message)
        self.connection_lost = connection_lost
        self.before_response = before_response
        self.after_stated_event = after_stated_event
        self.left_unread = False

    @property
    def is_blameless(self) -> bool:
        """Whether the client may have caused the failure, so that it says nothing of the target."""
        return self.left_unread or self.after_stated_event


@contextmanager
def _translate_errors(*, before_response: bool = False) -> Iterator[None]:
    try:
        yield
    except ConnectionLost as error:
        raise TargetFailed(
            str(error), connection_lost=True, before_response=before_response
        ) from error
    except ProtocolViolation as error:
        raise TargetFailed(str(error)) from error


@final
class TargetConnection:
    """A connection to a target.

    Attributes:
        stream: The connection.
        calls: The last calls that were sent on the connection. A late copy of a response
            to one of them may still arrive.
        usable_until: Time on trio's clock until which the idle connection may be used.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.calls: deque[str] = deque(maxlen=MAX_REMEMBERED_CALLS)
        self.usable_until = math.inf
        self._allows_slow_reader = False

    def allow_slow_reader(self, *, allowed: bool) -> None:
        """Sets whether the target may take its time to read a request.

        By default the kernel closes a connection that leaves no space for 3 s.
        """
        if allowed != self._allows_slow_reader:
            self._allows_slow_reader = allowed
            seconds = WRITE_TIMEOUT_SECONDS if allowed else None
            enable_keepalive(self.stream, unread_seconds=seconds)

    def is_usable(self, now: float) -> bool:
        """Returns whether the target has neither closed the connection nor sent data."""
        if now >= self.usable_until:
            return False
        return not has_unread_data(self.stream.socket)


@final
class TargetConnectionPool:
    """Pool of idle connections to targets.

    Each start of a target has its own connections.

    Attributes:
        on_head: Called with a target and the head of each of its responses, also of a
            late response to another call.
        memory: Memory for bodies of responses.
        opened_count: Number of connections that were opened.
    """

    def __init__(
        self,
        on_head: Callable[[Target, ResponseHead], None],
        memory: MemoryBudget | None = None,
    ) -> None:
        self._idle: dict[object, deque[TargetConnection]] = {}
        self.on_head = on_head
        self.memory = memory or MemoryBudget()
        self.opened_count = 0

    async def open(self, target: Target, call: str | None) -> TargetConnection:
        """Returns an idle connection, or a new one if none is usable.

        A response is told from a late copy of an earlier one by its call id. A call
        without an id therefore gets a new connection, and a call that is sent again gets
        one that has not carried it.

        Raises:
            ConnectFailed: No connection could be opened.
        """
        if call is not None:
            connection = self._take_idle(target, call)
            if connection is not None:
                return connection
        return TargetConnection(await self.connect(target))

    def _take_idle(self, target: Target, call: str) -> TargetConnection | None:
        idle = self._idle.get(target.key, deque())
        for connection in reversed(tuple(idle)):
            if not connection.is_usable(trio.current_time()):
                idle.remove(connection)
                connection.stream.socket.close()
            elif call not in connection.calls:
                idle.remove(connection)
                return connection
        return None

    async def connect(self, target: Target) -> trio.SocketStream:
        """Opens a new connection. Raises the same errors as `open`."""
        self.opened_count += 1
        try:
            with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                stream = await trio.open_tcp_stream(target.host, target.port)
        except (OSError, trio.TooSlowError) as error:
            raise ConnectFailed(
                f"No connection to {target.host}:{target.port}: {error!r}.",
                refused=_is_refusal(error),
            ) from error
        enable_keepalive(stream)
        return stream

    def release(
        self, target: Target, connection: TargetConnection, idle_seconds: float | None
    ) -> bool:
        """Returns a connection to the pool for the next request.

        Returns:
            Whether the pool accepted the connection. If not, the caller must close it.
        """
        idle = self._idle.setdefault(target.key, deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            return False
        seconds = DEFAULT_IDLE_SECONDS if idle_seconds is None else idle_seconds
        usable = seconds - IDLE_MARGIN_SECONDS
        if usable <= 0:
            return False
        connection.usable_until = trio.current_time() + usable
        idle.append(connection)
        return True

    async def close_target(self, target: Target) -> None:
        """Closes the idle connections to a target that no longer exists."""
        for connection in self._idle.pop(target.key, ()):
            await trio.aclose_forcefully(connection.stream)


def _is_refusal(error: BaseException) -> bool:
    """Returns whether an attempt to connect was refused; trio raises it as a cause."""
    cause = error.__cause__
    if isinstance(cause, BaseExceptionGroup):
        return cause.subgroup(ConnectionRefusedError) is not None
    return isinstance(cause or error, ConnectionRefusedError)


@final
class TargetRequest:
    """One request on one connection to one target.

    Use it as an asynchronous context manager. Exiting it before the end of the response
    closes the connection, and most targets then cancel the call.
    """

    def __init__(
        self, connections: TargetConnectionPool, target: Target, *, call: str | None
    ) -> None:
        """Creates a request.

        Args:
            connections: Pool of the connection.
            target: The target.
            call: Call id in the request; None if it has none.
        """
        self._connections = connections
        self._target = target
        self._call = call
        self._connection: TargetConnection | None = None
        self._exchange: ClientExchange | None = None
        self._head: ResponseHead | None = None
        self._body_sent = False
        self._reused = False
        self._memory = connections.memory.open()
        self.sent = False

    async def __aenter__(self) -> "TargetRequest":
        self._connection = await self._connections.open(self._target, self._call)
        self._reused = bool(self._connection.calls)
        self._exchange = ClientExchange(self._connection.stream)
        return self

    async def __aexit__(self, *details: object) -> None:
        assert self._connection is not None
        self._memory.release()
        if self._is_reusable():
            assert self._call is not None and self._head is not None
            self._connection.calls.append(self._call)
            if self._connections.release(
                self._target, self._connection, self._head.idle_seconds
            ):
                return
        await trio.aclose_forcefully(self._connection.stream)

    @property
    def is_framed(self) -> bool:
        """Whether the end of the response does not depend on that of its connection."""
        assert self._exchange is not None
        return self._exchange.is_framed

    def _is_reusable(self) -> bool:
        """Returns whether another call may use the connection.

        A copy of a response that names no call could not be told from the response to
        the next call.
        """
        assert self._exchange is not None
        if self._call is None or self._head is None or self._head.call is None:
            return False
        return self._body_sent and self._exchange.is_reusable

    async def send(
        self, method: bytes, path: bytes, headers: Headers, parts: Sequence[bytes]
    ) -> ResponseHead:
        """Sends the request and returns the head of its response.

        Args:
            method: Method.
            path: Path.
            headers: Headers, with the length of the body.
            parts: Parts of the body.

        Raises:
            TargetFailed: The target sent no valid response to the call.
        """
        assert self._connection is not None
        size = sum(map(len, parts))
        self._connection.allow_slow_reader(allowed=size > LARGE_REQUEST_BYTES)
        self.sent = True
        failure: TargetFailed | None = None
        async with trio.open_nursery() as nursery:
            # A target may respond before it has read a long body.
            nursery.start_soon(self._send_request, method, path, headers, parts)
            try:
                self._head = await self._read_head()
            except TargetFailed as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        assert self._head is not None
        return self._head

    async def _send_request(
        self, method: bytes, path: bytes, headers: Headers, parts: Sequence[bytes]
    ) -> None:
        assert self._exchange is not None
        try:
            await self._exchange.send(method, path, headers, parts)
            self._body_sent = True
        except ConnectionLost:
            # The reader gets the same error, or a response that arrived before it.
            return

    async def _read_head(self) -> ResponseHead:
        assert self._exchange is not None
        for _ in range(MAX_SKIPPED_RESPONSES):
            with _translate_errors(before_response=True):
                response = await self._exchange.read_head()
            head = decode_response_head(response.status_code, list(response.headers))
            self._connections.on_head(self._target, head)
            if self._is_own(head):
                return head
            async for _ in self.read_chunks():
                pass
            with _translate_errors():
                self._exchange = self._exchange.skip_response()
        raise TargetFailed("Got only responses to other calls.")

    def _is_own(self, head: ResponseHead) -> bool:
        """Returns whether a response answers this call.

        Raises:
            TargetFailed: Nobody can tell.
        """
        if head.call is None and self._reused and 200 <= head.status < 300:
            raise TargetFailed("Got a response without a call id on a used connection.")
        return head.call is None or self._call is None or head.call == self._call

    async def read_chunks(self, *, may_be_small: bool = False) -> AsyncIterator[bytes]:
        """Yields the parts of the response's body. Raises the same errors as `send`.

        A faulty target may send a body without end.

        Args:
            may_be_small: Whether the body may have any number of small chunks. The caller
                then limits what they cost.
        """
        assert self._exchange is not None
        chunks = self._exchange.iterate_body()
        size = count = 0
        while True:
            with _translate_errors():
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise TargetFailed(
                    f"The response has more than {MAX_RESPONSE_BYTES} bytes."
                )
            count += 1
            is_small = size < count * MIN_MEAN_CHUNK_BYTES
            if is_small and count > MAX_SMALL_CHUNKS and not may_be_small:
                raise TargetFailed(
                    f"Got {size} bytes in {count} chunks, expected at least "
                    f"{MIN_MEAN_CHUNK_BYTES} bytes a chunk."
                )
            yield chunk

    async def read_body(self) -> bytes:
        """Returns the whole body. Raises the same errors as `send`."""
        chunks = []
        async for chunk in self.read_chunks():
            chunks.append(chunk)
            await self.hold(len(chunk))
        return b"".join(chunks)

    async def hold(self, size: int) -> None:
        """Waits for memory that is held until the end of the request."""
        await self._memory.grow(size)
