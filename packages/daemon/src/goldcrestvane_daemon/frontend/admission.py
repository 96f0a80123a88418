"""Admission control: queueing order, reserved slots and retry times.

Load patterns that this module handles:
- More programs arrive than the targets can serve, in a burst or because targets have
  left. If all of them were admitted, every turn would wait and every program would
  finish late. New programs are therefore refused while the programs in progress need
  the targets, so that programs that have started finish on time.
- A program in progress pauses between its turns, and other programs could take its
  slot during the pause. The last slots of each target are reserved for programs in
  progress (trunk reservation).
- Calls of several priorities wait. A less urgent call is ordered as if it had arrived
  later, so that it yields to urgent calls but never starves. The same applies to calls
  of overdue programs.
- Many callers are refused at once. Each caller gets a different retry time, spaced at
  the rate at which new programs are admitted.
"""

import math
from collections import deque
from enum import Enum
from typing import final

PRIORITY_DELAY_SECONDS = 0.5
"""Delay added to a call's arrival time in the queueing order for each priority level
below the first. It is about the sum of half a typical objective of 300 ms and a typical
run time of 300 ms."""

RESERVED_SLOT_SHARE = 0.4
"""Share of a target's slots that is reserved for programs in progress. See the load
replay in docs/explanation/policy.md."""

MAX_WAIT_SHARE = 0.1
"""Share of a program's remaining time for which its first turn may wait: a third of the
slack of a program whose deadline is 1.5 times its run time on idle targets."""

MAX_PERMIT_WAIT_SHARE = 0.33
"""Share of a call's remaining time for which it may wait for a permit. Clients wait for
as long before they return."""

RATE_WINDOW_SECONDS = 2.0
"""Length of the sliding window over which rates are measured."""

MIN_RETRY_AFTER_SECONDS = 0.1
"""Minimum retry delay: a fifth of the typical run time of a turn."""

MAX_RETRY_AFTER_SECONDS = 2.0
"""Maximum retry delay. It is short because load changes within seconds."""


class AdmissionClass(Enum):
    """Progress of the program that a call belongs to."""

    IN_PROGRESS = "under_way"
    """Turns of the program have run, or the call belongs to no program."""

    NEW = "new"
    """This call is the first call of the program."""

    RETRIED = "returned"
    """No turn of the program has run, and earlier calls of it were refused."""

    OVERDUE = "late"
    """The deadline of the program has passed."""


STARTING_CLASSES = frozenset((AdmissionClass.NEW, AdmissionClass.RETRIED))
"""Classes of programs that have not run any turn yet."""

CLASS_DELAY_SECONDS = {
    AdmissionClass.IN_PROGRESS: 0.0,
    AdmissionClass.NEW: 0.5,
    AdmissionClass.RETRIED: 1.0,
    AdmissionClass.OVERDUE: 1.0,
}
"""Delay added to a call's arrival time in the queueing order, by admission class. Half
a second is the typical length of a turn.

A retried program has lost part of its time and an overdue program all of it, so a new
program makes better use of a slot.
"""


def get_queue_key(
    arrived: float,
    priority: int,
    admission_class: AdmissionClass = AdmissionClass.IN_PROGRESS,
) -> float:
    """Returns the sort key of a waiting call. The lowest key goes first."""
    return (
        arrived
        + PRIORITY_DELAY_SECONDS * priority
        + CLASS_DELAY_SECONDS[admission_class]
    )


def estimate_queue_wait(waiting: int, completions_per_second: float) -> float:
    """Returns the seconds until a new call at the end of the queue starts."""
    if waiting == 0:
        return 0.0
    return waiting / completions_per_second


def count_reserved_slots(slots: int, admission_class: AdmissionClass) -> int:
    """Returns the number of slots of a target that a call must leave free."""
    if admission_class not in STARTING_CLASSES or slots <= 1:
        return 0
    return math.ceil(RESERVED_SLOT_SHARE * slots)


def get_admission_class(
    *, has_started: bool, refused_before: bool, program_ms_left: float | None
) -> AdmissionClass:
    """Returns the admission class of a program's calls.

    Args:
        has_started: Whether a turn of the program has run, or whether the program
            continues another one.
        refused_before: Whether earlier calls of the program were refused.
        program_ms_left: Milliseconds until the program's deadline, if known.
    """
    if not has_started:
        return AdmissionClass.RETRIED if refused_before else AdmissionClass.NEW
    if program_ms_left is not None and program_ms_left <= 0:
        return AdmissionClass.OVERDUE
    return AdmissionClass.IN_PROGRESS


def get_max_wait(program_seconds_left: float) -> float:
    """Returns the maximum wait of a program's first turn, in seconds."""
    return MAX_WAIT_SHARE * max(0.0, program_seconds_left)


def get_max_permit_wait(
    seconds_left: float, program_seconds_left: float, admission_class: AdmissionClass
) -> float:
    """Returns the seconds for which a call can wait for a permit.

    Args:
        seconds_left: Seconds until the call's deadline.
        program_seconds_left: Seconds until the deadline of the call's program.
        admission_class: Admission class of the call.
    """
    if admission_class in STARTING_CLASSES:
        return get_max_wait(program_seconds_left)
    return MAX_PERMIT_WAIT_SHARE * seconds_left


@final
class RetrySchedule:
    """Assigns staggered retry times to callers whose calls are refused."""

    def __init__(self) -> None:
        self._admission_times: deque[float] = deque(maxlen=256)
        self._last_retry_at = 0.0

    def record_admission(self, now: float) -> None:
        """Records that a new program was admitted."""
        self._admission_times.append(now)

    def schedule_retry(self, now: float) -> float:
        """Returns the seconds after which the next refused caller should retry."""
        while (
            self._admission_times
            and self._admission_times[0] < now - RATE_WINDOW_SECONDS
        ):
            self._admission_times.popleft()
        interval = RATE_WINDOW_SECONDS / (len(self._admission_times) + 1)
        earliest = now + MIN_RETRY_AFTER_SECONDS
        latest = now + MAX_RETRY_AFTER_SECONDS
        self._last_retry_at = min(max(earliest, self._last_retry_at + interval), latest)
        return self._last_retry_at - now
