"""Tells a connection that its peer has closed from one that its peer has reset.

The kernel reports a reset once, to the next read or write. If a write gets the report, the
reads after it return what has arrived and then a plain end, as after a close. A body that
ends with its connection (RFC 9112, section 6.3) would then seem whole.
"""

import errno
import ssl
from collections.abc import Iterable
from typing import Any, final

import httpcore


def is_reset(error: BaseException) -> bool:
    """Returns whether a failed write may have consumed the report of a reset.

    A write behind the peer's close fails with `EPIPE`: all that the peer sent has arrived.

    Args:
        error: Error of the write. The error of the socket is among its causes, if known.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError):
            return cause.errno != errno.EPIPE
        cause = cause.__cause__
    return True


@final
class ResetAwareStream(httpcore.AsyncNetworkStream):
    """A connection whose end is an error after a reset that a write has consumed."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Wraps a connection."""
        self._stream = stream
        self._was_reset = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns the next bytes; none at the end.

        Raises:
            httpcore.ReadError: The connection failed or was reset.
        """
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._was_reset:
            raise httpcore.ReadError("The peer reset the connection.")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Sends all bytes.

        Raises:
            httpcore.WriteError: The connection failed or was reset.
        """
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError as error:
            self._was_reset = is_reset(error)
            raise

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Returns an encrypted connection, whose end does not depend on this."""
        return await self._stream.start_tls(ssl_context, server_hostname, timeout)

    def get_extra_info(self, info: str) -> Any:
        """Returns a property of the connection by its name."""
        return self._stream.get_extra_info(info)


@final
class ResetAwareBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that report resets."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection.

        Raises:
            httpcore.ConnectError: The connection could not be opened.
            httpcore.ConnectTimeout: Opening took too long.
        """
        stream = await self._backend.connect_tcp(
            host,
            port,
            timeout=timeout,
            local_address=local_address,
            socket_options=socket_options,
        )
        return ResetAwareStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Waits for some seconds."""
        await self._backend.sleep(seconds)
