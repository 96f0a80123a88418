import unittest

import trio

from frontend.frontend_case import FrontendCase
from frontend.support import (
    SharedScript,
    build_response,
    build_target,
    reset,
)
from goldcrestvane_daemon.frontend.upstream import (
    TargetConnectionPool,
    TargetFailed,
    TargetRequest,
)

HEAD = b"HTTP/1.1 200 OK\r\nGoldcrestvane-Response-Signature: s\r\n"
UPLOAD = b"x" * 20_000_000
HEADERS = [(b"host", b"h"), (b"content-length", b"%d" % len(UPLOAD))]
ODD_STATUS = b"HTTP/1.1 000 Odd\r\ncontent-length: 3\r\n\r\nodd"


class LateReader:
    """A connection that is read only after a write has failed.

    That is the order in which a busy process may run the two.
    """

    def __init__(self, stream):
        self._stream = stream
        self._failed = trio.Event()

    def __getattr__(self, name):
        return getattr(self._stream, name)

    async def aclose(self):
        await self._stream.aclose()

    async def send_all(self, data):
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self._failed.set()
            raise

    async def receive_some(self, size):
        await self._failed.wait()
        return await self._stream.receive_some(size)


class LateReaderPool(TargetConnectionPool):
    async def connect(self, target):
        return LateReader(await super().connect(target))


class EarlyAnswerTests(unittest.TestCase):
    """A target answers a long upload before it has read it."""

    def send(self, answer, *, ends=False):
        """Returns the body, or TargetFailed."""

        async def serve(stream):
            await stream.receive_some(1000)
            await stream.send_all(answer)
            if ends:
                await stream.send_eof()
                await trio.sleep(0.1)
            reset(stream)

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                pool = LateReaderPool(lambda target, head: None)
                request = TargetRequest(pool, build_target(port), call="c1")
                try:
                    with trio.fail_after(60):
                        async with request:
                            await request.send(b"POST", b"/", HEADERS, [UPLOAD])
                            result = await request.read_body()
                except TargetFailed:
                    result = TargetFailed
                nursery.cancel_scope.cancel()
            return result

        return trio.run(main)

    def test_unframed_answer_that_is_reset_during_the_upload_is_not_whole(self):
        """Guards against a part of a body that is taken for a whole one (MIXED)."""
        self.assertIs(self.send(HEAD + b"\r\nhalf"), TargetFailed)

    def test_unframed_answer_that_ends_before_the_reset_is_whole(self):
        self.assertEqual(self.send(HEAD + b"\r\nwhole", ends=True), b"whole")

    def test_answer_with_a_length_is_whole_though_the_upload_is_reset(self):
        answer = HEAD + b"content-length: 5\r\n\r\nwhole"
        self.assertEqual(self.send(answer), b"whole")


class OddStatusTests(FrontendCase):
    """A target in need sends an answer with the status 000."""

    def test_call_that_may_be_repeated_is_answered_by_another_target(self):
        async def script(frontend):
            response = await frontend.send("/get/x", method="GET", body=b"")
            self.assertEqual((response.status, response.body), (200, b"ok"))
            self.assertEqual(len(frontend.requests), 2)

        script_of_both = SharedScript([[ODD_STATUS], [build_response(b"ok")]])
        self.run_frontend(script, script_of_both, script_of_both)

    def test_call_that_may_have_run_gets_no_promise_and_nothing_of_the_answer(self):
        async def script(frontend):
            for path in ("/once/x", "/turn/x"):
                response = await frontend.send(path)
                self.assertEqual(response.status, 502)
                self.assertIn(b"OutcomeUnknown", response.body)
                self.assertNotIn(b"odd", response.body)
                self.assertNotIn("goldcrestvane-response-signature", response.headers)

        self.run_frontend(script, [[ODD_STATUS], [ODD_STATUS]])


if __name__ == "__main__":
    unittest.main()
