import unittest

import trio
import trio.testing

from goldcrestvane_daemon.http1 import (
    EVENTS_PER_TURN,
    ClientExchange,
    ServerConnection,
)

CHUNKS = 2000
TINY_CHUNKS = b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n"
HEAD = b"transfer-encoding: chunked\r\n\r\n"


class TinyChunkTests(unittest.TestCase):
    """Guards against one message that keeps a process from all other work."""

    def count_turns(self, read_message):
        """Returns the turns of another task while a message is read."""
        turns = 0

        async def take_turns():
            nonlocal turns
            while True:
                await trio.lowlevel.checkpoint()
                turns += 1

        async def main():
            ours, theirs = trio.testing.memory_stream_pair()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(take_turns)
                await read_message(ours, theirs)
                nursery.cancel_scope.cancel()

        trio.run(main)
        return turns

    def test_other_tasks_run_while_a_response_of_tiny_chunks_is_read(self):
        async def read_response(ours, theirs):
            exchange = ClientExchange(ours)
            await exchange.send(b"GET", b"/", [(b"host", b"h")], [])
            await theirs.send_all(b"HTTP/1.1 200 OK\r\n" + HEAD + TINY_CHUNKS)
            await exchange.read_head()
            parts = [part async for part in exchange.iterate_body()]
            self.assertEqual(b"".join(parts), b"x" * CHUNKS)

        turns = self.count_turns(read_response)
        self.assertGreaterEqual(turns, CHUNKS // EVENTS_PER_TURN)

    def test_other_tasks_run_while_a_request_of_tiny_chunks_is_read(self):
        async def read_request(ours, theirs):
            connection = ServerConnection(ours, head_bytes=16_384)
            head = b"POST / HTTP/1.1\r\nhost: h\r\n"
            await theirs.send_all(head + HEAD + TINY_CHUNKS)
            await connection.read_head()
            self.assertEqual(await connection.read_body(CHUNKS), b"x" * CHUNKS)

        turns = self.count_turns(read_request)
        self.assertGreaterEqual(turns, CHUNKS // EVENTS_PER_TURN)


if __name__ == "__main__":
    unittest.main()
