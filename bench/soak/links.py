"""Links to the targets of a soak, which delay, hold, lose and reset."""

import socket
import struct
from enum import Enum
from typing import final

import trio

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.2
RESET_LINGER = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """What a link does with bytes."""

    OPEN = "open"
    DELAYING = "delaying"
    SILENT = "silent"
    """Holds the bytes of both directions."""

    ONE_WAY = "one way"
    """Holds the bytes of responses."""

    RESETTING = "resetting"
    """Resets connections, also new ones."""


HOLDING_REQUESTS = frozenset((LinkState.SILENT,))
HOLDING_RESPONSES = frozenset((LinkState.SILENT, LinkState.ONE_WAY))


@final
class Link:
    """Forwards connections to a port, except during a fault.

    Attributes:
        port: Port on which it accepts connections.
    """

    def __init__(self) -> None:
        self.port = 0
        self._state = LinkState.OPEN
        self._changed = trio.Event()
        self._sink_port = 0
        self._connections: set[trio.CancelScope] = set()

    async def run(self, port: int, *, task_status: trio.TaskStatus[None]) -> None:
        """Forwards connections to a port of this machine until cancelled."""
        self._sink_port = port
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def disturb(self, state: LinkState, seconds: float) -> None:
        """Changes what the link does for some time."""
        self._set_state(state)
        if state is LinkState.RESETTING:
            for scope in self._connections:
                scope.cancel()
        await trio.sleep(seconds)
        self._set_state(LinkState.OPEN)

    def _set_state(self, state: LinkState) -> None:
        self._state = state
        self._changed.set()
        self._changed = trio.Event()

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self._state is LinkState.RESETTING:
            _reset(stream)
            return
        try:
            sink = await trio.open_tcp_stream(HOST, self._sink_port)
        except OSError:
            _reset(stream)
            return
        with trio.CancelScope() as scope:
            self._connections.add(scope)
            try:
                async with trio.open_nursery() as nursery:
                    for held, source, drain in (
                        (HOLDING_REQUESTS, stream, sink),
                        (HOLDING_RESPONSES, sink, stream),
                    ):
                        nursery.start_soon(self._forward, nursery, held, source, drain)
            finally:
                self._connections.remove(scope)
                if scope.cancel_called:
                    _set_reset(stream)
                stream.socket.close()
                sink.socket.close()

    async def _forward(
        self,
        nursery: trio.Nursery,
        held: frozenset[LinkState],
        source: trio.SocketStream,
        drain: trio.SocketStream,
    ) -> None:
        """Forwards bytes until either end closes, and then ends the connection."""
        data = b"-"
        try:
            while data:
                data = await source.receive_some(CHUNK_BYTES)
                while self._state in held:
                    await self._changed.wait()
                if self._state is LinkState.DELAYING:
                    await trio.sleep(DELAY_SECONDS)
                await drain.send_all(data)
        except trio.BrokenResourceError:
            _set_reset(drain)
        nursery.cancel_scope.cancel()


def _set_reset(stream: trio.SocketStream) -> None:
    """Lets the close of a connection reset it."""
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)


def _reset(stream: trio.SocketStream) -> None:
    _set_reset(stream)
    stream.socket.close()
