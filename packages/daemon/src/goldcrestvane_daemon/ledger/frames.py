"""Requests and responses between the system's processes as frames on a TCP connection.

A frame is a four-byte length followed by a MessagePack value. Many requests share one
connection, and responses may arrive in any order, so a turn costs one small write per
member. HTTP would need a separate connection for each request in flight.
"""

import itertools
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, final

import msgspec
import trio
from prometheus_client import Counter

from goldcrestvane_common.keepalive import KEEPALIVE_OPTIONS
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.tasks import Task, run_supervised

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 32 * 1024 * 1024
"""Limit on the size of a frame; a complete chain of turns is well below it."""

CONNECT_TIMEOUT_SECONDS = 0.3
"""Connecting within a region takes ten milliseconds. A machine that lost its network
answers no packet, so a short timeout lets the next attempt find it reachable again."""
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.3
"""A peer that becomes reachable again is reconnected within this time."""

SEND_TIMEOUT_SECONDS = 5.0
"""Timeout of sending one frame, after which its connection is closed."""

MAX_ABANDONED_REQUESTS = 256
"""Maximum number of requests without a response that are remembered per connection."""

MAX_REQUESTS_PER_CONNECTION = 1024
"""Limit on the requests of one peer that are handled concurrently, or whose responses it
has not read."""

MIN_BOUNDED_BYTES = 4096
"""Size from which a response may be refused since others are unsent. Smaller ones, such
as the response to a write, are always sent."""

UNREADABLE_ERRORS = (ValueError, msgspec.DecodeError, RecursionError)
"""Errors of frames that cannot be decoded. Deep nesting exceeds the decoder's stack."""

LATE_RESPONSES = Counter(
    "goldcrestvane_late_peer_responses",
    "Responses of other processes to requests whose senders no longer wait",
)

logger = get_logger("peers")

_decode_envelope = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw]).decode


class PeerUnreachable(Exception):
    """The peer did not respond; it may still have processed the request."""


def enable_keepalive(
    stream: trio.SocketStream, *, unread_seconds: float | None = None
) -> None:
    """Makes the kernel close a connection whose peer no longer responds.

    Args:
        stream: The connection.
        unread_seconds: Time for which the peer may leave sent data unread. The default
            is that for which it may be silent. A peer that reads slowly but steadily may
            exceed it, since it announces space only once a whole segment fits.
    """
    for option in KEEPALIVE_OPTIONS:
        stream.setsockopt(*option)
    if unread_seconds is not None:
        milliseconds = int(unread_seconds * 1000)
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
                    raise ValueError(f"a frame of {length} bytes exceeds the limit")
                end = LENGTH.size + length
                if len(self._buffer) >= end:
                    with memoryview(self._buffer) as view:
                        frame = bytes(view[LENGTH.size : end])
                    del self._buffer[:end]
                    return frame
            data = await self._stream.receive_some()
            if not data:
                return None
            self._buffer += data


def encode_frame(request_id: int, value: Any) -> bytes:
    """Returns the encoded frame of a value."""
    body = msgspec.msgpack.encode((request_id, value))
    return LENGTH.pack(len(body)) + body


def _split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address; raises ValueError if it is none."""
    host, _, port = address.rpartition(":")
    host.encode("idna")
    return host, int(port)


@final
class PeerConnection:
    """A connection to one peer, which `run` re-establishes after each failure."""

    def __init__(self, address: str, response_type: Any) -> None:
        self.address = address
        self._decoder = msgspec.msgpack.Decoder(tuple[int, response_type])
        self._request_ids = itertools.count()
        self._pending: dict[int, _Pending] = {}
        self._abandoned: dict[int, float] = {}
        self._stream: trio.SocketStream | None = None
        self._write_lock = trio.Lock()
        self._last_received_at = 0.0
        self.connected = trio.Event()

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""
        return self._stream is not None

    async def run(self) -> None:
        """Connects, and reconnects after each failure, until cancelled.

        Returns if the address of the peer cannot be read.
        """
        try:
            host, port = _split_address(self.address)
        except ValueError as error:
            logger.warning(
                "cannot connect to a peer: its address cannot be read",
                extra={"peer": self.address, "reason": str(error)},
            )
            return
        await run_supervised(Task.PEER, self._run, host, port)

    async def _run(self, host: str, port: int) -> None:
        backoff = MIN_BACKOFF_SECONDS
        while True:
            try:
                await self._run_connection(host, port)
                backoff = MIN_BACKOFF_SECONDS
            except (
                OSError,
                trio.TooSlowError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ):
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
            await trio.sleep(backoff)

    async def _run_connection(self, host: str, port: int) -> None:
        with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await trio.open_tcp_stream(host, port)
        logger.info("connected to a peer", extra={"peer": self.address})
        try:
            enable_keepalive(stream)
            self._stream = stream
            self.connected.set()
            reader = FrameReader(stream)
            while (frame := await reader.read()) is not None:
                self._last_received_at = trio.current_time()
                request_id, response = self._decoder.decode(frame)
                pending = self._pending.get(request_id)
                if pending is not None:
                    pending.resolve(response)
                else:
                    self._record_late_response(request_id, response)
        except UNREADABLE_ERRORS as error:
            logger.warning(
                "a peer sent an unreadable frame; reconnecting",
                extra={"peer": self.address, "reason": str(error)},
            )
        finally:
            self._stream = None
            self.connected = trio.Event()
            self._abandoned.clear()
            for pending in self._pending.values():
                pending.resolve(None)
            await trio.aclose_forcefully(stream)
            logger.warning(
                "lost the connection to a peer", extra={"peer": self.address}
            )

    async def call(self, request: Any, *, timeout: float) -> Any:
        """Sends a request and returns its response.

        Raises:
            PeerUnreachable: No response arrived in time; the peer may have received the
                request.
        """
        stream = self._stream
        if stream is None:
            raise PeerUnreachable(f"No connection to {self.address}.")
        started = trio.current_time()
        request_id = next(self._request_ids)
        pending = self._pending[request_id] = _Pending()
        try:
            with trio.move_on_after(timeout) as scope:
                await self._send(stream, encode_frame(request_id, request))
                await pending.done.wait()
            if scope.cancelled_caught:
                # A process that runs late finds the timeout and the response at once. One
                # pass of the loop polls the socket, and the next one runs the reader.
                for _ in range(2):
                    await trio.lowlevel.checkpoint()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerUnreachable(f"{self.address} closed the connection.") from error
        finally:
            del self._pending[request_id]
            if not pending.done.is_set() and self._stream is stream:
                self._abandon(request_id, started)
        if pending.response is None:
            if self._last_received_at < started and self._stream is stream:
                # Closes an unresponsive connection before keep-alive detects it.
                await trio.aclose_forcefully(stream)
                self._stream = None
            raise PeerUnreachable(f"{self.address} did not answer within {timeout} s.")
        return pending.response

    def _abandon(self, request_id: int, started: float) -> None:
        """Remembers a request whose response nobody waits for any more."""
        if len(self._abandoned) >= MAX_ABANDONED_REQUESTS:
            del self._abandoned[next(iter(self._abandoned))]
        self._abandoned[request_id] = started

    def _record_late_response(self, request_id: int, response: Any) -> None:
        started = self._abandoned.pop(request_id, None)
        if started is None:
            return
        LATE_RESPONSES.inc()
        logger.info(
            "a response of a peer came late",
            extra={
                "peer": self.address,
                "response": type(response).__name__,
                "ms": round((trio.current_time() - started) * 1000, 1),
            },
        )

    async def _send(self, stream: trio.SocketStream, frame: bytes) -> None:
        async with self._write_lock:
            deadline = trio.current_time() + SEND_TIMEOUT_SECONDS
            with trio.CancelScope(shield=True, deadline=deadline) as scope:
                # A partially sent frame would corrupt the frames after it.
                await stream.send_all(frame)
        if scope.cancelled_caught:
            self._stream = None
            await trio.aclose_forcefully(stream)


@final
class _Pending:
    """A request without a response yet; a lost connection resolves it with None."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.response: Any = None

    def resolve(self, response: Any) -> None:
        if self.done.is_set():
            # The connection was lost after the response had come.
            return
        self.response = response
        self.done.set()


Handler = Callable[[Any], Awaitable[Any]]


@final
class UnsentResponses:
    """Bounds the memory of large responses that the peers of a process have not read.

    Attributes:
        size: Total size of these responses in bytes.
    """

    def __init__(self, limit: int, refusal: Any) -> None:
        """Creates an empty bound.

        Args:
            limit: Maximum total size in bytes.
            refusal: Response that is sent in place of one that exceeds the limit.
        """
        self._limit = limit
        self._refusal = refusal
        self.size = 0

    def limit_frame(self, request_id: int, frame: bytes) -> bytes:
        """Returns a frame, or that of the refusal if there is no room for it."""
        if len(frame) < MIN_BOUNDED_BYTES or self.size + len(frame) <= self._limit:
            return frame
        return encode_frame(request_id, self._refusal)


async def serve_frames(
    stream: trio.SocketStream,
    request_type: Any,
    handle: Handler,
    unsent: UnsentResponses | None = None,
    *,
    failure: Any = None,
) -> None:
    """Serves the connection of one peer until the peer closes it.

    An unexpected error in one request, or on the connection, ends nothing else.

    Args:
        stream: The connection.
        request_type: Type of the requests.
        handle: Returns the response to a request.
        unsent: Bound on the responses of all connections together, if any.
        failure: Response to a request whose handler failed, or that has a field which is
            not valid; None sends none, and closes the connection in the second case.
    """
    server = _FrameServer(stream, handle, unsent, failure)
    try:
        await run_supervised(Task.PEER_CONNECTION, server.run, request_type)
    finally:
        await trio.aclose_forcefully(stream)


@final
class _FrameServer:
    """Serves the requests of one connection."""

    def __init__(
        self,
        stream: trio.SocketStream,
        handle: Handler,
        unsent: UnsentResponses | None,
        failure: Any,
    ) -> None:
        self._stream = stream
        self._handle = handle
        self._unsent = unsent
        self._failure = failure
        self._lock = trio.Lock()
        self._slots = trio.Semaphore(MAX_REQUESTS_PER_CONNECTION)

    async def run(self, request_type: Any) -> None:
        """Reads requests until the end of the stream."""
        decoder = msgspec.msgpack.Decoder(tuple[int, request_type])
        enable_keepalive(self._stream)
        try:
            async with trio.open_nursery() as nursery:
                reader = FrameReader(self._stream)
                while (frame := await reader.read()) is not None:
                    try:
                        request_id, request = decoder.decode(frame)
                    except msgspec.ValidationError as error:
                        await self._refuse(frame, error)
                        continue
                    await self._slots.acquire()
                    nursery.start_soon(self._serve_request, request_id, request)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* UNREADABLE_ERRORS as group:
            logger.warning(
                "a peer sent an unreadable frame; closing",
                extra={"reason": str(group.exceptions[0])},
            )

    async def _refuse(self, frame: bytes, error: msgspec.ValidationError) -> None:
        """Answers a request that is not valid, so that the others of its peer go on.

        Raises:
            msgspec.ValidationError: The request cannot be answered.
        """
        if self._failure is None:
            raise error
        request_id, _ = _decode_envelope(frame)
        logger.warning("refused a request of a peer", extra={"reason": str(error)})
        await self._send(request_id, encode_frame(request_id, self._failure))

    async def _serve_request(self, request_id: int, request: Any) -> None:
        response: Any = None

        async def build() -> None:
            nonlocal response
            response = encode_frame(request_id, await self._handle(request))

        try:
            if not await run_supervised(Task.PEER_REQUEST, build):
                if self._failure is None:
                    return
                response = encode_frame(request_id, self._failure)
            await self._send(request_id, response)
        finally:
            self._slots.release()

    async def _send(self, request_id: int, frame: bytes) -> None:
        size = 0
        try:
            if self._unsent is not None:
                frame = self._unsent.limit_frame(request_id, frame)
                size = len(frame)
                self._unsent.size += size
            async with self._lock:
                await self._stream.send_all(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            if self._unsent is not None:
                self._unsent.size -= size
