import errno
import socket
import struct
import unittest

import trio

from goldcrestvane_common.resets import is_reset
from goldcrestvane_common.transport import ExchangeBroken, Transport

HEAD = b"HTTP/1.1 200 OK\r\n"
UPLOAD = b"x" * 20_000_000


def reset(stream):
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


class ResetTests(unittest.TestCase):
    """A peer answers a long upload before it has read it."""

    def send(self, serve):
        """Returns the response, or the error of the exchange."""

        async def main():
            async with Transport() as transport, trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                try:
                    with trio.fail_after(60):
                        result = await transport.send(
                            "POST",
                            f"127.0.0.1:{port}",
                            "/",
                            content=UPLOAD,
                            allow_unframed=True,
                        )
                except ExchangeBroken as error:
                    result = error
                nursery.cancel_scope.cancel()
            return result

        return trio.run(main)

    def test_unframed_body_that_is_reset_during_the_upload_is_not_whole(self):
        """Guards against a part of a body that is taken for a whole one (MIXED)."""

        async def serve(stream):
            await stream.receive_some(1000)
            await stream.send_all(HEAD + b"\r\nhalf")
            reset(stream)

        for _ in range(20):
            self.assertIsInstance(self.send(serve), ExchangeBroken)

    def test_unframed_body_that_ends_before_the_reset_is_whole(self):
        """The peer ends its answer, and resets the connection since it is still sent to."""

        async def serve(stream):
            await stream.receive_some(1000)
            await stream.send_all(HEAD + b"\r\nwhole")
            await stream.send_eof()
            await trio.sleep(0.1)
            reset(stream)

        self.assertEqual(self.send(serve).body, b"whole")

    def test_body_with_a_length_is_whole_though_the_upload_is_reset(self):
        async def serve(stream):
            await stream.receive_some(1000)
            await stream.send_all(HEAD + b"content-length: 5\r\n\r\nwhole")
            await trio.sleep(0.1)
            reset(stream)

        self.assertEqual(self.send(serve).body, b"whole")

    def test_only_a_write_behind_a_close_is_no_reset(self):
        for number, expected in ((errno.EPIPE, False), (errno.ECONNRESET, True)):
            error = trio.BrokenResourceError()
            error.__cause__ = OSError(number, "")
            self.assertEqual(is_reset(error), expected)
        self.assertTrue(is_reset(trio.BrokenResourceError()))


if __name__ == "__main__":
    unittest.main()
