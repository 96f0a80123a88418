"""Requests and responses between our processes as frames on one TCP connection.

A frame is a length of four bytes and a MessagePack value. Many requests share a
connection and are answered in any order, so a turn costs one small write a member;
HTTP would need a connection for each request under way.
"""

import itertools
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.logs import get_logger

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 32 * 1024 * 1024
"""Largest frame: a whole chain of turns with room to spare."""

CONNECT_SECONDS = 0.3
"""A connection within a region takes ten milliseconds; a machine that is dark answers
no packet, and the next attempt may meet its return."""
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.3
"""A peer that returns is reached within a third of a second."""

KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
"""A silent connection is noticed within three seconds."""

MAX_CALLS_A_CONNECTION = 1024
"""Most requests that one peer may have under way."""

logger = get_logger("peers")


class PeerUnreachable(Exception):
    """The peer did not answer; it may have done what was asked."""


def enable_keepalive(stream: trio.SocketStream) -> None:
    """Lets the kernel notice a connection that went silent."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    milliseconds = KEEPALIVE_SECONDS * (1 + KEEPALIVE_PROBES) * 1000
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


@final
class FrameReader:
    """Splits a stream into frames."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> bytes | None:
        """Returns the next frame, or None at the end of the stream.

        Raises:
            ValueError: The frame is larger than `MAX_FRAME_BYTES`.
        """
        while True:
            if len(self._buffer) >= LENGTH.size:
                (length,) = LENGTH.unpack_from(self._buffer)
                if length > MAX_FRAME_BYTES:
                    raise ValueError(f"got a frame of {length} bytes")
                end = LENGTH.size + length
                if len(self._buffer) >= end:
                    frame = bytes(self._buffer[LENGTH.size : end])
                    del self._buffer[:end]
                    return frame
            data = await self._stream.receive_some()
            if not data:
                return None
            self._buffer += data


def encode_frame(number: int, value: Any) -> bytes:
    """Returns the bytes of one frame."""
    body = msgspec.msgpack.encode((number, value))
    return LENGTH.pack(len(body)) + body


@final
class PeerConnection:
    """A lasting connection to one peer, renewed for as long as `run` runs."""

    def __init__(self, address: str, response_type: Any) -> None:
        self.address = address
        self._decoder = msgspec.msgpack.Decoder(tuple[int, response_type])
        self._numbers = itertools.count()
        self._waiting: dict[int, _Pending] = {}
        self._stream: trio.SocketStream | None = None
        self._write_lock = trio.Lock()
        self._heard_at = 0.0
        self.connected = trio.Event()

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open."""
        return self._stream is not None

    async def run(self) -> None:
        """Keeps the connection open until cancelled."""
        backoff = MIN_BACKOFF_SECONDS
        while True:
            try:
                await self._run_connection()
                backoff = MIN_BACKOFF_SECONDS
            except (
                OSError,
                trio.TooSlowError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ):
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
            await trio.sleep(backoff)

    async def _run_connection(self) -> None:
        host, _, port = self.address.rpartition(":")
        with trio.fail_after(CONNECT_SECONDS):
            stream = await trio.open_tcp_stream(host, int(port))
        logger.info("connected to a peer", extra={"peer": self.address})
        try:
            enable_keepalive(stream)
            self._stream = stream
            self.connected.set()
            reader = FrameReader(stream)
            while (frame := await reader.read()) is not None:
                self._heard_at = trio.current_time()
                number, response = self._decoder.decode(frame)
                pending = self._waiting.get(number)
                if pending is not None:
                    pending.settle(response)
        except (ValueError, msgspec.DecodeError) as error:
            logger.warning(
                "a peer sent an unreadable frame; reconnecting",
                extra={"peer": self.address, "reason": str(error)},
            )
        finally:
            self._stream = None
            self.connected = trio.Event()
            for pending in self._waiting.values():
                pending.settle(None)
            await trio.aclose_forcefully(stream)
            logger.warning(
                "lost the connection to a peer", extra={"peer": self.address}
            )

    async def call(self, request: Any, *, timeout: float) -> Any:
        """Sends a request and returns its response.

        Raises:
            PeerUnreachable: No response came in time; the request may have arrived.
        """
        stream = self._stream
        if stream is None:
            raise PeerUnreachable(f"No connection to {self.address}.")
        started = trio.current_time()
        number = next(self._numbers)
        pending = self._waiting[number] = _Pending()
        try:
            with trio.move_on_after(timeout):
                await self._send(stream, encode_frame(number, request))
                await pending.done.wait()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerUnreachable(f"{self.address} closed the connection.") from error
        finally:
            del self._waiting[number]
        if pending.response is None:
            if self._heard_at < started and self._stream is stream:
                # A silent connection is given up before keep-alive notices it.
                await trio.aclose_forcefully(stream)
                self._stream = None
            raise PeerUnreachable(f"{self.address} did not answer within {timeout} s.")
        return pending.response

    async def _send(self, stream: trio.SocketStream, frame: bytes) -> None:
        async with self._write_lock:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 5.0):
                # A frame that is cut off would spoil the ones after it.
                await stream.send_all(frame)


@final
class _Pending:
    """A request that waits for its response; None when the connection is lost."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.response: Any = None

    def settle(self, response: Any) -> None:
        self.response = response
        self.done.set()


Handler = Callable[[Any], Awaitable[Any]]


async def serve_frames(
    stream: trio.SocketStream, request_type: Any, handle: Handler
) -> None:
    """Serves one peer's connection until it ends."""
    decoder = msgspec.msgpack.Decoder(tuple[int, request_type])
    lock = trio.Lock()
    limit = trio.CapacityLimiter(MAX_CALLS_A_CONNECTION)
    enable_keepalive(stream)

    async def answer(number: int, request: Any) -> None:
        async with limit:
            response = await handle(request)
        try:
            async with lock:
                await stream.send_all(encode_frame(number, response))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    try:
        async with trio.open_nursery() as nursery:
            reader = FrameReader(stream)
            while (frame := await reader.read()) is not None:
                nursery.start_soon(answer, *decoder.decode(frame))
            nursery.cancel_scope.cancel()
    except* (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    except* (ValueError, msgspec.DecodeError) as group:
        logger.warning(
            "a peer sent an unreadable frame; closing",
            extra={"reason": str(group.exceptions[0])},
        )
    finally:
        await trio.aclose_forcefully(stream)
