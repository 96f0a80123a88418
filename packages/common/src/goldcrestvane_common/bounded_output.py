"""A log handler that never blocks and writes a bounded number of lines."""

import logging
import os
import time
from collections.abc import Callable
from typing import final

LINES_PER_SECOND = 400
"""Twice the lines of a node at the planned peak: 58 calls a second, three lines each."""

BURST_LINES = 2000
"""Lines that may be written at once, after a quiet time of five seconds."""

MAX_UNWRITTEN_BYTES = 256 * 1024
"""Bytes that wait for a reader that is slow; lines beyond them are dropped."""


@final
class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for its reader.

    Lines beyond the bounds are dropped and counted; the next line that is written is
    preceded by their number.
    """

    def __init__(
        self, descriptor: int, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = float(BURST_LINES)
        self._refilled = clock()
        self._unwritten = bytearray()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or counts it as dropped."""
        if not self._take_token() or len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._write_line(self.format(_build_notice(dropped)))
        self._write_line(self.format(record))

    def _take_token(self) -> bool:
        now = self._clock()
        earned = (now - self._refilled) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write_line(self, line: str) -> None:
        self._unwritten += line.encode() + b"\n"
        try:
            while self._unwritten:
                written = os.write(self._descriptor, self._unwritten)
                del self._unwritten[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is nowhere left to report it.
            self._unwritten.clear()


def _build_notice(dropped: int) -> logging.LogRecord:
    message = "log: dropped lines beyond the bound"
    record = logging.LogRecord(
        "goldcrestvane.log", logging.WARNING, __file__, 0, message, None, None
    )
    record.dropped = dropped
    return record
