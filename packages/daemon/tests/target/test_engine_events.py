import unittest

import trio

from goldcrestvane_common.transport import ExchangeBroken
from goldcrestvane_daemon.target.engine import MAX_EVENT_BYTES, read_events


class ReadEventsTests(unittest.TestCase):
    def read(self, chunks):
        async def main():
            async def iterate():
                for chunk in chunks:
                    await trio.lowlevel.checkpoint()
                    yield chunk

            return [data async for data in read_events(iterate())]

        return trio.run(main)

    def test_events_are_found_across_chunks(self):
        chunks = [b"da", b"ta: a\n", b"\nid: 1\ndata: b", b"c\n\n"]
        self.assertEqual(self.read(chunks), [b"a", b"bc"])

    def test_data_of_several_lines_is_one_event(self):
        self.assertEqual(self.read([b"data: a\ndata: b\n", b"\n"]), [b"a\nb"])

    def test_stream_that_ends_inside_an_event_is_broken_off(self):
        """Guards against a cut that is taken for the end of an answer."""
        whole = b"data: a\n\ndata: [DONE]\n\n"
        for size in range(len(whole)):
            with self.subTest(size=size):
                if size in (0, 9):
                    self.read([whole[:size]])
                    continue
                with self.assertRaises(ExchangeBroken):
                    self.read([whole[:size]])

    def test_event_without_end_breaks_the_exchange(self):
        lines = b"data: x\n" * 8192
        with self.assertRaises(ExchangeBroken):
            self.read([lines] * (2 * MAX_EVENT_BYTES // len(lines)))

    def test_line_without_end_breaks_the_exchange(self):
        """Guards against memory for an engine that never ends a line."""
        block = b"x" * 65_536
        with self.assertRaises(ExchangeBroken):
            self.read([block] * (2 * MAX_EVENT_BYTES // len(block)))


if __name__ == "__main__":
    unittest.main()
