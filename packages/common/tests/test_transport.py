import contextlib
import socket
import unittest
from unittest import mock

import httpcore
import trio

from goldcrestvane_common import transport as transport_module
from goldcrestvane_common.messages import InstanceList
from goldcrestvane_common.routing import JsonResponse, Router
from goldcrestvane_common.server import Application, serve_http
from goldcrestvane_common.transport import (
    ClientResponse,
    ConnectFailed,
    ExchangeBroken,
    Transport,
)


async def respond(request):
    return JsonResponse(value=1)


async def send_without_end(stream):
    async with stream:
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(b"10000\r\n" + b"x" * 65_536 + b"\r\n")


class ResponseTests(unittest.TestCase):
    def test_answer_that_is_nested_too_deeply_is_unreadable(self):
        """Guards against an instance list, or a load, that ends a process."""
        deep = b"[" * 5000 + b"]" * 5000
        body = b'{"instances":[],"more":%b}' % deep
        response = ClientResponse(status=200, headers={}, body=body)
        with self.assertRaises(ExchangeBroken):
            response.decode(InstanceList)


class TransportTests(unittest.TestCase):
    def test_connections_have_keep_alive_so_that_a_dead_one_does_not_hold_a_watch(self):
        async def main():
            router = Router()
            router.add("GET", "/", respond)
            async with Transport() as transport, trio.open_nursery() as nursery:
                address = await nursery.start(
                    serve_http, Application(router), "127.0.0.1:0"
                )
                async with transport.stream("GET", address, "/") as response:
                    extensions = response._response.extensions
                    stream = extensions["network_stream"].get_extra_info("socket")
                    enabled = stream.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                    idle = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
                nursery.cancel_scope.cancel()
            self.assertEqual((enabled, idle), (1, 1))

        trio.run(main)

    def test_connecting_takes_no_longer_than_the_timeout_of_the_call(self):
        async def main():
            async with Transport() as transport:
                with (
                    mock.patch.object(
                        httpcore.AsyncConnectionPool,
                        "stream",
                        side_effect=httpcore.ConnectTimeout,
                    ) as stream,
                    contextlib.suppress(ConnectFailed, httpcore.ConnectTimeout),
                ):
                    await transport.send("GET", "127.0.0.1:1", "/", timeout=0.75)
            timeouts = stream.call_args.kwargs["extensions"]["timeout"]
            self.assertEqual(timeouts["connect"], 0.75)

        trio.run(main)

    def test_body_without_end_is_cut_off(self):
        async def main():
            async with Transport() as transport, trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, send_without_end, listeners)
                with self.assertRaises(ExchangeBroken):
                    await transport.send("GET", f"127.0.0.1:{port}", "/")
                nursery.cancel_scope.cancel()

        with mock.patch.object(transport_module, "MAX_RESPONSE_BYTES", 1_000_000):
            trio.run(main)


if __name__ == "__main__":
    unittest.main()
