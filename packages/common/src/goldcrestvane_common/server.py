"""HTTP server used by every process, based on hypercorn and trio."""

import hmac
import logging
import math
import socket
from collections.abc import Callable, Mapping
from contextlib import aclosing
from functools import singledispatch
from typing import Any, final
from urllib.parse import parse_qsl, unquote

import hypercorn.trio
import msgspec
import trio
from hypercorn.config import Config, Sockets

from goldcrestvane_common.errors import (
    HeadersTooLarge,
    InvalidRequest,
    Outcome,
    RequestTimeout,
    RequestTooLarge,
    ServiceError,
    Unauthorized,
    encode_error,
)
from goldcrestvane_common.routing import (
    BytesResponse,
    JsonResponse,
    Request,
    Response,
    Router,
    StreamResponse,
)
from goldcrestvane_common.transport import INTERNAL_PREFIX, PEER_TOKEN_HEADER

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
MAX_PARSED_HEADER_BYTES = 64 * 1024
BODY_TIMEOUT_SECONDS = 10.0
SEND_TIMEOUT_SECONDS = 30.0
MAX_SHOWN_CHARACTERS = 80
KEEP_ALIVE_SECONDS = 75.0
GRACEFUL_SHUTDOWN_SECONDS = 300.0

logger = logging.getLogger(__name__)


@final
class Application:
    """The ASGI application that serves a router.

    Attributes:
        in_flight: Number of requests being served.
    """

    def __init__(
        self,
        router: Router,
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
        body_timeout: float = BODY_TIMEOUT_SECONDS,
        peer_token: str = "",
    ) -> None:
        """Creates an application.

        Args:
            router: Routes to serve.
            max_body_bytes: Size of the largest accepted body.
            body_timeout: Seconds within which a body must arrive.
            peer_token: Secret that requests below `INTERNAL_PREFIX` must carry; if
                empty, none is required.
        """
        self._peer_token = peer_token
        self._router = router
        self._max_body_bytes = max_body_bytes
        self._body_timeout = body_timeout
        self.in_flight = 0

    async def __call__(
        self, scope: dict[str, Any], receive: Callable, send: Callable
    ) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] == "websocket":
            await send({"type": "websocket.close"})
            return
        self.in_flight += 1
        try:
            await self._serve_http(scope, receive, send)
        finally:
            self.in_flight -= 1

    async def _serve_http(
        self, scope: dict[str, Any], receive: Callable, send: Callable
    ) -> None:
        try:
            _check_headers(scope)
            body = await self._read_body(receive)
        except ServiceError as error:
            await _send_error(error, send)
            return
        if body is None:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            await self._respond(scope, body, send)
            nursery.cancel_scope.cancel()

    async def _respond(
        self, scope: dict[str, Any], body: bytes, send: Callable
    ) -> None:
        try:
            request = _build_request(scope, body)
            self._check_peer(request)
            response = await self._router.find(request.method, request.path)(request)
        except ServiceError as error:
            await _send_error(error, send)
            return
        except Exception:
            logger.exception("server: handler failed for %s", scope["path"])
            failure = ServiceError(
                "The server failed to process this request; report it with the time."
            )
            await _send_error(failure, send)
            return
        await _send_response(response, send)

    def _check_peer(self, request: Request) -> None:
        """Rejects an internal request without the peer token."""
        if not self._peer_token or not request.path.startswith(INTERNAL_PREFIX):
            return
        token = request.get_header(PEER_TOKEN_HEADER) or ""
        if not hmac.compare_digest(token.encode(), self._peer_token.encode()):
            raise Unauthorized(
                f"Paths below {INTERNAL_PREFIX} are for the system's own processes. "
                f"Send the peer token in {PEER_TOKEN_HEADER}.",
                field=PEER_TOKEN_HEADER,
            )

    async def _read_body(self, receive: Callable) -> bytes | None:
        """Returns the body, or None if the sender disconnected before its end."""
        with trio.move_on_after(self._body_timeout):
            return await self._collect_body(receive)
        raise RequestTimeout(
            f"The body took longer than {self._body_timeout} s; send it again faster.",
            field="body",
            retry_after=1.0,
        )

    async def _collect_body(self, receive: Callable) -> bytes | None:
        """Reads a body.

        The rest of a body that is too large is read and discarded, so that the sender
        can receive the error; reading stops after `MAX_DISCARDED_BYTES`.
        """
        parts: list[bytes] = []
        size = 0
        more = True
        while more and size <= MAX_DISCARDED_BYTES:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            part = message.get("body", b"")
            more = message.get("more_body", False)
            size += len(part)
            if size <= self._max_body_bytes:
                parts.append(part)
        if size > self._max_body_bytes:
            raise RequestTooLarge(
                f"The body exceeds {self._max_body_bytes} bytes; send less.",
                field="body",
            )
        return b"".join(parts)


def _check_headers(scope: dict[str, Any]) -> None:
    headers = scope["headers"]
    size = sum(len(name) + len(value) for name, value in headers)
    if size <= MAX_HEADER_BYTES:
        return
    longest = max(headers, key=lambda header: len(header[0]) + len(header[1]))
    raise HeadersTooLarge(
        f"Got {size} bytes of headers; send at most {MAX_HEADER_BYTES}.",
        field=longest[0].decode("latin-1").lower()[:MAX_SHOWN_CHARACTERS],
    )


def _build_request(scope: dict[str, Any], body: bytes) -> Request:
    try:
        path = unquote(scope["raw_path"].decode("ascii"), errors="strict")
    except UnicodeDecodeError as error:
        raise InvalidRequest(
            "The path is not percent-encoded UTF-8; encode it as such.", field="path"
        ) from error
    query = scope["query_string"].decode("latin-1")
    return Request(
        method=scope["method"],
        path=path.split("?", 1)[0],
        query=dict(parse_qsl(query, keep_blank_values=True)),
        headers=tuple(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in scope["headers"]
        ),
        body=body,
    )


async def _serve_lifespan(receive: Callable, send: Callable) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _cancel_on_disconnect(receive: Callable, scope: trio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


async def _send_error(error: ServiceError, send: Callable) -> None:
    headers = {}
    if error.retry_after is not None:
        headers["retry-after"] = str(max(1, math.ceil(error.retry_after)))
    if error.call_outcome is Outcome.NOT_RUN:
        headers.setdefault("retry-after", "1")
    response = BytesResponse(
        body=encode_error(error), status=error.status, headers=headers
    )
    await _send_response(response, send)


@singledispatch
async def _send_response(response: Response, send: Callable) -> None:
    raise TypeError(f"Got {type(response).__name__}; expected a Response.")


@_send_response.register
async def _(response: JsonResponse, send: Callable) -> None:
    body = BytesResponse(
        body=msgspec.json.encode(response.value),
        status=response.status,
        headers=response.headers,
    )
    await _send_response(body, send)


@_send_response.register
async def _(response: BytesResponse, send: Callable) -> None:
    headers = {
        "content-type": response.content_type,
        "content-length": str(len(response.body)),
        **response.headers,
    }
    await send(_build_start_message(response.status, headers))
    await _send_end(response.body, send)


@_send_response.register
async def _(response: StreamResponse, send: Callable) -> None:
    headers = {"content-type": response.content_type, **response.headers}
    async with aclosing(response.chunks) as chunks:
        first = await anext(chunks, b"")
        await send(_build_start_message(response.status, headers))
        await send({"type": "http.response.body", "body": first, "more_body": True})
        async for chunk in chunks:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await _send_end(b"", send)


async def _send_end(body: bytes, send: Callable) -> None:
    """Sends the last part of a body.

    While this part is sent, hypercorn reports the end of the exchange, which cancels
    the request. The send is shielded from that, so that hypercorn can still prepare
    the connection for the next request.
    """
    with trio.CancelScope(shield=True):
        await send({"type": "http.response.body", "body": body})


def _build_start_message(status: int, headers: Mapping[str, str]) -> dict[str, Any]:
    return {
        "type": "http.response.start",
        "status": status,
        "headers": [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers.items()
        ],
    }


@final
class ServerConfig(Config):
    """Server configuration that closes connections to peers that stop reading.

    hypercorn sends without a timeout, so the kernel closes them by TCP_USER_TIMEOUT.
    """

    def create_sockets(self) -> Sockets:
        """Returns the listening sockets; accepted sockets inherit the timeout."""
        sockets = super().create_sockets()
        for listener in sockets.insecure_sockets:
            listener.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(SEND_TIMEOUT_SECONDS * 1000),
            )
        return sockets


async def serve_http(
    application: Application,
    address: str,
    *,
    shutdown: trio.Event | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an application until `shutdown` is set and its requests have ended.

    Args:
        application: Application to serve.
        address: ``host:port`` to listen on; port 0 selects a free port. Or ``fd://N``
            with the descriptor of a listening socket, which is closed at the end.
        shutdown: Event that starts a graceful shutdown; None serves until cancelled.
        task_status: Receives the actual ``host:port``.
    """
    config = ServerConfig()
    config.h11_max_incomplete_size = MAX_PARSED_HEADER_BYTES
    config.bind = [address]
    config.graceful_timeout = GRACEFUL_SHUTDOWN_SECONDS
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.accesslog = None
    config.errorlog = None
    trigger = shutdown.wait if shutdown is not None else trio.sleep_forever
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            lambda *, task_status: hypercorn.trio.serve(
                application,
                config,
                mode="asgi",
                shutdown_trigger=trigger,
                task_status=task_status,
            )
        )
        task_status.started(binds[0].split("://", 1)[1])
