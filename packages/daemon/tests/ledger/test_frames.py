import unittest

import trio
import trio.testing

from goldcrestvane_daemon.ledger.frames import (
    LENGTH,
    MAX_REQUESTS_PER_CONNECTION,
    FrameReader,
    PeerConnection,
    PeerUnreachable,
    UnsentResponses,
    encode_frame,
    serve_frames,
)
from goldcrestvane_daemon.ledger.messages import (
    Failed,
    GetMemberState,
    ReadChain,
    Request,
    Response,
    ViewStamp,
)

TIMEOUT_SECONDS = 60.0
"""Timeout that ends a test that hangs. No test result depends on its length."""

SHORT_SECONDS = 0.05
REPETITIONS = 20


class SilentPeer:
    """Reads from its first connection and never answers; later ones work."""

    def __init__(self):
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        if self.connections > 1:
            await serve_frames(stream, Request, self.handle)
            return
        reader = FrameReader(stream)
        while await reader.read() is not None:
            pass

    async def handle(self, request):
        await trio.lowlevel.checkpoint()
        return Failed("answered")


class PeerConnectionTests(unittest.TestCase):
    def test_peer_is_called_on_a_new_connection_when_the_old_one_is_silent(self):
        """Guards against calls that all time out until keep-alive closes the connection."""

        async def main():
            peer = SilentPeer()
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, peer.serve, listeners)
                connection = PeerConnection(f"127.0.0.1:{port}", Response)
                nursery.start_soon(connection.run)
                with trio.fail_after(TIMEOUT_SECONDS):
                    await connection.connected.wait()
                    with self.assertRaises(PeerUnreachable):
                        await connection.call(GetMemberState(), timeout=SHORT_SECONDS)
                    self.assertFalse(connection.is_connected)
                    while not connection.is_connected:
                        await trio.sleep(SHORT_SECONDS)
                    answer = await connection.call(
                        GetMemberState(), timeout=TIMEOUT_SECONDS
                    )
                self.assertEqual(answer, Failed("answered"))
                nursery.cancel_scope.cancel()

        trio.run(main)


class LateResponseTests(unittest.TestCase):
    def test_response_that_comes_after_its_timeout_is_logged(self):
        """Guards against slow peers that cannot be told from silent ones."""

        async def handle(_):
            await trio.sleep(2 * SHORT_SECONDS)
            return Failed("late")

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]

                async def serve(stream):
                    await serve_frames(stream, Request, handle)

                nursery.start_soon(trio.serve_listeners, serve, listeners)
                peer = PeerConnection(f"127.0.0.1:{port}", Response)
                nursery.start_soon(peer.run)
                with trio.fail_after(TIMEOUT_SECONDS):
                    await peer.connected.wait()
                    with self.assertLogs("goldcrestvane.peers", "INFO") as logs:
                        with trio.move_on_after(SHORT_SECONDS):
                            await peer.call(GetMemberState(), timeout=TIMEOUT_SECONDS)
                        await peer.call(GetMemberState(), timeout=TIMEOUT_SECONDS)
                nursery.cancel_scope.cancel()
            (record,) = logs.records
            self.assertIn("came late", record.getMessage())
            self.assertEqual(record.response, "Failed")
            self.assertGreaterEqual(record.ms, SHORT_SECONDS * 1000)

        trio.run(main)

    def test_response_that_came_in_time_is_used_by_a_process_that_runs_late(self):
        """Guards against a busy process that takes its peers for silent."""

        async def serve(stream):
            reader = FrameReader(stream)
            for number in range(REPETITIONS):
                await reader.read()
                # The process gets no processor time until long after the timeout.
                trio.lowlevel.current_clock().jump(10.0)
                await stream.send_all(encode_frame(number, Failed("answered")))
            await trio.sleep_forever()

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                peer = PeerConnection(f"127.0.0.1:{port}", Response)
                nursery.start_soon(peer.run)
                await peer.connected.wait()
                # Trio runs the tasks that are due at once in random order.
                for _ in range(REPETITIONS):
                    answer = await peer.call(GetMemberState(), timeout=1.0)
                    self.assertEqual(answer, Failed("answered"))
                self.assertTrue(peer.is_connected)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock())


class UnreadStream:
    """A connection whose peer sends requests and takes no bytes."""

    def __init__(self):
        self.received = 0
        self.closed = False

    def setsockopt(self, *_):
        pass

    async def receive_some(self):
        if self.received > 2 * MAX_REQUESTS_PER_CONNECTION:
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()
        self.received += 1
        return encode_frame(self.received, GetMemberState())

    async def send_all(self, _):
        await trio.sleep_forever()

    async def aclose(self):
        self.closed = True
        await trio.lowlevel.checkpoint()


class FailedRequestTests(unittest.TestCase):
    """Unexpected errors in one of several processes' requests, over loopback."""

    def run_script(self, script, handle):
        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

                async def serve(stream):
                    await serve_frames(stream, Request, handle, failure=Failed("error"))

                nursery.start_soon(trio.serve_listeners, serve, listeners)
                peer = PeerConnection(address, Response)
                nursery.start_soon(peer.run)
                with trio.fail_after(TIMEOUT_SECONDS):
                    await peer.connected.wait()
                    await script(peer)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_request_whose_handler_fails_is_answered_and_the_others_too(self):
        """Guards against one request that ends each member that it is sent to."""

        async def handle(request):
            await trio.lowlevel.checkpoint()
            if isinstance(request, ReadChain):
                raise RuntimeError("unforeseen")
            return Failed("answered")

        async def script(peer):
            stamp = ViewStamp(1, 0)
            answers = [
                await peer.call(request, timeout=TIMEOUT_SECONDS)
                for request in (ReadChain(stamp, "c1"), GetMemberState())
            ]
            self.assertEqual(answers, [Failed("error"), Failed("answered")])

        self.run_script(script, handle)

    def test_deeply_nested_frame_closes_only_its_connection(self):
        """Guards against a frame that ends the process by RecursionError."""

        async def handle(_):
            await trio.lowlevel.checkpoint()
            return Failed("answered")

        async def script(peer):
            body = b"\x92\x01\x92\xa5state" + b"\x91" * 5000 + b"\xc0"
            host, _, port = peer.address.partition(":")
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(LENGTH.pack(len(body)) + body)
                self.assertEqual(await stream.receive_some(), b"")
            answer = await peer.call(GetMemberState(), timeout=TIMEOUT_SECONDS)
            self.assertEqual(answer, Failed("answered"))

        self.run_script(script, handle)


class UnreadPeerTests(unittest.TestCase):
    def test_requests_are_not_read_while_their_responses_are_not_taken(self):
        """Guards against memory for the responses of a peer that does not read."""

        async def handle(_):
            await trio.lowlevel.checkpoint()
            return Failed("answered")

        async def main():
            stream = UnreadStream()
            with trio.move_on_after(60):
                await serve_frames(stream, Request, handle)
            self.assertLessEqual(stream.received, MAX_REQUESTS_PER_CONNECTION + 1)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_connection_with_a_frame_that_was_sent_in_part_is_closed(self):
        """Guards against frames that a peer reads as the rest of an earlier one."""

        async def main():
            stream = UnreadStream()
            connection = PeerConnection("h:1", Response)
            connection._stream = stream
            with self.assertRaises(PeerUnreachable):
                await connection.call(GetMemberState(), timeout=SHORT_SECONDS)
            self.assertTrue(stream.closed)
            self.assertFalse(connection.is_connected)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class UnsentResponsesTests(unittest.TestCase):
    LIMIT = 2_000_000

    async def handle(self, request):
        await trio.lowlevel.checkpoint()
        return Failed("x" * 200_000 if self.is_large else "small")

    def test_responses_that_a_slow_reader_leaves_are_bounded_in_memory(self):
        """Guards against a member whose memory fills with chains that nobody reads."""
        self.is_large = True
        unsent = UnsentResponses(self.LIMIT, Failed("full"))

        async def serve(stream):
            await serve_frames(stream, Request, self.handle, unsent)

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                slow = await trio.open_tcp_stream("127.0.0.1", port)
                for number in range(100):
                    await slow.send_all(encode_frame(number, GetMemberState()))
                while unsent.size < self.LIMIT * 0.9:
                    await trio.sleep(SHORT_SECONDS)
                await trio.sleep(SHORT_SECONDS)
                self.assertLess(unsent.size, self.LIMIT + 100 * 100)

                peer = PeerConnection(f"127.0.0.1:{port}", Response)
                nursery.start_soon(peer.run)
                await peer.connected.wait()
                answer = await peer.call(GetMemberState(), timeout=TIMEOUT_SECONDS)
                self.assertEqual(answer, Failed("full"))
                self.is_large = False
                answer = await peer.call(GetMemberState(), timeout=TIMEOUT_SECONDS)
                self.assertEqual(answer, Failed("small"))

                reader = FrameReader(slow)
                for _ in range(100):
                    await reader.read()
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(unsent.size, 0)
                self.is_large = True
                answer = await peer.call(GetMemberState(), timeout=TIMEOUT_SECONDS)
                self.assertEqual(len(answer.reason), 200_000)
                await slow.aclose()
                nursery.cancel_scope.cancel()

        with_timeout(main)


def with_timeout(main):
    async def run():
        with trio.fail_after(TIMEOUT_SECONDS):
            await main()

    trio.run(run)


if __name__ == "__main__":
    unittest.main()
