"""HTTP server for the metrics of a process in Prometheus text format."""

import h11
import trio
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from goldcrestvane_daemon.http1 import (
    ConnectionLost,
    ProtocolViolation,
    ServerConnection,
)
from goldcrestvane_daemon.tasks import Task, run_supervised

METRICS_PORT = 9464
"""Must match the port in deploy/system.toml."""

MAX_HEAD_BYTES = 8192
REQUEST_TIMEOUT_SECONDS = 5.0


async def serve_metrics(host: str) -> None:
    """Responds to every request with all metrics as text, until cancelled.

    While the port is in use, the process serves its calls without metrics.
    """
    await run_supervised(Task.METRICS_SERVER, _listen, host)


async def _listen(host: str) -> None:
    listeners = await trio.open_tcp_listeners(METRICS_PORT, host=host)
    await trio.serve_listeners(serve_connection, listeners)


async def serve_connection(stream: trio.SocketStream) -> None:
    """Responds to one request with all metrics."""
    await run_supervised(Task.METRICS_CONNECTION, _respond, stream)


async def _respond(stream: trio.SocketStream) -> None:
    connection = ServerConnection(stream, head_bytes=MAX_HEAD_BYTES)
    try:
        with trio.move_on_after(REQUEST_TIMEOUT_SECONDS):
            if await connection.read_head() is not None:
                headers = [
                    (b"content-type", CONTENT_TYPE_LATEST.encode()),
                    (b"connection", b"close"),
                ]
                await connection.respond(200, headers, generate_latest())
    except (ConnectionLost, ProtocolViolation, h11.LocalProtocolError):
        return
    finally:
        await connection.close()
