"""Connections to targets, and one attempt of a call on one of them."""

import select
from collections import deque
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from typing import final

import trio

from goldcrestvane_daemon.http1 import (
    ClientExchange,
    ConnectionLost,
    Headers,
    ProtocolViolation,
)
from goldcrestvane_daemon.ledger.frames import enable_keepalive
from goldcrestvane_daemon.platform.headers import ResponseHead, decode_response_head
from goldcrestvane_daemon.targets import Target

CONNECT_TIMEOUT_SECONDS = 0.5
"""A connection within a region takes ten milliseconds, one with a lost packet more."""

DEFAULT_IDLE_SECONDS = 4.0
"""Idle time after which a connection is not used again, if the target names none."""

IDLE_MARGIN_SECONDS = 1.0
"""How much sooner than the target this side gives up an idle connection."""

MAX_IDLE_CONNECTIONS = 16
"""Idle connections kept to one target: its slots."""

MAX_SKIPPED_RESPONSES = 3
"""Late answers to earlier calls that are read past on one connection."""


class ConnectFailed(Exception):
    """No connection was made; nothing was sent."""


class TargetFailed(Exception):
    """The target broke off or sent bytes that are no answer; the call may have run.

    Attributes:
        before_response: Whether the connection ended before any answer.
    """

    def __init__(self, message: str, *, before_response: bool = False) -> None:
        super().__init__(message)
        self.before_response = before_response


@contextmanager
def _translate_errors(*, before_response: bool = False) -> Iterator[None]:
    try:
        yield
    except ConnectionLost as error:
        raise TargetFailed(str(error), before_response=before_response) from error
    except ProtocolViolation as error:
        raise TargetFailed(str(error)) from error


@final
class _IdleConnection:
    """A connection that waits for the next call."""

    def __init__(self, stream: trio.SocketStream, usable_until: float) -> None:
        self.stream = stream
        self.usable_until = usable_until

    def is_usable(self, now: float) -> bool:
        """Tells whether the target has neither closed it nor sent anything."""
        if now >= self.usable_until:
            return False
        readable, _, _ = select.select([self.stream.socket.fileno()], [], [], 0)
        return not readable


@final
class TargetConnectionPool:
    """Idle connections to targets, by the targets' starts."""

    def __init__(self) -> None:
        self._idle: dict[object, deque[_IdleConnection]] = {}
        self.opened_count = 0

    async def open(self, target: Target) -> trio.SocketStream:
        """Returns a connection on which nothing is under way.

        Raises:
            ConnectFailed: No connection was made.
        """
        idle = self._idle.get(target.key)
        while idle:
            connection = idle.pop()
            if connection.is_usable(trio.current_time()):
                return connection.stream
            await trio.aclose_forcefully(connection.stream)
        return await self.connect(target)

    async def connect(self, target: Target) -> trio.SocketStream:
        """Returns a new connection; errors as for `open`."""
        self.opened_count += 1
        try:
            with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                stream = await trio.open_tcp_stream(target.host, target.port)
        except (OSError, trio.TooSlowError) as error:
            raise ConnectFailed(
                f"No connection to {target.host}:{target.port}: {error!r}."
            ) from error
        enable_keepalive(stream)
        return stream

    def release(
        self, target: Target, stream: trio.SocketStream, idle_seconds: float | None
    ) -> bool:
        """Keeps a connection for the next call; returns whether it was kept."""
        idle = self._idle.setdefault(target.key, deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            return False
        seconds = DEFAULT_IDLE_SECONDS if idle_seconds is None else idle_seconds
        usable = seconds - IDLE_MARGIN_SECONDS
        if usable <= 0:
            return False
        idle.append(_IdleConnection(stream, trio.current_time() + usable))
        return True

    async def close_target(self, target: Target) -> None:
        """Closes the idle connections to a target that is gone."""
        for connection in self._idle.pop(target.key, ()):
            await trio.aclose_forcefully(connection.stream)


@final
class TargetRequest:
    """One call on one connection to one target.

    Use it as an asynchronous context manager. Leaving it before the end of the answer
    closes the connection, upon which most targets drop the call.
    """

    def __init__(self, connections: TargetConnectionPool, target: Target) -> None:
        self._connections = connections
        self._target = target
        self._stream: trio.SocketStream | None = None
        self._exchange: ClientExchange | None = None
        self._head: ResponseHead | None = None
        self._body_sent = False
        self.sent = False

    async def __aenter__(self) -> "TargetRequest":
        self._stream = await self._connections.open(self._target)
        self._exchange = ClientExchange(self._stream)
        return self

    async def __aexit__(self, *details: object) -> None:
        assert self._stream is not None and self._exchange is not None
        idle_seconds = self._head.idle_seconds if self._head else None
        reusable = self._body_sent and self._exchange.is_reusable
        if reusable and self._connections.release(
            self._target, self._stream, idle_seconds
        ):
            return
        await trio.aclose_forcefully(self._stream)

    async def send(
        self,
        method: bytes,
        path: bytes,
        headers: Headers,
        body: bytes,
        *,
        call: str | None,
    ) -> ResponseHead:
        """Sends the call and returns the head of its answer.

        Raises:
            TargetFailed: There is no such answer.
        """
        self.sent = True
        failure: TargetFailed | None = None
        async with trio.open_nursery() as nursery:
            # A target may answer before it has read a long body.
            nursery.start_soon(self._send_request, method, path, headers, body)
            try:
                self._head = await self._read_head(call)
            except TargetFailed as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        assert self._head is not None
        return self._head

    async def _send_request(
        self, method: bytes, path: bytes, headers: Headers, body: bytes
    ) -> None:
        assert self._exchange is not None
        try:
            await self._exchange.send(method, path, headers, body)
            self._body_sent = True
        except ConnectionLost:
            # The reader sees the same, or an answer that came before the reset.
            return

    async def _read_head(self, call: str | None) -> ResponseHead:
        assert self._exchange is not None
        for _ in range(MAX_SKIPPED_RESPONSES):
            with _translate_errors(before_response=True):
                response = await self._exchange.read_head()
            head = decode_response_head(response.status_code, list(response.headers))
            if head.call is None or call is None or head.call == call:
                return head
            async for _ in self.read_chunks():
                pass
            with _translate_errors():
                self._exchange = self._exchange.skip_response()
        raise TargetFailed("Got only answers to other calls.")

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yields the parts of the answer's body; errors as for `send`."""
        assert self._exchange is not None
        chunks = self._exchange.iterate_body()
        while True:
            with _translate_errors():
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            yield chunk

    async def read_body(self, limit: int) -> bytes:
        """Returns the whole body; errors as for `send`."""
        chunks = []
        size = 0
        async for chunk in self.read_chunks():
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                raise TargetFailed(f"The answer has more than {limit} bytes.")
        return b"".join(chunks)
