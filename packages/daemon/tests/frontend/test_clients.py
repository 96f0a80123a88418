import socket
import unittest

import trio

from frontend.frontend_case import (
    CONFIGURATION,
    HOST,
    FrontendCase,
    build_route,
    read_response,
)
from frontend.support import build_response
from goldcrestvane_daemon.frontend.upstream import MAX_RESPONSE_BYTES

HEAD = (
    b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nGoldcrestvane-Request-Id: c1\r\n"
)


class BadRequestTests(FrontendCase):
    async def send(self, frontend, request):
        """Sends bytes; returns the response and whether the connection was closed."""
        stream = await trio.open_tcp_stream(HOST, frontend.port)
        async with stream:
            await stream.send_all(request)
            response = await read_response(stream)
            return response, await stream.receive_some() == b""

    def test_body_whose_declared_length_is_too_large_is_refused_before_it_arrives(self):
        async def script(frontend):
            length = b"Content-Length: 1000000000000000\r\n\r\n"
            response, closed = await self.send(frontend, HEAD + length)
            self.assertEqual((response.status, closed), (413, True))
            self.assertEqual(frontend.requests, [])

        self.run_frontend(script, [[build_response(b"ok")]])

    def test_request_with_a_length_and_chunks_is_refused_and_its_connection_closed(
        self,
    ):
        async def script(frontend):
            framing = b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
            body = b"2\r\nin\r\n0\r\n\r\n" + HEAD + b"Content-Length: 0\r\n\r\n"
            response, closed = await self.send(frontend, HEAD + framing + body)
            self.assertEqual((response.status, closed), (400, True))
            self.assertEqual(frontend.requests, [])

        self.run_frontend(script, [[build_response(b"ok")]] * 2)

    def test_number_that_no_process_can_encode_is_refused(self):
        """Guards against a number that ends the frontend in its request to the ledger."""

        numbers = (
            ("Goldcrestvane-Token-Usage", "10,18446744073709551616"),
            ("Goldcrestvane-Token-Usage", "18446744073709551616,10"),
            ("Goldcrestvane-Token-Usage", "10,-1"),
            ("Goldcrestvane-Token-Budget", "18446744073709551616"),
            ("Goldcrestvane-Program-Deadline-Ms", "nan"),
        )

        async def script(frontend):
            statuses = [
                (await frontend.send_turn(**{name.replace("-", "_"): value})).status
                for name, value in numbers
            ]
            self.assertEqual(statuses, [400] * len(numbers))

        self.run_frontend(script, [[build_response(b"ok")]] * len(numbers))

    def test_head_request_is_refused_by_the_rules_of_http(self):
        """Guards against a connection that is cut off since HEAD allows no body."""

        async def script(frontend):
            head = b"HEAD /none/x HTTP/1.1\r\nHost: shop.example\r\n"
            stream = await trio.open_tcp_stream(HOST, frontend.port)
            async with stream:
                await stream.send_all(
                    head + b"\r\n" + head + b"Connection: close\r\n\r\n"
                )
                received = b"".join([part async for part in stream])
            self.assertEqual(received.count(b"HTTP/1.1 404"), 2)
            self.assertEqual(received.count(b"content-length: "), 2)
            self.assertNotIn(b"{", received)

        self.run_frontend(script)

    def test_malformed_key_is_not_logged(self):
        """Guards against error texts of the HTTP parser, which quote the header."""

        async def script(frontend):
            key = b"Authorization: Token k-sec\x00ret\r\nContent-Length: 0\r\n\r\n"
            with self.assertLogs("goldcrestvane", "DEBUG") as logs:
                _, closed = await self.send(frontend, HEAD + key)
            self.assertTrue(closed)
            self.assertTrue(logs.records)
            for record in logs.records:
                self.assertNotIn("k-sec", str(vars(record)))

        self.run_frontend(script, [[build_response(b"ok")]])


class SlowReaderTests(FrontendCase):
    def test_client_that_pauses_gets_its_whole_response(self):
        """Guards against a connection that the kernel closes during a client's pause.

        The response exceeds the buffers of the kernel, and the pause exceeds the 3 s
        after which a dead peer is given up.
        """

        async def script(frontend):
            client = trio.socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            await client.connect((HOST, frontend.port))
            stream = trio.SocketStream(client)
            await stream.send_all(frontend.build_request("/once/x"))
            await trio.sleep(4.5)
            response = await read_response(stream)
            self.assertTrue(response.whole)

        body = b"x" * MAX_RESPONSE_BYTES
        route = build_route("once", "non_idempotent", timeout_ms=60_000)
        self.run_frontend(
            script,
            [[build_response(body)]],
            configuration={**CONFIGURATION, "routes": [route]},
        )


if __name__ == "__main__":
    unittest.main()
