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

HEADROOM_SHARE = 0.4
"""Part of a target's slots that is kept for programs under way; the replay of loads in
docs/explanation/policy.md."""

PATIENCE_SHARE = 0.1
"""Part of its program's time for which a first turn waits: a third of the slack of a
program that has 1.5 times the time that it takes on idle targets."""

RATE_SECONDS = 2.0
"""Time over which the rate of admissions is measured."""

MIN_RETURN_SECONDS = 0.1
"""Earliest time to come back: a fifth of a usual run."""

MAX_RETURN_SECONDS = 2.0
"""Latest time to come back; load changes within seconds."""


class Standing(Enum):
    """How far the program of a call has come."""

    UNDER_WAY = "under_way"
    """Turns of it have run, or the call belongs to no program."""

    NEW = "new"
    """It begins with this call."""

    RETURNED = "returned"
    """No turn of it has run, and it was turned away before."""

    LATE = "late"
    """The time at which it should have ended is over."""


BEGINNINGS = frozenset((Standing.NEW, Standing.RETURNED))
"""Standings of programs no turn of which has run."""

YIELD_SECONDS = {
    Standing.UNDER_WAY: 0.0,
    Standing.NEW: 0.5,
    Standing.RETURNED: 1.0,
    Standing.LATE: 1.0,
}
"""Time by which a call counts as later; half a second is a usual turn.

A program that returns has lost a part of its time, and one that is late all of it, so
a new one makes better use of a place.
"""


def order_waiting(
    arrived: float, priority: int, standing: Standing = Standing.UNDER_WAY
) -> float:
    """Returns the key by which calls wait; the lowest goes first."""
    return arrived + PRIORITY_SECONDS * priority + YIELD_SECONDS[standing]


def estimate_wait(waiting: int, ended_a_second: float) -> float:
    """Returns the time until a new call at the end of the queue starts, in seconds."""
    if waiting == 0:
        return 0.0
    return waiting / ended_a_second


def count_headroom(slots: int, standing: Standing) -> int:
    """Returns the slots of a target that a call must leave free."""
    if standing not in BEGINNINGS or slots <= 1:
        return 0
    return math.ceil(HEADROOM_SHARE * slots)


def find_standing(
    *, begun: bool, turned_away: bool, program_ms: float | None
) -> Standing:
    """Returns the standing of a program.

    Args:
        begun: Whether a turn of it has run, or it continues another program.
        turned_away: Whether calls of it were refused before.
        program_ms: Milliseconds until it should end, if that is known.
    """
    if not begun:
        return Standing.RETURNED if turned_away else Standing.NEW
    if program_ms is not None and program_ms <= 0:
        return Standing.LATE
    return Standing.UNDER_WAY


def limit_patience(program_seconds: float) -> float:
    """Returns how long the first turn of a program waits, in seconds."""
    return PATIENCE_SHARE * max(0.0, program_seconds)


@final
class ReturnSchedule:
    """Tells callers that are turned away when to come back, one after another."""

    def __init__(self) -> None:
        self._admitted: deque[float] = deque(maxlen=256)
        self._last_return = 0.0

    def note_admission(self, now: float) -> None:
        """Counts a new program that was admitted."""
        self._admitted.append(now)

    def book(self, now: float) -> float:
        """Returns the seconds after which the next caller should come back."""
        while self._admitted and self._admitted[0] < now - RATE_SECONDS:
            self._admitted.popleft()
        interval = RATE_SECONDS / (len(self._admitted) + 1)
        earliest = now + MIN_RETURN_SECONDS
        latest = now + MAX_RETURN_SECONDS
        self._last_return = min(max(earliest, self._last_return + interval), latest)
        return self._last_return - now
