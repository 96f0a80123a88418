"""Clock for ages: trio's time plus the time for which the machine was suspended.

The monotonic clock, and with it trio's clock, stops while a machine is suspended. An age
that is measured with it is too small after a suspension.
"""

import time

import trio

MAX_READING_NS = 1_000_000
"""Duration of a comparison of the two clocks beyond which it is repeated. A thread that is
interrupted between the readings would count the interruption as a suspension."""

MAX_COMPARISONS = 4


def _compare_clocks() -> int:
    """Returns the nanoseconds for which the machine has been suspended since its start.

    The result is never too large, so that no confirmation is dated too late.
    """
    difference = 0
    for _ in range(MAX_COMPARISONS):
        before = time.monotonic_ns()
        boot = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        after = time.monotonic_ns()
        difference = boot - after
        if after - before <= MAX_READING_NS:
            break
    return difference


_AT_START = _compare_clocks()


def measure_suspended_seconds() -> float:
    """Returns the seconds for which the machine was suspended since the process started."""
    return max(0, _compare_clocks() - _AT_START) / 1e9


def get_elapsed_time() -> float:
    """Returns trio's time plus the time for which the machine was suspended.

    Deadlines of trio do not count suspended time; compare them with trio's own clock.
    """
    return trio.current_time() + measure_suspended_seconds()
