"""Load of a fault run: programs of several kinds, each run by one caller."""

import random
from collections.abc import Awaitable, Callable
from typing import final

import trio

from bench.checker.records import AttemptOutcome, Evidence, ProgramKey
from bench.faultrun.balancer import Balancer
from bench.faultrun.caller import SETTLED_OUTCOMES, ProgramCaller
from bench.faultrun.exchange import AttemptResult
from bench.faultrun.plan import (
    FITTING,
    LOOK_UP,
    PLAIN,
    SMALL_TEAM,
    TEAMS,
    TIGHT,
    TIGHT_BUDGET,
    VOUCHER,
)
from goldcrestvane_common.settings import Budget
from goldcrestvane_standins.deployment import Deployment

CALLER_COUNT = 16
MAX_THINK_SECONDS = 0.3
DUPLICATED_SHARE = 0.2
STREAM_SHARE = 0.5
MAX_PROGRAM_CALLS = 8

Step = Callable[[ProgramCaller, random.Random], Awaitable[AttemptResult]]


async def _chat(caller: ProgramCaller, rng: random.Random) -> AttemptResult:
    return await caller.chat(stream=rng.random() < STREAM_SHARE)


async def _chat_with_turns(caller: ProgramCaller, rng: random.Random) -> AttemptResult:
    stream = rng.random() < STREAM_SHARE
    return await caller.chat(stream=stream, own_history=True)


async def _look_up(caller: ProgramCaller, rng: random.Random) -> AttemptResult:
    return await caller.use_tool(LOOK_UP, at_most_once=False)


async def _issue_voucher(caller: ProgramCaller, rng: random.Random) -> AttemptResult:
    duplicated = rng.random() < DUPLICATED_SHARE
    return await caller.use_tool(VOUCHER, at_most_once=True, duplicated=duplicated)


STEPS: dict[str, tuple[Step, ...]] = {
    FITTING: (_chat, _chat, _look_up, _issue_voucher, _issue_voucher),
    PLAIN: (_chat_with_turns, _look_up, _issue_voucher),
    TIGHT: (_chat, _issue_voucher),
}


@final
class Load:
    """Runs programs through concurrent callers until it is stopped.

    Two teams use the same program ids, so that the checker detects it when their
    programs are mixed up. A third team has a small budget.

    Attributes:
        is_stopping: Set to True by the user of the load to stop it.
    """

    def __init__(
        self, deployment: Deployment, evidence: Evidence, rng: random.Random
    ) -> None:
        self._balancer = Balancer(deployment)
        self._deployment = deployment
        self._evidence = evidence
        self._rng = rng
        self.is_stopping = False

    async def run(self) -> None:
        """Runs the callers until `is_stopping` is set and their programs have ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._balancer.run)
            await self._run_callers()
            nursery.cancel_scope.cancel()

    async def _run_callers(self) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(CALLER_COUNT):
                team = TEAMS[number % len(TEAMS)]
                if number == 0:
                    team = SMALL_TEAM
                seed = self._rng.getrandbits(32)
                nursery.start_soon(self._run_caller, team, number // 2, seed)

    async def _run_caller(self, team: str, number: int, seed: int) -> None:
        rng = random.Random(seed)
        count = 0
        while not self.is_stopping:
            count += 1
            kind = rng.choice((FITTING, FITTING, PLAIN, TIGHT))
            key = ProgramKey(team, f"p{number}-{count}")
            await self._run_program(key, kind, rng)

    async def _run_program(
        self, key: ProgramKey, kind: str, rng: random.Random
    ) -> None:
        caller = self._build_caller(key, rng)
        budget = TIGHT_BUDGET if kind == TIGHT else Budget()
        if not await caller.begin(kind, budget=budget, owner_history=kind != PLAIN):
            return
        await self._run_steps(caller, kind, rng)
        if kind == TIGHT and not self.is_stopping:
            await self._run_sub_agent(key, rng)
        await caller.end()

    async def _run_sub_agent(self, key: ProgramKey, rng: random.Random) -> None:
        sub_key = ProgramKey(key.team, f"{key.program}/sub")
        caller = self._build_caller(sub_key, rng)
        if await caller.begin(FITTING, owner_history=True):
            await self._run_steps(caller, FITTING, rng)
            await caller.end()

    def _build_caller(self, key: ProgramKey, rng: random.Random) -> ProgramCaller:
        entries = self._balancer.build_rotation(rng)
        return ProgramCaller(self._deployment, self._evidence, key, entries=entries)

    async def _run_steps(
        self, caller: ProgramCaller, kind: str, rng: random.Random
    ) -> None:
        for _ in range(rng.randint(2, MAX_PROGRAM_CALLS)):
            if self.is_stopping:
                return
            result = await rng.choice(STEPS[kind])(caller, rng)
            if result.outcome not in SETTLED_OUTCOMES:
                return
            await trio.sleep(rng.uniform(0.0, MAX_THINK_SECONDS))


def count_answers(evidence: Evidence) -> int:
    """Returns the number of answered attempts."""
    return sum(
        attempt.outcome is AttemptOutcome.ANSWERED for attempt in evidence.attempts
    )
