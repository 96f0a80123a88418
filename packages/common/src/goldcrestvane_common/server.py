"""HTTP server of every process: a route table served by hypercorn on trio."""

import logging
import math
import socket
from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from contextlib import aclosing
from dataclasses import dataclass, field
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
    NotFound,
    Outcome,
    RequestTimeout,
    RequestTooLarge,
    ServiceError,
    encode_error,
)

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
MAX_PARSED_HEADER_BYTES = 64 * 1024
BODY_TIMEOUT_SECONDS = 10.0
STALLED_SEND_SECONDS = 30.0
MAX_SHOWN_CHARACTERS = 80
KEEP_ALIVE_SECONDS = 75.0
GRACEFUL_STOP_SECONDS = 300.0

logger = logging.getLogger(__name__)


@final
@dataclass(frozen=True, kw_only=True)
class Request:
    """One HTTP request with its whole body.

    Attributes:
        method: HTTP method in upper case.
        path: Decoded path.
        query: Query parameters; the last of a repeated name wins.
        headers: Header pairs in the order received, names in lower case.
        body: Raw body.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def get_header(self, name: str) -> str | None:
        """Returns the value of a header that may stand once.

        Raises:
            InvalidRequest: The header stands more than once.
        """
        values = [value for key, value in self.headers if key == name]
        if len(values) > 1:
            raise InvalidRequest(
                f"Header {name} was sent {len(values)} times; send it once.",
                field=name,
            )
        return values[0] if values else None

    def decode(self, body_type: type[Any]) -> Any:
        """Returns the JSON body as a typed value.

        Raises:
            InvalidRequest: The body is not JSON, or does not fit the type.
        """
        try:
            return msgspec.json.decode(self.body, type=body_type)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise InvalidRequest(
                f"The body does not parse: {error}. Send JSON that fits the reference.",
                field="body",
            ) from error


@final
@dataclass(frozen=True, kw_only=True)
class JsonResponse:
    """A whole response with a JSON body of any msgspec-encodable value."""

    value: Any = None
    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)


@final
@dataclass(frozen=True, kw_only=True)
class BytesResponse:
    """A whole response with an encoded body."""

    body: bytes
    content_type: str = "application/json"
    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)


@final
@dataclass(frozen=True, kw_only=True)
class StreamResponse:
    """A response sent chunk by chunk.

    An iterator that raises ends the connection without the last chunk, so that the
    receiver never takes the body for a whole one. The iterator is
    started before the head is sent, and closed when the receiver leaves, so that what
    it holds is freed in any case.
    """

    chunks: AsyncGenerator[bytes, None]
    content_type: str = "text/event-stream"
    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)


Response = JsonResponse | BytesResponse | StreamResponse
Handler = Callable[[Request], Awaitable[Response]]


class Router:
    """A table of routes; the longest matching path prefix wins."""

    def __init__(self) -> None:
        self._exact: dict[tuple[str, str], Handler] = {}
        self._prefixes: list[tuple[str, str, Handler]] = []

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Adds a route; a path that ends with ``/`` matches every path below it."""
        if not path.endswith("/"):
            self._exact[method, path] = handler
            return
        self._prefixes.append((method, path, handler))
        self._prefixes.sort(key=lambda route: -len(route[1]))

    def find(self, method: str, path: str) -> Handler:
        """Returns the handler of a request.

        Raises:
            NotFound: No route matches.
        """
        handler = self._exact.get((method, path))
        if handler is not None:
            return handler
        for route_method, prefix, handler in self._prefixes:
            if route_method == method and path.startswith(prefix):
                return handler
        raise NotFound(
            f"No route for {method} {path}; see docs/reference/http.md.", field="path"
        )


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
    ) -> None:
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
            await self._answer(scope, body, send)
            nursery.cancel_scope.cancel()

    async def _answer(self, scope: dict[str, Any], body: bytes, send: Callable) -> None:
        try:
            request = _build_request(scope, body)
            response = await self._router.find(request.method, request.path)(request)
        except ServiceError as error:
            await _send_error(error, send)
            return
        except Exception:
            logger.exception("server: handler failed for %s", scope["path"])
            failure = ServiceError(
                "The server failed on this request; report it with the time."
            )
            await _send_error(failure, send)
            return
        await _send_response(response, send)

    async def _read_body(self, receive: Callable) -> bytes | None:
        """Returns the body, or None when the sender left before its end."""
        with trio.move_on_after(self._body_timeout):
            return await self._collect_body(receive)
        raise RequestTimeout(
            f"The body took over {self._body_timeout} s; send it again faster.",
            field="body",
            retry_after=1.0,
        )

    async def _collect_body(self, receive: Callable) -> bytes | None:
        """Reads a body; one too large is read on, so that its sender sees the error."""
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
            "The path is not UTF-8 in percent encoding; encode it so.", field="path"
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
    await send(_build_start(response.status, headers))
    await _send_end(response.body, send)


@_send_response.register
async def _(response: StreamResponse, send: Callable) -> None:
    headers = {"content-type": response.content_type, **response.headers}
    async with aclosing(response.chunks) as chunks:
        first = await anext(chunks, b"")
        await send(_build_start(response.status, headers))
        await send({"type": "http.response.body", "body": first, "more_body": True})
        async for chunk in chunks:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await _send_end(b"", send)


async def _send_end(body: bytes, send: Callable) -> None:
    """Sends the last part of a body.

    Within this send the server reports the end of the exchange, which cancels the
    request; the connection must all the same be made ready for the next one.
    """
    with trio.CancelScope(shield=True):
        await send({"type": "http.response.body", "body": body})


def _build_start(status: int, headers: Mapping[str, str]) -> dict[str, Any]:
    return {
        "type": "http.response.start",
        "status": status,
        "headers": [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers.items()
        ],
    }


@final
class BoundedConfig(Config):
    """Configuration of a server that gives up a peer which stops reading.

    hypercorn sends without a timeout, so the kernel ends such a connection.
    """

    def create_sockets(self) -> Sockets:
        """Returns the sockets to listen on; accepted ones inherit the timeout."""
        sockets = super().create_sockets()
        for listener in sockets.insecure_sockets:
            listener.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(STALLED_SEND_SECONDS * 1000),
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
        application: What to serve.
        address: ``host:port`` to listen on; port 0 picks a free one.
        shutdown: Set to stop gracefully; None serves until cancelled.
        task_status: Receives the ``host:port`` that is listened on.
    """
    config = BoundedConfig()
    config.h11_max_incomplete_size = MAX_PARSED_HEADER_BYTES
    config.bind = [address]
    config.graceful_timeout = GRACEFUL_STOP_SECONDS
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
