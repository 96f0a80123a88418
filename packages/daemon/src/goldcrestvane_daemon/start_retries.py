"""Waits of a start for conditions that may pass by themselves."""

import select
import sys
import time

MAX_WAIT_SECONDS = 15.0
"""Time after which the process ends, since an operator has to act."""

MIN_INTERVAL_SECONDS = 0.02
MAX_INTERVAL_SECONDS = 0.5


class StartRetries:
    """Tries of one step of a start, before logs are set up."""

    def __init__(self, subject: str) -> None:
        """Begins the first try.

        Args:
            subject: What the step needs.
        """
        self._subject = subject
        self._end = time.monotonic() + MAX_WAIT_SECONDS
        self._interval = MIN_INTERVAL_SECONDS
        self._reported = ""

    def wait_after(self, error: Exception) -> None:
        """Waits for the next try, and prints the error unless it was printed last.

        Raises:
            Exception: The error, if `MAX_WAIT_SECONDS` have passed since the first try.
        """
        if time.monotonic() > self._end:
            raise error
        if str(error) != self._reported:
            self._reported = str(error)
            print(
                f"goldcrestvaned: {self._subject}: {error}; trying again for up to "
                f"{MAX_WAIT_SECONDS:.0f} s",
                file=sys.stderr,
                flush=True,
            )
        select.poll().poll(self._interval * 1000)
        self._interval = min(2 * self._interval, MAX_INTERVAL_SECONDS)
