"""Serves the counters and histograms of a process as text."""

import h11
import trio
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from goldcrestvane_daemon.http1 import (
    ConnectionLost,
    ProtocolViolation,
    ServerConnection,
)

METRICS_PORT = 9464
"""Stated in deploy/system.toml as well."""

HEAD_BYTES = 8192
READ_SECONDS = 5.0


async def serve_metrics(host: str) -> None:
    """Answers each request with the text form of all metrics, until cancelled."""
    listeners = await trio.open_tcp_listeners(METRICS_PORT, host=host)
    await trio.serve_listeners(_serve_connection, listeners)


async def _serve_connection(stream: trio.SocketStream) -> None:
    connection = ServerConnection(stream, head_bytes=HEAD_BYTES)
    try:
        with trio.move_on_after(READ_SECONDS):
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
