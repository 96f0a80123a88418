"""Programs whose prefixes live in the cache of one engine.

Programs that start while the cache is full push out the prefixes of programs that
pause; those compute them again, take longer, and the cache gets fuller still. The
gate therefore holds new programs back until resident ones end.
"""

from collections import Counter, OrderedDict
from typing import NamedTuple, final

from goldcrestvane_common.ids import ProgramId, TeamId, get_root_program
from goldcrestvane_common.messages import (
    DispatchRequest,
)
from goldcrestvane_common.settings import Priority
from goldcrestvane_daemon.gate.estimate import MovingMean

FULL_SHARE = 0.85
"""Share of the cache that resident programs may take before new ones wait."""

IDLE_SECONDS = 60.0
"""Time without a call after which a program no longer counts as resident."""

PEAK_SMOOTHING = 0.05
INTERVAL_SMOOTHING = 0.1


class ProgramKey(NamedTuple):
    """Names a program or a sub-agent."""

    team: TeamId
    program: ProgramId


class ResidentProgram(NamedTuple):
    """What is known of one program.

    Attributes:
        priority: Scheduling class.
        tokens: Tokens that its last ended call left in the cache.
        used: Time of its last call on trio's clock.
    """

    priority: Priority
    tokens: int
    used: float


@final
class CacheResidency:
    """Programs believed to hold a prefix at one engine; the latest used last.

    Attributes:
        capacity_tokens: Size of the engine's cache; 0 if unknown.
    """

    def __init__(self) -> None:
        self.capacity_tokens = 0
        self._programs: OrderedDict[ProgramKey, ResidentProgram] = OrderedDict()
        self._roots: Counter[ProgramKey] = Counter()
        self._peaks = {priority: MovingMean(PEAK_SMOOTHING) for priority in Priority}
        self._intervals = MovingMean(INTERVAL_SMOOTHING)
        self._last_release: float | None = None

    @property
    def release_seconds(self) -> float:
        """Mean time between two ends of programs; 0 before the second end."""
        return self._intervals.value

    def record_usage(
        self, request: DispatchRequest, *, tokens: int, now: float
    ) -> None:
        """Notes a call of a program and the tokens it leaves in the cache."""
        key = build_program_key(request)
        earlier = self._programs.pop(key, None)
        if earlier is None:
            self._roots[_get_root_key(key)] += 1
        self._programs[key] = ResidentProgram(request.priority, tokens, now)

    def record_start(self, request: DispatchRequest, *, now: float) -> None:
        """Notes that a call of a program starts."""
        resident = self._programs.get(build_program_key(request))
        self.record_usage(request, tokens=resident.tokens if resident else 0, now=now)

    def release(self, key: ProgramKey, *, now: float) -> None:
        """Drops an ended program, and learns how large programs get."""
        resident = self._programs.get(key)
        if resident is None:
            return
        self._drop(key)
        self._peaks[resident.priority].record(resident.tokens)
        if self._last_release is not None:
            self._intervals.record(now - self._last_release)
        self._last_release = now

    def is_resident(self, request: DispatchRequest) -> bool:
        """Tells whether the tree of a program has a prefix here."""
        return _get_root_key(build_program_key(request)) in self._roots

    def count_tokens(self) -> int:
        """Returns the tokens that all programs hold, or will hold on average.

        Programs that all are young grow later: each counts at least with half of what
        its class reaches, the mean over its time.
        """
        present = 0
        grown = 0.0
        for resident in self._programs.values():
            present += resident.tokens
            grown += self._peaks[resident.priority].value / 2
        return max(present, int(grown))

    def has_room(self, *, now: float) -> bool:
        """Tells whether one more program may start."""
        if not self.capacity_tokens:
            return True
        self._drop_idle(now)
        return self.count_tokens() < FULL_SHARE * self.capacity_tokens

    def _drop_idle(self, now: float) -> None:
        while self._programs:
            key, resident = next(iter(self._programs.items()))
            if now - resident.used < IDLE_SECONDS:
                return
            self._drop(key)

    def _drop(self, key: ProgramKey) -> None:
        del self._programs[key]
        root = _get_root_key(key)
        self._roots[root] -= 1
        if not self._roots[root]:
            del self._roots[root]


def build_program_key(request: DispatchRequest) -> ProgramKey:
    """Returns the key of the program that issued a call."""
    return ProgramKey(request.team, request.program)


def _get_root_key(key: ProgramKey) -> ProgramKey:
    return ProgramKey(key.team, get_root_program(key.program))
