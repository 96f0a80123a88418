"""Estimates at which targets the prefixes of programs are cached."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import final

from goldcrestvane_common.ids import InstanceId, ProgramId, TeamId

MAX_TARGETS_PER_PROGRAM = 3
EMPTY: Mapping[InstanceId, int] = {}


@final
class AffinityMap:
    """Estimated cached tokens of each program at each target, in bounded memory.

    The least recently used program is evicted first. The estimates may be wrong, since
    the engine evicts prefixes in its own order, and its events arrive late and with
    gaps.
    """

    def __init__(self, *, max_programs: int) -> None:
        self._max_programs = max_programs
        self._programs: OrderedDict[
            tuple[TeamId, ProgramId], OrderedDict[InstanceId, int]
        ] = OrderedDict()

    def __len__(self) -> int:
        return len(self._programs)

    def get(self, team: TeamId, program: ProgramId) -> Mapping[InstanceId, int]:
        """Returns the estimated cached tokens by target, the latest target last."""
        return self._programs.get((team, program), EMPTY)

    def store(
        self, team: TeamId, program: ProgramId, target: InstanceId, tokens: int
    ) -> None:
        """Records the number of tokens that a turn left in a target's cache."""
        key = (team, program)
        targets = self._programs.setdefault(key, OrderedDict())
        targets[target] = tokens
        targets.move_to_end(target)
        if len(targets) > MAX_TARGETS_PER_PROGRAM:
            targets.popitem(last=False)
        self._programs.move_to_end(key)
        if len(self._programs) > self._max_programs:
            self._programs.popitem(last=False)

    def lower(
        self, team: TeamId, program: ProgramId, target: InstanceId, tokens: int
    ) -> None:
        """Lowers an estimate to the number of tokens that the engine reports."""
        targets = self._programs.get((team, program))
        if targets is None or target not in targets:
            return
        if tokens <= 0:
            del targets[target]
            return
        targets[target] = min(tokens, targets[target])

    def forget_program(self, team: TeamId, program: ProgramId) -> list[InstanceId]:
        """Removes a program; returns the targets that may hold its prefixes."""
        return list(self._programs.pop((team, program), EMPTY))

    def forget_target(self, target: InstanceId) -> None:
        """Removes the estimates for a target that died, left or restarted."""
        for targets in self._programs.values():
            targets.pop(target, None)
