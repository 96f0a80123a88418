"""Checks of the starts and ends of processes.

As in `checks`, only those in `TIMED_PROCESS_CHECKS` depend on the speed of the machine.
"""

import signal
from collections.abc import Iterator

from bench.soak.records import Evidence, ProcessEnd

CATCH_UP_SECONDS = 5.0
"""Time within which a started process serves."""

ORDERED_CODES = {signal.SIGTERM: 0, signal.SIGKILL: -signal.SIGKILL}
"""Exit codes of processes that end by order. SIGHUP is no order to end."""


def find_unordered_ends(evidence: Evidence) -> Iterator[str]:
    """Finds processes that ended without an order or in another way than ordered."""
    for end in evidence.ends:
        if not _is_ordered(end) and not _is_interrupted_start(end):
            yield _describe(end)


def find_interrupted_starts(evidence: Evidence) -> Iterator[str]:
    """Finds processes that a signal killed before they could handle it.

    How long that can happen depends on how fast the interpreter starts.
    """
    for end in evidence.ends:
        if not _is_ordered(end) and _is_interrupted_start(end):
            yield _describe(end)


def _is_ordered(end: ProcessEnd) -> bool:
    return end.code in {ORDERED_CODES.get(each) for each in end.signals}


def _is_interrupted_start(end: ProcessEnd) -> bool:
    return not end.handled_signals and -end.code in end.signals


def find_slow_ends(evidence: Evidence) -> Iterator[str]:
    """Finds processes that had to be killed since they outlived their grace."""
    for end in evidence.ends:
        if end.outlived_grace:
            yield f"outlived its grace: {_describe(end)}"


def find_slow_starts(evidence: Evidence) -> Iterator[str]:
    """Finds starts of processes that take longer than the settings allow."""
    for begin in evidence.starts:
        if begin.seconds > CATCH_UP_SECONDS:
            yield f"start {begin.start} of {begin.process} took {begin.seconds:.2f} s"


def find_late_processes(evidence: Evidence) -> Iterator[str]:
    """Finds starts and graceful stops that take too long."""
    yield from find_slow_starts(evidence)
    yield from find_slow_ends(evidence)


def _describe(end: ProcessEnd) -> str:
    signals = ", ".join(each.name for each in end.signals) or "no signal"
    handling = "" if end.handled_signals else ", not seen to handle signals"
    return (
        f"start {end.start} of {end.process} ended with code {end.code} after "
        f"{end.seconds:.2f} s and {signals}{handling}: {end.last_lines}"
    )


PROCESS_CHECKS = {"FAULT": find_unordered_ends}
TIMED_PROCESS_CHECKS = {
    "FAULT, late": find_late_processes,
    "FAULT, start": find_interrupted_starts,
}
