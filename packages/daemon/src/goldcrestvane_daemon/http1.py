"""HTTP/1.1 on trio streams, based on h11.

hypercorn and httpcore also build on h11, but their cost per call is too high for the
small machines that run entries (see docs/design/platform.md).
"""

import re
import select
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import final

import h11
import msgspec
import trio

from goldcrestvane_common.resets import is_reset

Headers = Sequence[tuple[bytes, bytes]]

READ_BYTES = 65_536
EVENTS_PER_TURN = 64
"""Parts of messages that are parsed in a row before other tasks get a turn. One read may bring
thousands of tiny ones."""

MAX_HEAD_BYTES = 32_768
"""Maximum size of the head of a message. The platform's clients send half of it."""

FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))

MAX_INTERIM_RESPONSES = 8
"""Maximum number of interim responses before a final one."""

WRITE_BYTES = 65_536
WRITE_TIMEOUT_SECONDS = 10.0
"""Timeout for a client to take up to `WRITE_BYTES`: 6.5 KB/s, while the slowest link of the
deployments carries 1.4 MB/s. Most calls end before it by their deadline."""


_QUOTATION = re.compile(r":? (?:bytearray\()?b['\"]")
"""Start of bytes that an error text of h11 quotes."""


class ProtocolViolation(Exception):
    """The peer sent bytes that are not a valid HTTP message.

    Attributes:
        status: Status of the response, if the peer is a client.
        retry_after: Seconds after which the client may retry; None if not stated.
    """

    def __init__(
        self, message: str, *, status: int = 400, retry_after: float | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.retry_after = retry_after


class ConnectionLost(Exception):
    """The connection broke or ended in the middle of a message."""


class RequestHead(msgspec.Struct, frozen=True):
    """A request without its body. Header names are in lower case."""

    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]


def _get_content_length(request: h11.Request) -> int:
    """Returns the declared length of a body; 0 if none is declared."""
    return int(dict(request.headers).get(b"content-length", 0))


def _remove_quotation(text: str) -> str:
    """Returns an error text of h11 without the header line that it quotes, if any.

    A malformed `Authorization` header contains a key.
    """
    return _QUOTATION.split(text, maxsplit=1)[0]


def has_unread_data(connection: trio.socket.SocketType) -> bool:
    """Returns whether a connection has data to read, or was closed by its peer."""
    # Unlike select, poll accepts file descriptors above 1023.
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _join_small_parts(parts: Sequence[bytes | None]) -> list[bytes]:
    """Returns the data to write; a small message is written at once.

    A large one is not copied: it may take seconds to write, and counts once as memory.
    """
    present = [part for part in parts if part]
    if sum(map(len, present)) > WRITE_BYTES:
        return present
    return [b"".join(present)]


@final
class _ParsingPace:
    """Gives other tasks a turn while many parts of a message are parsed in a row."""

    def __init__(self) -> None:
        self._count = 0

    async def count(self) -> None:
        """Counts one part."""
        self._count += 1
        if self._count % EVENTS_PER_TURN == 0:
            await trio.lowlevel.checkpoint()


@final
class ServerConnection:
    """Connection of one client."""

    def __init__(self, stream: trio.SocketStream, *, head_bytes: int) -> None:
        self._stream = stream
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=head_bytes + READ_BYTES
        )
        self._pace = _ParsingPace()
        self._eof_received = False
        self._declared_length = 0
        self._is_head = False

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        states = (self._parser.our_state, self._parser.their_state)
        return states == (h11.DONE, h11.DONE)

    @property
    def response_started(self) -> bool:
        """Whether a part of the response was sent."""
        return self._parser.our_state is not h11.SEND_RESPONSE

    @property
    def has_unread_data(self) -> bool:
        """Whether a part of the next request has arrived."""
        return bool(self._parser.trailing_data[0]) or has_unread_data(
            self._stream.socket
        )

    async def read_head(self) -> RequestHead | None:
        """Returns the next request, or None if the client closed the connection.

        Raises:
            ProtocolViolation: The bytes are not a valid request.
            ConnectionLost: The connection broke in the middle of a request.
        """
        event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise ProtocolViolation(f"Got {type(event).__name__}, expected a request.")
        names = {name for name, _ in event.headers}
        if names >= {b"content-length", b"transfer-encoding"}:
            # An intermediary that follows the other header would see other requests.
            raise ProtocolViolation(
                "The request has both a length and a transfer encoding; send one of them."
            )
        self._declared_length = _get_content_length(event)
        self._is_head = event.method == b"HEAD"
        return RequestHead(event.method, event.target, list(event.headers))

    async def read_body(
        self, limit: int, *, reserve: Callable[[int], Awaitable[None]] | None = None
    ) -> bytes:
        """Returns the whole body.

        Args:
            limit: Maximum size in bytes.
            reserve: Called with the size of each part; no more is read until it returns.

        Raises:
            ProtocolViolation: The body is not well-formed or larger than `limit`.
            ConnectionLost: The connection broke before the body's end.
        """
        if self._declared_length > limit:
            raise ProtocolViolation(
                f"The body has {self._declared_length} bytes, expected at most {limit}; "
                "send less.",
                status=413,
            )
        if self._parser.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(interim)
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ConnectionLost(
                    "The client closed the connection before the end of its request."
                )
            if len(body) + len(event.data) > limit:
                raise ProtocolViolation(
                    f"The body has more than {limit} bytes; send less.", status=413
                )
            body += event.data
            if reserve is not None:
                await reserve(len(event.data))

    def start_next_request(self) -> None:
        """Prepares for the next request on the connection."""
        self._parser.start_next_cycle()

    async def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Sends a complete response.

        The response to HEAD has the length of the body but not the body. If the length
        is unknown, it has none.
        """
        headers = list(headers)
        if body or not self._is_head:
            headers.append((b"content-length", b"%d" % len(body)))
        if self._is_head:
            body = b""
        parts = [
            self._parser.send(h11.Response(status_code=status, headers=headers)),
            self._parser.send(h11.Data(data=body)) if body else b"",
            self._parser.send(h11.EndOfMessage()),
        ]
        for data in _join_small_parts(parts):
            await self._write(data)

    async def start_response(self, status: int, headers: Headers) -> None:
        """Sends the head of a response."""
        await self._send(h11.Response(status_code=status, headers=list(headers)))

    async def send_body(self, data: bytes) -> None:
        """Sends a part of the response's body."""
        await self._send(h11.Data(data=data))

    async def end_response(self) -> None:
        """Ends the response's body."""
        await self._send(h11.EndOfMessage())

    async def wait_disconnected(self) -> None:
        """Returns when the client has closed the connection.

        Data that arrives during the wait is buffered for the next request.
        """
        while not self._eof_received:
            if len(self._parser.trailing_data[0]) > READ_BYTES:
                await trio.sleep_forever()
            data = await self._receive()
            self._parser.receive_data(data)

    async def close(self) -> None:
        """Closes the connection. The kernel still delivers data that was sent."""
        await trio.aclose_forcefully(self._stream)

    async def _receive(self) -> bytes:
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except trio.BrokenResourceError:
            data = b""
        self._eof_received = self._eof_received or not data
        return bytes(data)

    async def _next_event(self) -> h11.Event:
        # Before parsing, so that no event is lost if the caller is cancelled here.
        await self._pace.count()
        try:
            while (event := self._parser.next_event()) is h11.NEED_DATA:
                data = b"" if self._eof_received else await self._receive()
                self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            reason = _remove_quotation(str(error))
            if self._eof_received:
                raise ConnectionLost(reason) from None
            raise ProtocolViolation(
                f"The request is not well-formed: {reason}.",
                status=error.error_status_hint,
            ) from None
        if event is h11.PAUSED:
            raise ProtocolViolation(
                "Got bytes before the response to the last request."
            )
        return event  # type: ignore[return-value]

    async def _send(self, event: h11.Event) -> None:
        await self._write(self._parser.send(event) or b"")

    async def _write(self, data: bytes) -> None:
        parts = memoryview(data)
        for start in range(0, len(data), WRITE_BYTES):
            with trio.move_on_after(WRITE_TIMEOUT_SECONDS) as scope:
                await self._write_part(parts[start : start + WRITE_BYTES])
            if scope.cancelled_caught:
                raise ConnectionLost("The client does not read its response.")

    async def _write_part(self, part: memoryview) -> None:
        try:
            await self._stream.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLost("The client closed the connection.") from error


@final
class ClientExchange:
    """One request and its response on a connection to a target.

    Each request needs a new exchange. `leftover` holds bytes that an earlier exchange on
    the connection received but did not use.

    Attributes:
        is_framed: Whether the body of the response has a length or chunks. Otherwise it
            ends with the connection (RFC 9112, section 6.3).
    """

    def __init__(self, stream: trio.SocketStream, leftover: bytes = b"") -> None:
        self._stream = stream
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES + READ_BYTES
        )
        self._pace = _ParsingPace()
        self._eof_received = False
        self._was_reset = False
        self._leftover = leftover
        self.is_framed = True

    async def send(
        self, method: bytes, path: bytes, headers: Headers, parts: Sequence[bytes]
    ) -> None:
        """Sends a whole request, whose body is given in parts.

        Raises:
            ConnectionLost: The connection broke; the request may have arrived.
        """
        request = h11.Request(method=method, target=path, headers=list(headers))
        encoded = [self._parser.send(request)]
        encoded += [self._parser.send(h11.Data(data=part)) for part in parts if part]
        encoded.append(self._parser.send(h11.EndOfMessage()))
        try:
            for data in _join_small_parts(encoded):
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._was_reset = is_reset(error)
            raise ConnectionLost("The target closed the connection.") from error

    async def read_head(self) -> h11.Response:
        """Returns the head of the next response.

        Raises:
            ConnectionLost: The connection ended before a response.
            ProtocolViolation: The bytes are not a valid response.
        """
        if self._leftover:
            self._parser.receive_data(self._leftover)
            self._leftover = b""
        for _ in range(1 + MAX_INTERIM_RESPONSES):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                names = {name for name, _ in event.headers}
                self.is_framed = bool(names & FRAMING_HEADERS)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost(
                    "The target closed the connection before its response."
                )
        raise ProtocolViolation(
            f"Got more than {MAX_INTERIM_RESPONSES} interim responses."
        )

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yields the parts of the body as they arrive.

        Raises:
            ConnectionLost: The connection ended before the end of the body.
            ProtocolViolation: The bytes are not a valid body.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnectionLost(
                    "The target closed the connection before the end of its response."
                )
            yield bytes(event.data)

    def skip_response(self) -> "ClientExchange":
        """Returns an exchange that reads the response after the one just read.

        The response just read may be a late response to an earlier request.

        Raises:
            ConnectionLost: The target closes the connection after this response.
        """
        if self._parser.their_state is not h11.DONE:
            raise ConnectionLost("Got only the response to another request.")
        following = ClientExchange(self._stream, bytes(self._parser.trailing_data[0]))
        following._was_reset = self._was_reset
        following._mark_request_sent()
        return following

    def _mark_request_sent(self) -> None:
        self._parser.send(
            h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"-")])
        )
        self._parser.send(h11.EndOfMessage())

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can take another request."""
        states = (self._parser.our_state, self._parser.their_state)
        idle = states == (h11.DONE, h11.DONE)
        return idle and not self._parser.trailing_data[0] and not self._eof_received

    async def _next_event(self) -> h11.Event:
        # Before parsing, so that no event is lost if the caller is cancelled here.
        await self._pace.count()
        try:
            while (event := self._parser.next_event()) is h11.NEED_DATA:
                self._parser.receive_data(await self._receive())
        except h11.RemoteProtocolError as error:
            if self._eof_received:
                raise ConnectionLost(str(error)) from error
            raise ProtocolViolation(
                f"The response is not well-formed: {error}."
            ) from error
        if event is h11.PAUSED:
            raise ProtocolViolation("Got bytes after the end of the response.")
        return event  # type: ignore[return-value]

    async def _receive(self) -> bytes:
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            # A body without a length ends with a close, never with a reset.
            raise ConnectionLost("The target reset the connection.") from error
        if not data and self._was_reset:
            raise ConnectionLost("The target reset the connection during the request.")
        self._eof_received = self._eof_received or not data
        return bytes(data)
