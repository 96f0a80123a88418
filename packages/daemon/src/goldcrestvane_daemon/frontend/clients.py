"""Serves clients' connections.

Each connection has one task, which serves its requests one after another.
"""

from typing import final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.calls import CallService
from goldcrestvane_daemon.frontend.graceful_shutdown import GracefulShutdown
from goldcrestvane_daemon.frontend.memory_budget import (
    MemoryBudget,
    MemoryReservation,
)
from goldcrestvane_daemon.frontend.metrics import CONNECTIONS
from goldcrestvane_daemon.frontend.object_cache import ObjectCache
from goldcrestvane_daemon.http1 import (
    WRITE_TIMEOUT_SECONDS,
    ConnectionLost,
    ProtocolViolation,
    RequestHead,
    ServerConnection,
)
from goldcrestvane_daemon.ledger.frames import enable_keepalive
from goldcrestvane_daemon.platform.headers import build_refusal_headers
from goldcrestvane_daemon.routes import ClientLimits
from goldcrestvane_daemon.tasks import Task, run_supervised

BODY_TIMEOUT_SECONDS = 10.0
"""Timeout for a client to send a body. It exceeds the longest time limit of a call by
some margin."""

CONFIGURATION_WAIT_SECONDS = 0.5
"""Time for which a call waits for the first configuration of a new process. The store
answers in milliseconds."""

LAST_REQUEST_SECONDS = 1.0
"""Time for which a stopping process waits for the rest of a request's head."""

MEMORY_WAIT_SECONDS = 0.5
"""Time for which a body waits for memory before its request is refused, so that its client
can still try another frontend."""

logger = get_logger("client")


@final
class ClientServer:
    """Serves the connections of clients.

    Attributes:
        busy_count: Number of connections with a request in progress.
    """

    def __init__(
        self,
        *,
        calls: CallService,
        object_cache: ObjectCache,
        shutdown: GracefulShutdown,
        request_memory: MemoryBudget,
    ) -> None:
        self._calls = calls
        self._object_cache = object_cache
        self._shutdown = shutdown
        self._request_memory = request_memory
        self.busy_count = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection until either side closes it."""
        await run_supervised(Task.CLIENT_CONNECTION, self._serve, stream)

    async def _serve(self, stream: trio.SocketStream) -> None:
        limits = self._get_limits()
        connection = ServerConnection(stream, head_bytes=limits.max_header_bytes)
        enable_keepalive(stream, unread_seconds=WRITE_TIMEOUT_SECONDS)
        CONNECTIONS.inc()
        try:
            is_new = True
            while await self._serve_request(connection, is_new=is_new):
                connection.start_next_request()
                is_new = False
        except ProtocolViolation as violation:
            await self._respond_violation(connection, violation)
        except ConnectionLost as error:
            logger.debug("a client's connection ended", extra={"reason": str(error)})
        finally:
            CONNECTIONS.dec()
            await connection.close()

    def _get_limits(self) -> ClientLimits:
        routes = self._object_cache.routes
        return routes.configuration.limits if routes else ClientLimits()

    async def _serve_request(
        self, connection: ServerConnection, *, is_new: bool
    ) -> bool:
        """Serves the next request; returns whether another one may follow."""
        head = await self._read_request_head(connection, is_new=is_new)
        if head is None:
            return False
        self.busy_count += 1
        try:
            with self._request_memory.reserve() as memory:
                body = await self._read_body(connection, memory)
                return await self._handle_request(connection, head, body)
        finally:
            self.busy_count -= 1

    async def _read_body(
        self, connection: ServerConnection, memory: MemoryReservation
    ) -> bytes:
        async def reserve(size: int) -> None:
            with trio.move_on_after(MEMORY_WAIT_SECONDS) as scope:
                await memory.grow(size)
            if scope.cancelled_caught:
                raise ProtocolViolation(
                    "There is no memory for the body now; retry later.",
                    status=503,
                    retry_after=MEMORY_WAIT_SECONDS,
                )

        limits = self._get_limits()
        with trio.move_on_after(BODY_TIMEOUT_SECONDS):
            return await connection.read_body(limits.max_body_bytes, reserve=reserve)
        raise ProtocolViolation("The body did not arrive in time.", status=408)

    async def _handle_request(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> bool:
        headers = (
            [(b"connection", b"close")] if self._shutdown.requested.is_set() else []
        )
        client_gone = False
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                nonlocal client_gone
                await connection.wait_disconnected()
                client_gone = True
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            lost: ConnectionLost | None = None
            try:
                with trio.move_on_after(CONFIGURATION_WAIT_SECONDS):
                    await self._object_cache.synced.wait()
                await self._calls.handle(
                    connection, head, body, self._object_cache.routes, headers
                )
            except ConnectionLost as error:
                lost = error
            nursery.cancel_scope.cancel()
        if lost is not None:
            raise lost
        return not client_gone and connection.is_reusable

    async def _read_request_head(
        self, connection: ServerConnection, *, is_new: bool
    ) -> RequestHead | None:
        """Returns the head of the next request; None if there is none.

        None means that the client has closed the connection, that the idle timeout has
        passed, or that this process shuts down.
        """
        head = None
        failure: ProtocolViolation | ConnectionLost | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_when_idle, nursery.cancel_scope, connection, is_new
            )
            try:
                head = await connection.read_head()
            except (ProtocolViolation, ConnectionLost) as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return head

    async def _cancel_when_idle(
        self, scope: trio.CancelScope, connection: ServerConnection, is_new: bool
    ) -> None:
        """Cancels the scope at the idle timeout or at a shutdown.

        The idle timeout is read again, because the configuration may change during the
        wait. At a shutdown, a request that has begun to arrive is still read, and a
        connection from the backlog may bring its first one.
        """
        began = trio.current_time()
        while trio.current_time() < began + self._get_limits().idle_seconds:
            with trio.move_on_at(began + self._get_limits().idle_seconds):
                await self._shutdown.closing.wait()
                break
        if self._shutdown.closing.is_set() and (is_new or connection.has_unread_data):
            self.busy_count += 1
            try:
                await trio.sleep(LAST_REQUEST_SECONDS)
            finally:
                self.busy_count -= 1
        scope.cancel()

    async def _respond_violation(
        self, connection: ServerConnection, violation: ProtocolViolation
    ) -> None:
        logger.warning("bad request", extra={"reason": str(violation)})
        if connection.response_started:
            return
        headers = build_refusal_headers(call=None, retry_after=violation.retry_after)
        try:
            with trio.move_on_after(1.0):
                await connection.respond(
                    violation.status, [*headers, (b"connection", b"close")]
                )
        except ConnectionLost:
            return
