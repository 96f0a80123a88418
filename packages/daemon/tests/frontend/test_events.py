import unittest

from goldcrestvane_daemon.frontend.events import (
    MAX_EVENT_BYTES,
    BlockKind,
    EventSplitter,
    EventTooLong,
    parse_event,
)

STREAM = b"id: 1\ndata: a\n\ngoldcrestvane-weight-versions: 2\nid: 2\ndata: b\n\n"


class EventSplitterTests(unittest.TestCase):
    def check_split(self, stream):
        for cut in range(len(stream)):
            for width in (1, len(stream)):
                splitter = EventSplitter()
                events = splitter.feed(stream[:cut])
                for start in range(cut, len(stream), width):
                    events += splitter.feed(stream[start : start + width])
                self.assertEqual([event.number for event in events], [1, 2])
                self.assertEqual([event.data for event in events], [b"a", b"b"])
                self.assertEqual(b"".join(event.raw for event in events), stream)
                self.assertEqual(splitter.remainder, b"")

    def test_events_do_not_depend_on_how_the_stream_is_split(self):
        self.check_split(STREAM)

    def test_lines_may_end_with_a_carriage_return_and_a_line_feed(self):
        """Guards against streams that are never split into events."""
        self.check_split(STREAM.replace(b"\n", b"\r\n"))

    def test_carriage_return_in_the_data_ends_no_line(self):
        (event,) = EventSplitter().feed(b"data: a\rb\n\n")
        self.assertEqual(event.data, b"a\rb")

    def test_incomplete_event_is_buffered(self):
        splitter = EventSplitter()
        self.assertEqual(len(splitter.feed(STREAM + b"id: 3\ndata: c")), 2)
        self.assertEqual(splitter.remainder, b"id: 3\ndata: c")

    def test_id_with_too_many_digits_is_no_number(self):
        event = b"id: %s\ndata: a\n\n" % (b"9" * 5000)
        self.assertIsNone(EventSplitter().feed(event)[0].number)

    def test_block_is_an_event_only_with_one_numeric_id(self):
        kinds = {
            BlockKind.EVENT: (
                b"id: 1\ndata: a\n\n",
                b"id:1\n\n",
                b": comment\nid: 1\ndata: a\n\n",
                b"later-field: 5\nid: 1\ndata: a\n\n",
                b"\nid: 1\ndata\n\n",
            ),
            BlockKind.COMMENT: (b":\n\n", b"\n\n", b"retry: 5\n: x\n\n", b"event\n\n"),
            BlockKind.INVALID: (
                b"data: a\n\n",
                b"id:\ndata: a\n\n",
                b"id: -1\n\n",
                b"id: 1\nid: 1\n\n",
                b"later-field: 5\n\n",
                b"later-field\nid: 1\n\n",
                b"no field: 5\nid: 1\ndata: a\n\n",
                b"\xff\n\n",
            ),
        }
        for kind, blocks in kinds.items():
            for block in blocks:
                with self.subTest(block):
                    self.assertIs(parse_event(block).kind, kind)

    def test_event_without_end_is_rejected(self):
        splitter = EventSplitter()
        block = b"x" * 65_536
        with self.assertRaises(EventTooLong):
            for _ in range(2 * MAX_EVENT_BYTES // len(block)):
                splitter.feed(block)


if __name__ == "__main__":
    unittest.main()
