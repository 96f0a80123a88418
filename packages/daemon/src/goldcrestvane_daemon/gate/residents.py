"""Programs whose prefixes live in the cache of one engine.

Programs that start while the cache is full push out the prefixes of programs that
pause; those compute them again, take longer, and the cache gets fuller still. The
gate therefore holds new programs back until resident ones end.
"""

from collections import Counter, OrderedDict
from typing import NamedTuple, final

from goldcrestvane_common.ids import ProgramId, TeamId, get_root
from goldcrestvane_common.messages import DispatchRequest

FULL_SHARE = 0.95
"""Share of the cache that resident programs may take before new ones wait."""

IDLE_SECONDS = 60.0
"""Time without a call after which a program no longer counts as resident."""

PEAK_SMOOTHING = 0.05


class ProgramKey(NamedTuple):
    """Names a program or a sub-agent."""

    team: TeamId
    program: ProgramId


class Resident(NamedTuple):
    """Tokens that a program holds, and the time of its last call."""

    tokens: int
    used: float


@final
class Residents:
    """Programs believed to hold a prefix at one engine; the latest used last."""

    def __init__(self) -> None:
        self.capacity_tokens = 0
        self._programs: OrderedDict[ProgramKey, Resident] = OrderedDict()
        self._roots: Counter[ProgramKey] = Counter()
        self._tokens = 0
        self._mean_peak = 0.0

    def note(self, key: ProgramKey, *, tokens: int, now: float) -> None:
        """Notes a call of a program and the tokens it leaves in the cache."""
        earlier = self._programs.pop(key, None)
        if earlier is None:
            self._roots[_get_root_key(key)] += 1
        else:
            self._tokens -= earlier.tokens
        self._programs[key] = Resident(tokens, now)
        self._tokens += tokens

    def touch(self, key: ProgramKey, *, now: float) -> None:
        """Notes that a call of a program starts."""
        resident = self._programs.get(key)
        self.note(key, tokens=resident.tokens if resident else 0, now=now)

    def release(self, key: ProgramKey) -> None:
        """Drops an ended program, and learns how large programs get."""
        resident = self._programs.get(key)
        if resident is None:
            return
        self._drop(key)
        self._mean_peak += PEAK_SMOOTHING * (resident.tokens - self._mean_peak)

    def is_resident(self, key: ProgramKey) -> bool:
        """Tells whether the tree of a program has a prefix here."""
        return _get_root_key(key) in self._roots

    def has_room(self, *, now: float) -> bool:
        """Tells whether one more program fits.

        Young programs count with half of what programs reach, their mean over time.
        """
        if not self.capacity_tokens:
            return True
        self._drop_idle(now)
        grown = (len(self._programs) + 1) * self._mean_peak / 2
        return max(self._tokens, grown) <= FULL_SHARE * self.capacity_tokens

    def _drop_idle(self, now: float) -> None:
        while self._programs:
            key, resident = next(iter(self._programs.items()))
            if now - resident.used < IDLE_SECONDS:
                return
            self._drop(key)

    def _drop(self, key: ProgramKey) -> None:
        self._tokens -= self._programs.pop(key).tokens
        root = _get_root_key(key)
        self._roots[root] -= 1
        if not self._roots[root]:
            del self._roots[root]


def build_program_key(request: DispatchRequest) -> ProgramKey:
    """Returns the key of the program that issued a call."""
    return ProgramKey(request.team, request.program)


def _get_root_key(key: ProgramKey) -> ProgramKey:
    return ProgramKey(key.team, get_root(key.program))
