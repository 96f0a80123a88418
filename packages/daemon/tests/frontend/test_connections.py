"""Unexpected errors and odd bytes on the connections of a frontend."""

import socket
import struct
import unittest
from unittest import mock

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from frontend.frontend_case import HOST, FrontendCase
from frontend.support import build_response
from goldcrestvane_daemon import metrics_server
from goldcrestvane_daemon.frontend import process
from goldcrestvane_daemon.frontend.readiness import Readiness
from goldcrestvane_daemon.http1 import ServerConnection

FUZZ = settings(derandomize=True, deadline=None, database=None, max_examples=40)

METHODS = st.sampled_from(
    [b"GET", b"HEAD", b"POST", b"OPTIONS", b"CONNECT", b"get", b""]
)
PATHS = st.sampled_from([b"/none/x", b"/", b"*", b"http://a/b", b"a:443", b"/\xff"])
HEADERS = st.lists(
    st.sampled_from(
        [
            b"Content-Length: 5",
            b"Content-Length: -1",
            b"Content-Length: " + b"9" * 30,
            b"Transfer-Encoding: chunked",
            b"Transfer-Encoding: gzip",
            b"Expect: 100-continue",
            b"Connection: upgrade",
            b"Upgrade: websocket",
            b"Goldcrestvane-Request-Id: \xff",
            b"Goldcrestvane-Deadline-Ms: nan",
            b"Goldcrestvane-Token-Usage: ,",
            b"Goldcrestvane-Prompt-Prefix: a:" + b"9" * 400,
            b"Last-Event-Id: " + b"9" * 400,
            b"Cookie: =;;",
            b" folded",
            b"X: " + b"y" * 20_000,
        ]
    ),
    max_size=4,
).map(lambda headers: b"\r\n".join([b"Host: shop.example", *headers, b"", b""]))
BODIES = st.sampled_from(
    [b"", b"hello", b"5\r\nhello\r\n0\r\n\r\n", b"F" * 40 + b"\r\n"]
)
REQUESTS = st.one_of(
    st.binary(max_size=100),
    st.tuples(METHODS, PATHS, HEADERS, BODIES).map(
        lambda parts: b"%b %b HTTP/1.1\r\n%b%b" % parts
    ),
)
ENDS = st.sampled_from(["close", "half", "reset"])


def reset(stream):
    linger = struct.pack("ii", 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


class ConnectionCase(FrontendCase):
    async def listen(self, frontend, serve):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        frontend.nursery.start_soon(trio.serve_listeners, serve, listeners)
        return listeners[0].socket.getsockname()[1]

    async def listen_on_all(self, frontend):
        """Returns the ports for clients, readiness and metrics."""
        readiness = Readiness(lambda: True)

        async def serve_readiness(stream):
            await process.serve_readiness(stream, readiness)

        return [
            frontend.port,
            await self.listen(frontend, serve_readiness),
            await self.listen(frontend, metrics_server.serve_connection),
        ]

    async def exchange(self, port, request, end="close"):
        """Sends bytes; returns what comes back before the connection ends."""
        stream = await trio.open_tcp_stream(HOST, port)
        try:
            await stream.send_all(request)
            if end == "reset":
                reset(stream)
                return b""
            if end == "half":
                await stream.send_eof()
            with trio.move_on_after(0.02 if end == "close" else 10):
                return b"".join([part async for part in stream])
            return b""
        except trio.BrokenResourceError:
            return b""
        finally:
            await trio.aclose_forcefully(stream)


class OddBytesTests(ConnectionCase):
    def test_odd_bytes_end_no_process_and_log_no_error(self):
        """Guards against input that nobody foresaw, beside calls that are served."""
        samples = []

        @FUZZ
        @given(REQUESTS, ENDS)
        def collect(request, end):
            samples.append((request, end))

        collect()

        async def script(frontend):
            ports = await self.listen_on_all(frontend)
            with self.assertNoLogs("goldcrestvane", "ERROR"):
                for request, end in samples:
                    for port in ports:
                        await self.exchange(port, request, end)
                    self.assertEqual((await frontend.send("/get/x")).status, 200)

        self.run_frontend(script, [[build_response(b"ok")]] * 50)

    def test_head_request_is_answered_on_each_port(self):
        async def script(frontend):
            for port in await self.listen_on_all(frontend):
                request = b"HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                answer = await self.exchange(port, request, "wait")
                self.assertTrue(answer.startswith(b"HTTP/1.1 "))
                self.assertTrue(answer.endswith(b"\r\n\r\n"))

        self.run_frontend(script)


class UnexpectedErrorTests(ConnectionCase):
    def test_error_on_one_connection_ends_no_other(self):
        """Guards against a connection whose error ends the process with all calls."""
        request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        error = RuntimeError("unforeseen")

        async def script(frontend):
            ports = await self.listen_on_all(frontend)
            for name in ("read_head", "close", "__init__"):
                with mock.patch.object(ServerConnection, name, side_effect=error):
                    for port in ports:
                        await self.exchange(port, request, "wait")
            for port in ports:
                answer = await self.exchange(port, request, "wait")
                self.assertTrue(answer.startswith(b"HTTP/1.1 "), answer)

        self.run_frontend(script)


if __name__ == "__main__":
    unittest.main()
