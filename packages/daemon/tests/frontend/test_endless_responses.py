import unittest

import trio

from frontend.frontend_case import FrontendCase
from goldcrestvane_daemon.frontend.upstream import MAX_RESPONSE_BYTES
from goldcrestvane_daemon.platform.store import ObjectKind

BLOCK = b"x" * 65_536
MAX_SENT_BYTES = 4 * MAX_RESPONSE_BYTES
"""Bytes that a target gets rid of before the caller closes, with those in buffers."""

HEAD = b"HTTP/1.1 200 OK\r\nGoldcrestvane-Response-Signature: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\nGoldcrestvane-Request-Id: %s\r\n\r\n"


class EndlessTarget:
    """Answers each request with a head and then with one block without end."""

    def __init__(self, head, block):
        self.head = head
        self.block = block
        self.sent = 0
        self.closed = trio.Event()

    async def serve(self, stream):
        async with stream:
            await stream.receive_some()
            try:
                await stream.send_all(self.head)
                while True:
                    await stream.send_all(self.block)
                    self.sent += len(self.block)
            except trio.BrokenResourceError:
                self.closed.set()


class EndlessResponseTests(FrontendCase):
    """Bytes without end are cut off long before the deadline of the call."""

    def run_endless(self, head, block, *, path="/once/x", cut=False):
        async def script(frontend):
            target = EndlessTarget(head, block)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            target.port = listeners[0].socket.getsockname()[1]
            frontend.nursery.start_soon(trio.serve_listeners, target.serve, listeners)
            frontend.list_target(target)
            await frontend.wait_synced(ObjectKind.TARGETS)
            response = await frontend.send_turn(path)
            if cut:
                self.assertFalse(response.whole)
            else:
                # The status of a call that times out is 504.
                self.assertEqual(response.status, 502)
            await target.closed.wait()
            self.assertLess(target.sent, MAX_SENT_BYTES)

        self.run_frontend(script)

    def test_header_without_end(self):
        self.run_endless(HEAD + b"X-Long: ", BLOCK)

    def test_headers_without_end(self):
        self.run_endless(HEAD, b"X-Next: 1\r\n" * 1000)

    def test_bytes_without_end_that_are_no_response(self):
        self.run_endless(b"", BLOCK)

    def test_interim_responses_without_end(self):
        self.run_endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000)

    def test_body_without_length_and_end(self):
        head = HEAD + b"Goldcrestvane-Request-Id: c1\r\n\r\n"
        self.run_endless(head, BLOCK)

    def test_chunks_without_end(self):
        self.run_endless(CHUNKED % b"c1", b"10000\r\n" + BLOCK + b"\r\n")

    def test_chunk_header_without_end(self):
        self.run_endless(CHUNKED % b"c1" + b"5;x=", BLOCK)

    def test_trailers_without_end(self):
        self.run_endless(CHUNKED % b"c1" + b"0\r\n", b"X-Next: 1\r\n" * 1000)

    def test_response_to_another_call_without_end(self):
        self.run_endless(CHUNKED % b"c0", b"10000\r\n" + BLOCK + b"\r\n")

    def test_event_without_end(self):
        head = CHUNKED % b"c1"
        self.run_endless(head, b"10000\r\n" + BLOCK + b"\r\n", path="/turn/x")

    def test_tiny_chunks_without_end(self):
        """Guards against targets that keep a frontend from all other work.

        See review/14.
        """
        head, block = CHUNKED % b"c1", b"1\r\nx\r\n" * 11_000
        self.run_endless(head, block, path="/turn/x")
        self.run_endless(head, block, path="/once/x")
        self.run_endless(CHUNKED % b"c0", block)

    def test_tiny_chunks_without_end_inside_a_stream(self):
        event = b"id: 1\ndata: d1\n\n"
        head = CHUNKED % b"c1" + b"%x\r\n%s\r\n" % (len(event), event)
        with self.assertLogs("goldcrestvane.call", "WARNING") as logs:
            self.run_endless(head, b"1\r\nx\r\n" * 11_000, path="/kept/x", cut=True)
        self.assertIn("a target failed", logs.output[0])

    def test_comments_without_end(self):
        block = b":\n\n" * 5000
        chunk = b"%x\r\n%s\r\n" % (len(block), block)
        self.run_endless(CHUNKED % b"c1", chunk, path="/turn/x")

    def test_events_without_end(self):
        event = b"id: 1\ndata: " + b"x" * 16_369 + b"\n\n"
        block = b"%x\r\n%s\r\n" % (len(event), event)
        self.run_endless(CHUNKED % b"c1", block, path="/kept/x", cut=True)


if __name__ == "__main__":
    unittest.main()
