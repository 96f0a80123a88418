"""A log handler that never blocks and limits the number of lines it writes."""

import logging
import os
import time
from collections.abc import Callable
from typing import final

LINES_PER_SECOND = 400
"""Sustained rate, which is over twice the rate of a node at the planned peak.

At that peak, a node handles 58 calls per second and logs three lines for each.
"""

BURST_LINES = 2000
"""Lines that may be written at once after five seconds without output."""

MAX_UNWRITTEN_BYTES = 256 * 1024
"""Size of the buffer for a slow reader; new lines are dropped while it is full."""


@final
class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for its reader.

    Lines beyond the limits are dropped. The next line that is written is preceded by a
    warning with the number of dropped lines.

    Attributes:
        dropped: Number of lines dropped since the last line that was written.
    """

    def __init__(
        self, descriptor: int, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = float(BURST_LINES)
        self._refilled_at = clock()
        self._unwritten = bytearray()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or counts it as dropped."""
        if not self._take_token() or len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._write_line(self.format(_build_drop_record(dropped)))
        self._write_line(self.format(record))

    def _take_token(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
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
            # The reader is gone, so this error cannot be logged either.
            self._unwritten.clear()


def _build_drop_record(dropped: int) -> logging.LogRecord:
    message = "log: dropped lines beyond the bound"
    record = logging.LogRecord(
        "goldcrestvane.log", logging.WARNING, __file__, 0, message, None, None
    )
    record.dropped = dropped
    return record
