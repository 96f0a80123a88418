import unittest

import trio

from frontend.frontend_case import HOST, FrontendCase, read_response
from frontend.support import build_response


class ShutdownTests(FrontendCase):
    def test_requests_during_shutdown_are_answered_and_their_connections_closed(self):
        async def script(frontend):
            stream = await trio.open_tcp_stream(HOST, frontend.port)
            await stream.send_all(frontend.build_request("/once/x"))
            first = await read_response(stream)
            self.assertNotIn("connection", first.headers)
            frontend.shutdown.requested = True
            await stream.send_all(frontend.build_request("/once/x"))
            second = await read_response(stream)
            self.assertEqual(second.status, 200)
            self.assertEqual(second.headers["connection"], "close")
            self.assertEqual(await stream.receive_some(), b"")

        self.run_frontend(script, [[build_response(b"ok")]] * 2)


if __name__ == "__main__":
    unittest.main()
