"""HTTP server for the metrics of a process in Prometheus text format."""

import h11
import trio
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from goldcrestvane_common.logs import get_logger
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
LISTEN_RETRY_SECONDS = 1.0

logger = get_logger("metrics")


async def serve_metrics(host: str) -> None:
    """Responds to every request with all metrics as text, until cancelled.

    Metrics are no reason to end a process that serves calls, so an address that cannot
    be used is tried again until it can.
    """
    await run_supervised(Task.METRICS_SERVER, _serve, host)


async def _serve(host: str) -> None:
    listeners = await _open_listeners(host)
    await trio.serve_listeners(serve_connection, listeners)


async def _open_listeners(host: str) -> list[trio.SocketListener]:
    address = {"address": f"{host}:{METRICS_PORT}"}
    is_reported = False
    while True:
        try:
            listeners = await trio.open_tcp_listeners(METRICS_PORT, host=host)
        except OSError as error:
            if not is_reported:
                logger.warning(
                    "the address cannot be used; trying again",
                    extra={**address, "reason": str(error)},
                )
            is_reported = True
            await trio.sleep(LISTEN_RETRY_SECONDS)
        else:
            logger.info("serves metrics", extra=address)
            return listeners


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
