"""HTTP client used by every process, with one connection pool per peer."""

from collections.abc import AsyncIterator, Mapping
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass
from typing import Any, final

import httpcore
import msgspec

from goldcrestvane_common.errors import decode_error
from goldcrestvane_common.keepalive import KEEPALIVE_OPTIONS
from goldcrestvane_common.resets import ResetAwareBackend

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_CONNECTIONS_PER_PEER = 512
INTERNAL_PREFIX = "/internal/"
PEER_TOKEN_HEADER = "goldcrestvane-peer-token"
KEEP_ALIVE_EXPIRY_SECONDS = 30.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Maximum size of the body of a response: many pages of objects of 1 MB."""


class TransportError(Exception):
    """Base class of the failures of an HTTP exchange."""


@final
class ConnectFailed(TransportError):
    """No connection was established, so no byte of the request was sent."""


@final
class ExchangeBroken(TransportError):
    """The exchange failed after the request may have been sent."""


@final
@dataclass(frozen=True, kw_only=True)
class ClientResponse:
    """A complete response."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def is_framed(self) -> bool:
        """Whether a body that was cut off would have been noticed by its framing."""
        return _is_framed(self.status, self.headers)

    def decode(self, body_type: type[Any]) -> Any:
        """Decodes the JSON body to a type.

        Raises:
            ServiceError: The response has an error status and an error body.
            ExchangeBroken: The body does not match the type.
        """
        try:
            if self.status >= 400:
                raise decode_error(self.body)
            return msgspec.json.decode(self.body, type=body_type)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise ExchangeBroken(
                f"Got status {self.status} with an unreadable body: {error}."
            ) from error


@final
class StreamedClientResponse:
    """A response whose body is read as it arrives."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response
        self.status: int = response.status
        self.headers = _read_headers(response)

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yields the chunks of the body.

        Raises:
            ExchangeBroken: The connection failed before the end of the body, or the body
                has more than `MAX_RESPONSE_BYTES` bytes.
        """
        size = 0
        try:
            async with aclosing(self._response.aiter_stream()) as chunks:
                async for chunk in chunks:
                    size += len(chunk)
                    if size > MAX_RESPONSE_BYTES:
                        raise ExchangeBroken(
                            f"The response has more than {MAX_RESPONSE_BYTES} bytes."
                        )
                    yield chunk
        except _EXCHANGE_ERRORS as error:
            raise ExchangeBroken(f"The response was cut off: {error!r}.") from error

    async def read(self) -> bytes:
        """Returns the rest of the body."""
        return b"".join([chunk async for chunk in self.iterate()])


_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)


def _read_headers(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }


@final
class Transport:
    """Sends HTTP requests to peers given as ``host:port``.

    Use it as an asynchronous context manager, which closes the connections on exit.
    """

    def __init__(self, *, peer_token: str = "") -> None:
        """Creates a client.

        Args:
            peer_token: Secret that is sent only with requests below
                `INTERNAL_PREFIX`; if empty, none is sent.
        """
        self._peer_token = peer_token
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    async def __aenter__(self) -> "Transport":
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Closes every pool."""
        pools = list(self._pools.values())
        self._pools.clear()
        for pool in pools:
            await pool.aclose()

    async def close_peer(self, peer: str) -> None:
        """Closes the connections to a peer that has left."""
        pool = self._pools.pop(peer, None)
        if pool is not None:
            await pool.aclose()

    async def close_idle(self, peer: str) -> None:
        """Closes the idle connections to a peer; the others are kept."""
        pool = self._pools.get(peer)
        for connection in list(pool.connections) if pool is not None else ():
            if connection.is_idle():
                await connection.aclose()

    def _get_pool(self, peer: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(peer)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS_PER_PEER,
                max_keepalive_connections=MAX_CONNECTIONS_PER_PEER,
                keepalive_expiry=KEEP_ALIVE_EXPIRY_SECONDS,
                # A watch that waits on a dead connection fails.
                socket_options=KEEPALIVE_OPTIONS,
                network_backend=ResetAwareBackend(),
            )
            self._pools[peer] = pool
        return pool

    async def send(
        self,
        method: str,
        peer: str,
        path: str,
        *,
        value: Any = None,
        content: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout: float | None = 5.0,
        allow_unframed: bool = False,
    ) -> ClientResponse:
        """Sends a request and returns the complete response.

        Args:
            method: HTTP method.
            peer: ``host:port``.
            path: Path with query, percent-encoded.
            value: JSON body, encoded by msgspec; None sends no body.
            content: Encoded body, used instead of `value`.
            headers: Additional headers.
            timeout: Seconds without progress after which the exchange fails; None
                waits indefinitely.
            allow_unframed: Whether the body may have neither a length nor chunks and end
                with its connection (RFC 9112, section 6.3). A reset fails the exchange.
                If the peer dies, the connection may end as after the whole body, so the
                caller must find out from the body whether it is whole.

        Raises:
            ConnectFailed: Nothing was sent.
            ExchangeBroken: The request may have been sent.
        """
        async with self.stream(
            method,
            peer,
            path,
            value=value,
            content=content,
            headers=headers,
            timeout=timeout,
            allow_unframed=allow_unframed,
        ) as response:
            body = await response.read()
        return ClientResponse(
            status=response.status, headers=response.headers, body=body
        )

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        peer: str,
        path: str,
        *,
        value: Any = None,
        content: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout: float | None = 5.0,
        allow_unframed: bool = False,
    ) -> AsyncIterator[StreamedClientResponse]:
        """Sends a request and yields the response while its body arrives.

        The arguments and errors are those of `send`.
        """
        if value is not None:
            content = msgspec.json.encode(value)
        connect_timeout = CONNECT_TIMEOUT_SECONDS
        if timeout is not None:
            connect_timeout = min(connect_timeout, timeout)
        timeouts = {
            "connect": connect_timeout,
            "read": timeout,
            "write": timeout,
            "pool": CONNECT_TIMEOUT_SECONDS,
        }
        request_headers = {"content-type": "application/json", **(headers or {})}
        if self._peer_token and path.startswith(INTERNAL_PREFIX):
            request_headers[PEER_TOKEN_HEADER] = self._peer_token
        manager = self._get_pool(peer).stream(
            method,
            f"http://{peer}{path}",
            headers=list(request_headers.items()),
            content=content if content is not None else b"",
            extensions={"timeout": timeouts},
        )
        try:
            response = await manager.__aenter__()
        except _CONNECT_ERRORS as error:
            raise ConnectFailed(f"Cannot connect to {peer}: {error!r}.") from error
        except _EXCHANGE_ERRORS as error:
            raise ExchangeBroken(f"Exchange with {peer} failed: {error!r}.") from error
        try:
            reply = StreamedClientResponse(response)
            if not allow_unframed and not _is_framed(reply.status, reply.headers):
                raise ExchangeBroken(
                    f"{peer} sent a body with neither a length nor chunks; a truncated "
                    "body could not be detected."
                )
            yield reply
        finally:
            await manager.__aexit__(None, None, None)


def _is_framed(status: int, headers: Mapping[str, str]) -> bool:
    """Returns whether the end of a body does not depend on that of the connection."""
    if status in (204, 304):
        return True
    return "content-length" in headers or "transfer-encoding" in headers
