"""Malformed and interrupted requests, sent as raw bytes."""

import socket
import unittest

import trio

from goldcrestvane_common.routing import (
    JsonResponse,
    Router,
    StreamResponse,
)
from goldcrestvane_common.server import (
    MAX_HEADER_BYTES,
    MAX_PARSED_HEADER_BYTES,
    Application,
    ServerConfig,
    serve_http,
)

TEST_TIMEOUT_SECONDS = 30.0
START = b"POST /call HTTP/1.1\r\nhost: a\r\n"


class MalformedRequestTests(unittest.TestCase):
    def serve(self, check, *, handler=None, **limits):
        async def respond(request):
            self.handled += 1
            return JsonResponse()

        async def main():
            router = Router()
            router.add("POST", "/call", handler or respond)
            application = Application(router, **limits)
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                async with trio.open_nursery() as nursery:
                    peer = await nursery.start(serve_http, application, "127.0.0.1:0")
                    host, port = peer.rsplit(":", 1)
                    stream = await trio.open_tcp_stream(host, int(port))
                    async with stream:
                        await check(stream, application)
                    nursery.cancel_scope.cancel()

        self.handled = 0
        trio.run(main)

    def check_status(self, status, *parts, field=b"", **limits):
        """Sends the parts and expects an error status without a call of the handler."""

        async def check(stream, application):
            for part in parts:
                await stream.send_all(part)
            received = await stream.receive_some()
            while field not in received:
                received += await stream.receive_some()
            self.assertEqual(received.split(b" ")[1], status)
            await wait_until(lambda: application.in_flight == 0)

        self.serve(check, **limits)
        self.assertEqual(self.handled, 0)

    def test_refusal_of_large_headers_names_the_largest(self):
        header = b"x-big: " + b"a" * MAX_HEADER_BYTES + b"\r\n\r\n"
        self.check_status(b"431", START + header, field=b'"field":"x-big"')

    def test_headers_beyond_the_parser_limit_are_refused(self):
        header = b"x-big: " + b"a" * (MAX_PARSED_HEADER_BYTES + 1)
        self.check_status(b"431", START + header)

    def test_header_without_a_colon_is_refused(self):
        self.check_status(b"400", START + b"broken\r\n\r\n")

    def test_large_body_is_refused(self):
        self.check_status(
            b"413",
            START + b"content-length: 400000\r\n\r\n",
            b"a" * 400_000,
            field=b'"field":"body"',
            max_body_bytes=1000,
        )

    def test_incomplete_body_times_out(self):
        self.check_status(
            b"408",
            START + b"content-length: 10\r\n\r\nabc",
            field=b'"field":"body"',
            body_timeout=0.1,
        )

    def test_malformed_chunk_is_refused(self):
        chunked = START + b"transfer-encoding: chunked\r\n\r\n"
        self.check_status(b"400", chunked + b"zz\r\n")

    def test_websocket_is_refused(self):
        self.check_status(
            b"403",
            b"GET /call HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\n"
            b"upgrade: websocket\r\nsec-websocket-version: 13\r\n"
            b"sec-websocket-key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n",
        )

    def test_sender_that_disconnects_in_its_body_ends_the_request(self):
        async def check(stream, application):
            await stream.send_all(START + b"content-length: 10\r\n\r\nabc")
            await wait_until(lambda: application.in_flight == 1)
            await stream.aclose()
            await wait_until(lambda: application.in_flight == 0)

        self.serve(check)
        self.assertEqual(self.handled, 0)

    def test_reader_that_disconnects_closes_the_iterator(self):
        closed = []

        async def stream_on(request):
            async def chunks():
                try:
                    while True:
                        yield b"a" * 1000
                        await trio.sleep(0.01)
                finally:
                    closed.append(True)

            return StreamResponse(chunks=chunks())

        async def check(stream, application):
            await stream.send_all(START + b"content-length: 0\r\n\r\n")
            await stream.receive_some()
            await stream.aclose()
            await wait_until(lambda: application.in_flight == 0)
            self.assertEqual(closed, [True])

        self.serve(check, handler=stream_on)

    def test_listener_times_out_peers_that_stop_reading(self):
        config = ServerConfig()
        config.bind = ["127.0.0.1:0"]
        for listener in config.create_sockets().insecure_sockets:
            with listener:
                milliseconds = listener.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                )
                self.assertEqual(milliseconds, 30_000)


async def wait_until(condition):
    while True:
        if condition():
            return
        await trio.sleep(0.01)
