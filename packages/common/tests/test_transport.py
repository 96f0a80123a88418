import socket
import unittest

import trio

from goldcrestvane_common.routing import JsonResponse, Router
from goldcrestvane_common.server import Application, serve_http
from goldcrestvane_common.transport import Transport


async def respond(request):
    return JsonResponse(value=1)


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


if __name__ == "__main__":
    unittest.main()
