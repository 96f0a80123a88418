"""Runs a bare relay that consists of a hypercorn server and an httpcore client.

The relay forwards each request to one address and returns each chunk as it arrives. The
product's path is compared with two relays in series.
"""

from collections.abc import Callable
from typing import Any, final

import httpcore
import hypercorn.trio
import trio
from absl import app, flags
from hypercorn.config import Config

MAX_CONNECTIONS = 512

_LISTEN = flags.DEFINE_string("listen", "127.0.0.1:0", "host:port to listen on.")
_NEXT = flags.DEFINE_string("next", None, "host:port to forward requests to.")


@final
class Relay:
    """ASGI application that forwards requests to a peer."""

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_CONNECTIONS
        )

    async def __call__(
        self, scope: dict[str, Any], receive: Callable, send: Callable
    ) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        body = await _read_body(receive)
        path = scope["raw_path"].decode("ascii")
        async with self._pool.stream(
            scope["method"],
            f"http://{self._peer}{path}",
            headers=[("content-type", "application/json")],
            content=body,
        ) as response:
            await _send_response(response, send)


async def _read_body(receive: Callable) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def _send_response(response: httpcore.Response, send: Callable) -> None:
    forwarded_names = (b"content-type", b"content-length")
    headers = [
        (name.lower(), value)
        for name, value in response.headers
        if name.lower() in forwarded_names
    ]
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    async for chunk in response.aiter_stream():
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


async def _serve_lifespan(receive: Callable, send: Callable) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def serve() -> None:
    """Serves until the process is killed."""
    config = Config()
    config.bind = [_LISTEN.value]
    config.keep_alive_timeout = 75.0
    config.accesslog = None
    config.errorlog = None
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(hypercorn.trio.serve, Relay(_NEXT.value), config)
        print(f"listening {binds[0].split('://', 1)[1]}", flush=True)


def main(arguments: list[str]) -> None:
    """Runs the relay."""
    trio.run(serve)


if __name__ == "__main__":
    app.run(main)
