"""Counts the TCP traffic of one process with a forwarder.

The kernel's network counters cover the whole machine. To measure the control traffic of
one process exactly, a forwarder stands in front of its platform, of its instance list
and of the address at which the instance list names it.
"""

from typing import final

import trio

READ_BYTES = 64 * 1024


@final
class Forwarder:
    """Forwards connections to one address.

    Attributes:
        address: ``host:port`` that it listens on; empty before `serve`.
        peer: ``host:port`` that it forwards to.
        forwarded_bytes: Bytes forwarded so far in both directions, without TCP
            headers.
        connections: Connections accepted so far.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.address = ""
        self.forwarded_bytes = 0
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

    async def _forward(self, client: trio.SocketStream) -> None:
        self.connections += 1
        host, _, port = self.peer.rpartition(":")
        try:
            upstream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await client.aclose()
            return
        async with client, upstream, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, client, upstream, nursery.cancel_scope)
            nursery.start_soon(self._copy, upstream, client, nursery.cancel_scope)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(READ_BYTES):
                self.forwarded_bytes += len(data)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
