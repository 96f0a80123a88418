"""Waits of a start for conditions that may pass by themselves."""

import signal
import sys
import time

from goldcrestvane_daemon.startup_signals import SHUTDOWN_SIGNALS

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

        SIGTERM or SIGINT, which a start holds back, ends the process instead.

        Raises:
            SystemExit: The process was told to stop.
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
        stop = signal.sigtimedwait(SHUTDOWN_SIGNALS, self._interval)
        if stop is not None:
            name = signal.Signals(stop.si_signo).name
            print(
                f"goldcrestvaned: stopped by {name} before the start was complete",
                file=sys.stderr,
                flush=True,
            )
            sys.exit(0)
        self._interval = min(2 * self._interval, MAX_INTERVAL_SECONDS)
