"""A TCP forwarder that counts what passes, to see the traffic of one process.

The kernel's network counters are per machine. A process whose platform, instance
list and own listed address are each a forwarder shows its control traffic exactly.
"""

from typing import final

import trio

READ_BYTES = 64 * 1024


@final
class Forwarder:
    """Forwards connections to one address.

    Attributes:
        address: ``host:port`` it listens on, once served.
        peer: ``host:port`` it forwards to.
        bytes_passed: Bytes in both directions so far, without the TCP headers.
        connections: Connections accepted so far.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.address = ""
        self.bytes_passed = 0
        self.connections = 0

    async def serve(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forwards until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, near: trio.SocketStream) -> None:
        self.connections += 1
        host, _, port = self.peer.rpartition(":")
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await near.aclose()
            return
        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, near, far, nursery.cancel_scope)
            nursery.start_soon(self._copy, far, near, nursery.cancel_scope)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(READ_BYTES):
                self.bytes_passed += len(data)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
