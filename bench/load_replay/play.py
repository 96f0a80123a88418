"""Plays a load pattern on the frontends' real queues and on model engines."""

import random
from collections import defaultdict
from typing import final

import msgspec
import trio
import trio.testing

from goldcrestvane_common.ids import DomainId, InstanceId, ServiceId
from goldcrestvane_daemon.frontend.admission import AdmissionClass
from goldcrestvane_daemon.frontend.queue import ServiceQueue
from goldcrestvane_daemon.frontend.refusals import Overloaded, Refusal
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.placement.inputs import PlacementOptions
from goldcrestvane_daemon.targets import Target, TargetState, TargetTable
from load_replay.engine import Engine
from load_replay.programs import (
    LoadPattern,
    PlannedProgram,
    PlannedTurn,
    TargetEvent,
    plan_programs,
)

SERVICE = ServiceId("engine")
HOP_SECONDS = 0.003
TIMEOUT_SECONDS = 3.0
TURN_SENDS = 3
CALL_ATTEMPTS = 2
RESEND_SECONDS = (0.1, 0.4)
RETRY_SHARE = 1 / 3
WINDOW_SECONDS = 2.0
SETTLE_SECONDS = 20.0


class ProgramResult(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a program.

    Attributes:
        kind: Its kind.
        begin: When it began.
        seconds: How long it took.
        owed: Benefit of it in time.
        earned: Benefit that it earned.
        finished: Whether it ended with all of its turns.
    """

    kind: str
    begin: float
    seconds: float
    owed: float
    earned: float
    finished: bool


class PlayResult(msgspec.Struct, frozen=True):
    """Outcome of a play."""

    programs: list[ProgramResult]
    held_seconds: list[float]
    """Waits of the calls that were refused in the end."""

    @property
    def share_earned(self) -> float:
        """Benefit earned by benefit owed."""
        return _measure_share(self.programs)

    def measure_worst_windows(self, count: int = 2) -> float:
        """Returns the mean share of the windows that earned least."""
        windows = defaultdict(list)
        for program in self.programs:
            windows[int(program.begin / WINDOW_SECONDS)].append(program)
        shares = sorted(_measure_share(each) for each in windows.values())
        return sum(shares[:count]) / count

    def measure_kinds(self) -> dict[str, float]:
        """Returns the share earned by kind."""
        kinds = defaultdict(list)
        for program in self.programs:
            kinds[program.kind].append(program)
        return {name: _measure_share(each) for name, each in kinds.items()}


def _measure_share(programs: list[ProgramResult]) -> float:
    owed = sum(program.owed for program in programs)
    return sum(program.earned for program in programs) / owed if owed else 1.0


@final
class _Frontend:
    """The decisions of one frontend, and the way to the engines."""

    def __init__(self, engines: dict[InstanceId, Engine], slots: int) -> None:
        self.table = TargetTable()
        for number, instance in enumerate(engines):
            self.table.put(
                Target(
                    instance=instance,
                    service=SERVICE,
                    host="10.0.0.1",
                    port=80 + number,
                    domain=DomainId(f"d{number % 3}"),
                    slots=slots,
                    state=TargetState.READY,
                )
            )
        self._engines = engines
        self._health = HealthTracker(PlacementOptions())
        self.queue = ServiceQueue(
            SERVICE,
            table=self.table,
            health=self._health,
            domain=DomainId("d0"),
        )

    async def serve(
        self,
        program: PlannedProgram,
        turn: PlannedTurn,
        *,
        admission_class: AdmissionClass,
    ) -> None:
        """Runs a turn.

        Raises:
            Refusal: It has not run.
        """
        left = program.begin + program.seconds - trio.current_time()
        target = await self.queue.acquire(
            key=program.name,
            priority=program.kind.priority,
            arrived=trio.current_time(),
            seconds_left=TIMEOUT_SECONDS,
            admission_class=_choose_standing(admission_class, left),
            program_seconds_left=left,
        )
        began = trio.current_time()
        engine = self._engines[target.instance]
        try:
            await trio.sleep(HOP_SECONDS)
            first_at = 0.0
            async for _ in engine.generate(
                turn.prompt, events=turn.events, priority=program.kind.priority
            ):
                if not first_at:
                    first_at = trio.current_time()
                    self.queue.update_load(target, engine.report())
            if turn.events > 1:
                event_seconds = (trio.current_time() - first_at) / (turn.events - 1)
                slowness = self.queue.compute_slowness(event_seconds)
                self._health.record_success(target.instance, slowness=slowness)
            await trio.sleep(HOP_SECONDS)
        finally:
            self.queue.release(target, run_seconds=trio.current_time() - began)


def _choose_standing(
    admission_class: AdmissionClass, seconds_left: float
) -> AdmissionClass:
    if admission_class is AdmissionClass.IN_PROGRESS and seconds_left <= 0:
        return AdmissionClass.OVERDUE
    return admission_class


@final
class LoadPlay:
    """One play of a pattern."""

    def __init__(
        self, pattern: LoadPattern, *, seed: int, admits_all: bool = False
    ) -> None:
        """Prepares a play.

        Args:
            pattern: What to play.
            seed: Fixes programs, frontends and pauses.
            admits_all: Whether every program counts as under way, for comparison.
        """
        self._pattern = pattern
        self._admits_all = admits_all
        self._random = random.Random(seed)
        self._engines = {
            InstanceId(f"engine-{number}"): Engine(pattern.sheet)
            for number in range(pattern.engines)
        }
        self._frontends = [
            _Frontend(self._engines, pattern.sheet.slots)
            for _ in range(pattern.frontends)
        ]
        self._result = PlayResult([], [])

    async def run(self) -> PlayResult:
        """Plays the pattern and returns what its programs earned."""
        programs = list(plan_programs(self._pattern, self._random))
        async with trio.open_nursery() as nursery:
            for engine in self._engines.values():
                nursery.start_soon(engine.run)
            for change in self._pattern.changes:
                nursery.start_soon(self._change, change)
            async with trio.open_nursery() as callers:
                for program in programs:
                    callers.start_soon(self._run_program, program)
            nursery.cancel_scope.cancel()
        return self._result

    async def _change(self, change: TargetEvent) -> None:
        await trio.sleep_until(change.at)
        instance = list(self._engines)[change.engine]
        self._engines[instance].slow_factor = change.slow_factor
        if change.leaves:
            for frontend in self._frontends:
                frontend.table.remove(instance)

    async def _run_program(self, program: PlannedProgram) -> None:
        await trio.sleep_until(program.begin)
        finished = True
        begun = False
        give_up = program.begin + 2 * program.seconds + SETTLE_SECONDS
        with trio.move_on_at(give_up):
            for turn in program.turns:
                if not await self._run_turn(program, turn, begun=begun):
                    finished = False
                    break
                begun = True
                await trio.sleep(turn.pause_seconds)
        if not program.runaway:
            self._note(program, finished and trio.current_time() < give_up)

    def _note(self, program: PlannedProgram, finished: bool) -> None:
        seconds = trio.current_time() - program.begin
        worth = 0.0
        if finished and seconds <= program.seconds:
            worth = program.kind.worth
        elif finished and seconds <= 2 * program.seconds:
            worth = program.kind.late_worth
        self._result.programs.append(
            ProgramResult(
                kind=program.kind.name,
                begin=program.begin,
                seconds=seconds,
                owed=program.kind.worth,
                earned=worth,
                finished=finished,
            )
        )

    async def _run_turn(
        self, program: PlannedProgram, turn: PlannedTurn, *, begun: bool
    ) -> bool:
        begun = begun or self._admits_all
        admission_class = AdmissionClass.IN_PROGRESS if begun else AdmissionClass.NEW
        for _ in range(TURN_SENDS):
            left = TIMEOUT_SECONDS
            for _ in range(CALL_ATTEMPTS):
                sent = trio.current_time()
                frontend = self._random.choice(self._frontends)
                try:
                    await frontend.serve(program, turn, admission_class=admission_class)
                except Refusal as refusal:
                    self._result.held_seconds.append(trio.current_time() - sent)
                    if not begun:
                        admission_class = AdmissionClass.RETRIED
                    left -= trio.current_time() - sent
                    wait = refusal.retry_after or 0.0
                    pause = max(0.0, min(wait, left * RETRY_SHARE))
                    left -= pause
                    await trio.sleep(pause)
                    if isinstance(refusal, Overloaded):
                        continue
                else:
                    return True
            await trio.sleep(self._random.uniform(*RESEND_SECONDS))
        return False


def play(pattern: LoadPattern, *, seed: int, admits_all: bool = False) -> PlayResult:
    """Plays a pattern in virtual time; the same seed gives the same result."""
    # Trio shuffles tasks that are ready together by this generator.
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    load_play = LoadPlay(pattern, seed=seed, admits_all=admits_all)
    return trio.run(load_play.run, clock=clock)
