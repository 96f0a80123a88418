"""Scripted targets on loopback, and builders for targets and responses."""

import re
import socket
import struct

import trio

from goldcrestvane_daemon.targets import Target, TargetState

CALL_ID = re.compile(rb"goldcrestvane-request-id: *([^\r]+)", re.IGNORECASE)


def build_target(
    port, *, instance="i-1", slots=4, domain="d1", state=TargetState.READY
):
    return Target(
        instance=instance,
        service="s1",
        host="127.0.0.1",
        port=port,
        domain=domain,
        slots=slots,
        state=state,
    )


def build_response(body, *, status="200 OK", call=b"c1", signed=True, extra=b""):
    lines = [b"HTTP/1.1 " + status.encode(), b"content-length: %d" % len(body)]
    if call:
        lines.append(b"Goldcrestvane-Request-Id: " + call)
    if signed:
        lines.append(b"Goldcrestvane-Response-Signature: s")
    return b"\r\n".join(lines) + b"\r\n" + extra + b"\r\n" + body


class SharedScript:
    """One script for several targets: each request uses the next entry."""

    def __init__(self, pieces):
        self._pieces = list(pieces)

    def pop(self, _):
        return self._pieces.pop(0)


class ScriptedTarget:
    """Answers the n-th request, on any connection, with the n-th entry of a script.

    An entry is a list of pieces. A piece is either the bytes to send or the seconds to
    wait. None closes the connection, `RESET` resets it, and `WAIT` waits for `resume`
    or until the caller closes the connection.
    """

    RESET = object()
    WAIT = object()

    def __init__(self, script):
        self.script = script if isinstance(script, SharedScript) else list(script)
        self.requests = []
        self.request_times = []
        self.connections = 0
        self.port = 0
        self.resume = trio.Event()
        self.closed = False

    async def run(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started(self)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        self.connections += 1
        buffer = b""
        while True:
            while not _is_whole(buffer):
                data = await stream.receive_some()
                if not data:
                    return
                buffer += data
            self.requests.append(buffer)
            self.request_times.append(trio.current_time())
            buffer = b""
            for piece in self.script.pop(0):
                if piece is None:
                    await stream.aclose()
                    return
                if piece is self.RESET:
                    reset(stream)
                    return
                if piece is self.WAIT:
                    await self._wait(stream)
                elif isinstance(piece, float):
                    await trio.sleep(piece)
                else:
                    await stream.send_all(piece)

    async def _wait(self, stream):
        async with trio.open_nursery() as nursery:

            async def watch():
                self.closed = not await stream.receive_some()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            await self.resume.wait()
            nursery.cancel_scope.cancel()


def _is_whole(buffer):
    head, separator, body = buffer.partition(b"\r\n\r\n")
    if not separator:
        return False
    length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
    return len(body) >= (int(length.group(1)) if length else 0)


def reset(stream):
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()
