"""Which calls may wait for a target, in which order, and when others come back.

Load patterns that this answers:
- More programs come than the targets can serve, in a burst or since targets have left.
  Were all of them admitted, each turn would wait and every program would end late. New
  programs are turned away as long as those under way need the targets, so that the
  programs that have begun end in time.
- Programs under way return after a pause that others could use. The last places of
  each target are kept for them (trunk reservation).
- Calls of several priorities wait. A less urgent call counts as if it had arrived
  later, so that it yields but never starves; so do calls of programs that are late.
- Many callers are turned away at once. Each is told another time to come back, at the
  rate at which new programs are admitted.
"""

import math
from collections import deque
from enum import Enum
from typing import final

PRIORITY_SECONDS = 0.5
"""Time by which a call of one priority lower counts as later: half a usual objective
of 300 ms and a run of 300 ms."""

RESERVED_SLOT_SHARE = 0.4
"""Part of a target's slots that is kept for programs under way; the replay of loads in
docs/explanation/policy.md."""

MAX_WAIT_SHARE = 0.1
"""Part of its program's time for which a first turn waits: a third of the slack of a
program that has 1.5 times the time that it takes on idle targets."""

RATE_WINDOW_SECONDS = 2.0
"""Time over which the rate of admissions is measured."""

MIN_RETURN_SECONDS = 0.1
"""Earliest time to come back: a fifth of a usual run."""

MAX_RETURN_SECONDS = 2.0
"""Latest time to come back; load changes within seconds."""


class AdmissionClass(Enum):
    """How far the program of a call has come."""

    IN_PROGRESS = "under_way"
    """Turns of it have run, or the call belongs to no program."""

    NEW = "new"
    """It begins with this call."""

    RETRIED = "returned"
    """No turn of it has run, and it was turned away before."""

    OVERDUE = "late"
    """The time at which it should have ended is over."""


STARTING_CLASSES = frozenset((AdmissionClass.NEW, AdmissionClass.RETRIED))
"""Standings of programs no turn of which has run."""

YIELD_SECONDS = {
    AdmissionClass.IN_PROGRESS: 0.0,
    AdmissionClass.NEW: 0.5,
    AdmissionClass.RETRIED: 1.0,
    AdmissionClass.OVERDUE: 1.0,
}
"""Time by which a call counts as later; half a second is a usual turn.

A program that returns has lost a part of its time, and one that is late all of it, so
a new one makes better use of a place.
"""


def get_queue_key(
    arrived: float,
    priority: int,
    admission_class: AdmissionClass = AdmissionClass.IN_PROGRESS,
) -> float:
    """Returns the key by which calls wait; the lowest goes first."""
    return arrived + PRIORITY_SECONDS * priority + YIELD_SECONDS[admission_class]


def estimate_queue_wait(waiting: int, ended_a_second: float) -> float:
    """Returns the time until a new call at the end of the queue starts, in seconds."""
    if waiting == 0:
        return 0.0
    return waiting / ended_a_second


def count_reserved_slots(slots: int, admission_class: AdmissionClass) -> int:
    """Returns the slots of a target that a call must leave free."""
    if admission_class not in STARTING_CLASSES or slots <= 1:
        return 0
    return math.ceil(RESERVED_SLOT_SHARE * slots)


def get_admission_class(
    *, begun: bool, turned_away: bool, program_ms: float | None
) -> AdmissionClass:
    """Returns the standing of a program.

    Args:
        begun: Whether a turn of it has run, or it continues another program.
        turned_away: Whether calls of it were refused before.
        program_ms: Milliseconds until it should end, if that is known.
    """
    if not begun:
        return AdmissionClass.RETRIED if turned_away else AdmissionClass.NEW
    if program_ms is not None and program_ms <= 0:
        return AdmissionClass.OVERDUE
    return AdmissionClass.IN_PROGRESS


def get_max_wait(program_seconds_left: float) -> float:
    """Returns how long the first turn of a program waits, in seconds."""
    return MAX_WAIT_SHARE * max(0.0, program_seconds_left)


@final
class RetrySchedule:
    """Tells callers that are turned away when to come back, one after another."""

    def __init__(self) -> None:
        self._admitted: deque[float] = deque(maxlen=256)
        self._last_return = 0.0

    def record_admission(self, now: float) -> None:
        """Counts a new program that was admitted."""
        self._admitted.append(now)

    def schedule_retry(self, now: float) -> float:
        """Returns the seconds after which the next caller should come back."""
        while self._admitted and self._admitted[0] < now - RATE_WINDOW_SECONDS:
            self._admitted.popleft()
        interval = RATE_WINDOW_SECONDS / (len(self._admitted) + 1)
        earliest = now + MIN_RETURN_SECONDS
        latest = now + MAX_RETURN_SECONDS
        self._last_return = min(max(earliest, self._last_return + interval), latest)
        return self._last_return - now
