"""Replays a load pattern with the frontend's real queues and simulated engines."""

import random
from collections.abc import Sequence
from typing import final

import msgspec
import trio
import trio.testing

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_daemon.frontend.admission import AdmissionClass
from goldcrestvane_daemon.frontend.refusals import Overloaded, Refusal
from load_replay.engine import Engine
from load_replay.frontend import (
    TIMEOUT_SECONDS,
    ConnectionRefused,
    FrontendKilled,
    ReplayFrontend,
)
from load_replay.programs import (
    EngineChange,
    LoadPattern,
    PlannedProgram,
    PlannedTurn,
    Restart,
    plan_programs,
)
from load_replay.results import ProgramResult, ReplayResult

MAX_TURN_SENDS = 3
MAX_CALL_ATTEMPTS = 2
RESEND_SECONDS = (0.1, 0.4)
RETRY_SHARE = 1 / 3
GIVE_UP_SECONDS = 20.0
START_INTERVAL_SECONDS = 0.001


@final
class PatternReplay:
    """A replay of one pattern."""

    def __init__(
        self,
        pattern: LoadPattern,
        *,
        seed: int,
        admits_all: bool = False,
        ignores_accounts: bool = False,
        ignores_prompts: bool = False,
        ignores_chains: bool = False,
        ignores_targets: bool = False,
    ) -> None:
        """Creates engines and frontends for a replay.

        Args:
            pattern: The pattern to replay.
            seed: Seed for programs, choices of frontends and pauses.
            admits_all: Whether every program counts as in progress, so that calls
                are admitted in order of arrival; used for comparison.
            ignores_accounts: Whether the queues do not know the accounts of programs;
                used for comparison.
            ignores_prompts: Whether the queues do not know the prompts of calls; used
                for comparison.
            ignores_chains: Whether calls are placed by their programs instead of the
                chains that these continue; used for comparison.
            ignores_targets: Whether the queues do not know which engine ran the turn
                before; used for comparison.
        """
        self._pattern = pattern
        self._admits_all = admits_all
        self._rng = random.Random(seed)
        self._engines = {
            InstanceId(f"engine-{number}"): Engine(pattern.engine_spec)
            for number in range(pattern.engines)
        }
        last_targets: dict[str, InstanceId] = {}
        ignores_targets = ignores_targets or not pattern.stores_turns
        self._frontends = [
            ReplayFrontend(
                self._engines,
                pattern.engine_spec.slots,
                ignores_accounts=ignores_accounts,
                ignores_prompts=ignores_prompts,
                ignores_chains=ignores_chains,
                ignores_targets=ignores_targets,
                last_targets=last_targets,
            )
            for _ in range(pattern.frontends)
        ]
        for change in pattern.changes:
            if change.joins:
                for frontend in self._frontends:
                    frontend.table.remove(list(self._engines)[change.engine])
        self._result = ReplayResult([], [])

    async def run(self) -> ReplayResult:
        """Replays the pattern and returns the outcome of its programs."""
        programs = list(plan_programs(self._pattern, self._rng))
        async with trio.open_nursery() as nursery:
            for engine in self._engines.values():
                nursery.start_soon(engine.run)
            for change in self._pattern.changes:
                nursery.start_soon(self._change, change)
            if self._pattern.restart is not None:
                nursery.start_soon(self._restart, self._pattern.restart)
            async with trio.open_nursery() as callers:
                for program in programs:
                    callers.start_soon(self._run_program, program)
            nursery.cancel_scope.cancel()
        return self._result

    async def _change(self, change: EngineChange) -> None:
        await trio.sleep_until(change.at)
        instance = list(self._engines)[change.engine]
        self._engines[instance].slow_factor = change.slow_factor
        if change.leaves:
            for frontend in self._frontends:
                frontend.table.remove(instance)
        if change.joins:
            for frontend in self._frontends:
                frontend.add_target(instance)

    async def _restart(self, restart: Restart) -> None:
        await trio.sleep_until(restart.at)
        async with trio.open_nursery() as nursery:
            for number, frontend in enumerate(self._frontends):
                # Timers that end at the same time would run in no fixed order.
                later = restart.down_seconds + number * START_INTERVAL_SECONDS
                delayed = msgspec.structs.replace(restart, down_seconds=later)
                nursery.start_soon(frontend.restart, delayed)

    async def _run_program(self, program: PlannedProgram) -> None:
        await trio.sleep_until(program.begin)
        completed = True
        begun = False
        first_event_seconds: list[float] = []
        give_up_at = program.begin + 2 * program.seconds + GIVE_UP_SECONDS
        with trio.move_on_at(give_up_at):
            for turn in program.turns:
                called_at = trio.current_time()
                first_at = await self._run_turn(program, turn, begun=begun)
                if first_at is None:
                    completed = False
                    break
                first_event_seconds.append(first_at - called_at)
                begun = True
                await trio.sleep(turn.pause_seconds)
        if not program.runaway:
            completed = completed and trio.current_time() < give_up_at
            self._record_result(program, completed, first_event_seconds)

    def _record_result(
        self,
        program: PlannedProgram,
        completed: bool,
        first_event_seconds: Sequence[float],
    ) -> None:
        seconds = trio.current_time() - program.begin
        benefit = 0.0
        if completed and seconds <= program.seconds:
            benefit = program.kind.benefit
        elif completed and seconds <= 2 * program.seconds:
            benefit = program.kind.late_benefit
        self._result.programs.append(
            ProgramResult(
                kind=program.kind.name,
                begin=program.begin,
                seconds=seconds,
                max_benefit=program.kind.benefit,
                benefit=benefit,
                completed=completed,
                account=program.account,
                prompt_tokens=program.turns[0].prompt.tokens,
                first_event_seconds=tuple(first_event_seconds),
            )
        )

    async def _run_turn(
        self, program: PlannedProgram, turn: PlannedTurn, *, begun: bool
    ) -> float | None:
        """Returns the time of the first event; None if the turn was given up."""
        begun = begun or self._admits_all
        admission_class = AdmissionClass.IN_PROGRESS if begun else AdmissionClass.NEW
        for _ in range(MAX_TURN_SENDS):
            left = TIMEOUT_SECONDS
            for _ in range(MAX_CALL_ATTEMPTS):
                sent_at = trio.current_time()
                frontend = self._rng.choice(self._frontends)
                try:
                    return await frontend.serve(
                        program, turn, admission_class=admission_class
                    )
                except ConnectionRefused:
                    # The call was not read, so the caller sends it once more.
                    continue
                except FrontendKilled:
                    break
                except Refusal as refusal:
                    self._result.refused_wait_seconds.append(
                        trio.current_time() - sent_at
                    )
                    if not begun:
                        admission_class = AdmissionClass.RETRIED
                    left -= trio.current_time() - sent_at
                    wait = refusal.retry_after or 0.0
                    pause = max(0.0, min(wait, left * RETRY_SHARE))
                    left -= pause
                    await trio.sleep(pause)
                    if isinstance(refusal, Overloaded):
                        continue
            await trio.sleep(self._rng.uniform(*RESEND_SECONDS))
        return None


@final
class _CreationOrder:
    """Numbers objects in the order in which they are first seen."""

    def __init__(self) -> None:
        self._seen: dict[int, tuple[object, int]] = {}

    def __call__(self, value: object) -> int:
        # The reference keeps the address from being used again.
        return self._seen.setdefault(id(value), (value, len(self._seen)))[1]


def replay(
    pattern: LoadPattern,
    *,
    seed: int,
    admits_all: bool = False,
    ignores_accounts: bool = False,
    ignores_prompts: bool = False,
    ignores_chains: bool = False,
    ignores_targets: bool = False,
) -> ReplayResult:
    """Replays a pattern in virtual time; the same seed gives the same result."""
    # Trio orders equal deadlines by the addresses of their scopes, which differ with
    # every change of the code.
    trio._core._run.id = _CreationOrder()
    # Trio uses this generator to shuffle tasks that are runnable at once.
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    pattern_replay = PatternReplay(
        pattern,
        seed=seed,
        admits_all=admits_all,
        ignores_accounts=ignores_accounts,
        ignores_prompts=ignores_prompts,
        ignores_chains=ignores_chains,
        ignores_targets=ignores_targets,
    )
    return trio.run(pattern_replay.run, clock=clock)
