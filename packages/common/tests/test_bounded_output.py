import logging
import os
import unittest

from goldcrestvane_common.bounded_output import (
    BURST_LINES,
    LINES_PER_SECOND,
    BoundedHandler,
)


class BoundedHandlerTests(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.now = 0.0
        self.handler = BoundedHandler(writer, clock=lambda: self.now)

    def log(self, message):
        self.handler.emit(
            logging.LogRecord("t", logging.INFO, "", 0, message, None, None)
        )

    def read_lines(self):
        os.set_blocking(self.reader, False)
        data = b""
        try:
            while part := os.read(self.reader, 1 << 20):
                data += part
        except BlockingIOError:
            pass
        return data.decode().splitlines()

    def test_lines_beyond_the_burst_are_dropped_and_counted(self):
        for _ in range(BURST_LINES + 50):
            self.log("line")
        self.assertEqual(self.handler.dropped, 50)
        self.assertEqual(len(self.read_lines()), BURST_LINES)
        self.now += 2 / LINES_PER_SECOND
        self.log("after")
        lines = self.read_lines()
        self.assertEqual(len(lines), 2)
        self.assertIn("dropped", lines[0])

    def test_stalled_reader_does_not_block_the_writer(self):
        for _ in range(1900):
            self.log("x" * 1000)
        self.assertGreater(self.handler.dropped, 0)

    def test_lines_stay_complete_after_the_reader_resumes(self):
        for number in range(100):
            self.log(f"{number:03d}" + "x" * 997)
        first = self.read_lines()
        self.log("last")
        lines = first + self.read_lines()
        joined = "".join(lines)
        self.assertEqual(joined.count("x"), 100 * 997)
        self.assertTrue(joined.endswith("last"))


if __name__ == "__main__":
    unittest.main()
