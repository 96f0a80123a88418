import socket
import unittest
from unittest import mock

import trio
import trio.testing

from goldcrestvane_daemon import metrics_server

HOST = "127.0.0.1"


class OccupiedPortTests(unittest.TestCase):
    def test_metrics_are_served_once_their_port_is_free(self):
        """Guards against a port in use that ends a process with all its calls."""

        async def main():
            with socket.socket() as occupant:
                occupant.bind((HOST, 0))
                occupant.listen()
                port = occupant.getsockname()[1]
                with mock.patch.object(metrics_server, "METRICS_PORT", port):
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(metrics_server.serve_metrics, HOST)
                        await trio.sleep(0.1)
                        occupant.close()
                        with trio.fail_after(60):
                            await self.read(port)
                        nursery.cancel_scope.cancel()

        with self.assertLogs("goldcrestvane.metrics", "WARNING") as logs:
            trio.run(main)
        self.assertEqual(len(logs.output), 1)

    async def read(self, port):
        """Reads the metrics, and tries again until they are served."""
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        while True:
            try:
                async with await trio.open_tcp_stream(HOST, port) as stream:
                    await stream.send_all(request)
                    data = b"".join([part async for part in stream])
            except OSError:
                await trio.sleep(0.05)
                continue
            self.assertTrue(data.startswith(b"HTTP/1.1 200"))
            self.assertIn(b"goldcrestvane_task_failures_total", data)
            return


if __name__ == "__main__":
    unittest.main()
