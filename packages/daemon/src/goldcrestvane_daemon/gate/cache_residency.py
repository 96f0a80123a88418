"""Tracks the programs whose prefixes are in the prefix cache of one engine.

A program that starts while the cache is full evicts the prefixes of paused programs.
These must then recompute their prefixes and take longer, which fills the cache even
more. The gate therefore defers new programs until resident ones end.
"""

from collections import Counter, OrderedDict
from typing import NamedTuple, final

from goldcrestvane_common.ids import ProgramId, TeamId, get_root_program
from goldcrestvane_common.messages import (
    DispatchRequest,
)
from goldcrestvane_common.settings import Priority
from goldcrestvane_daemon.gate.estimate import MovingMean

MAX_RESIDENT_SHARE = 0.85
"""Share of the cache that resident programs may use before new ones are deferred."""

IDLE_TIMEOUT_SECONDS = 60.0
"""Time without a call after which a program no longer counts as resident."""

PEAK_SMOOTHING = 0.05
INTERVAL_SMOOTHING = 0.1


class ProgramKey(NamedTuple):
    """Key of a program or a sub-agent."""

    team: TeamId
    program: ProgramId


class ResidentProgram(NamedTuple):
    """A program with a prefix in the cache.

    Attributes:
        priority: Priority class.
        tokens: Tokens that its last finished call left in the cache.
        used_at: Time of its last call on trio's clock.
    """

    priority: Priority
    tokens: int
    used_at: float


@final
class CacheResidency:
    """Programs that are assumed to have a prefix in one engine's cache.

    They are kept in the order of their last use, the least recently used first.

    Attributes:
        capacity_tokens: Capacity of the engine's cache; 0 if unknown.
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
        """Mean time between the ends of two programs; 0 before the second end."""
        return self._intervals.value

    def record_usage(
        self, request: DispatchRequest, *, tokens: int, now: float
    ) -> None:
        """Records a call of a program and the tokens that it leaves in the cache."""
        key = build_program_key(request)
        previous = self._programs.pop(key, None)
        if previous is None:
            self._roots[_get_root_key(key)] += 1
        self._programs[key] = ResidentProgram(request.priority, tokens, now)

    def record_start(self, request: DispatchRequest, *, now: float) -> None:
        """Records that a call of a program starts."""
        resident = self._programs.get(build_program_key(request))
        self.record_usage(request, tokens=resident.tokens if resident else 0, now=now)

    def release(self, key: ProgramKey, *, now: float) -> None:
        """Removes an ended program and updates the expected size of its class."""
        resident = self._programs.get(key)
        if resident is None:
            return
        self._remove(key)
        self._peaks[resident.priority].record(resident.tokens)
        if self._last_release is not None:
            self._intervals.record(now - self._last_release)
        self._last_release = now

    def is_resident(self, request: DispatchRequest) -> bool:
        """Returns whether any program in the call's tree has a cached prefix."""
        return _get_root_key(build_program_key(request)) in self._roots

    def count_tokens(self) -> int:
        """Returns the tokens that the programs use, or will use on average if higher.

        Young programs grow later. The average therefore counts each program with half
        of the final size of its class, which is the mean size over its lifetime.
        """
        cached = 0
        expected = 0.0
        for resident in self._programs.values():
            cached += resident.tokens
            expected += self._peaks[resident.priority].value / 2
        return max(cached, int(expected))

    def has_room(self, *, now: float) -> bool:
        """Returns whether the cache has room for another program."""
        if not self.capacity_tokens:
            return True
        self._remove_idle(now)
        return self.count_tokens() < MAX_RESIDENT_SHARE * self.capacity_tokens

    def _remove_idle(self, now: float) -> None:
        while self._programs:
            key, resident = next(iter(self._programs.items()))
            if now - resident.used_at < IDLE_TIMEOUT_SECONDS:
                return
            self._remove(key)

    def _remove(self, key: ProgramKey) -> None:
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
