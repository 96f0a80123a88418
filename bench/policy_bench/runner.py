"""Runs the programs of a load against the fleet under one policy."""

import random
from collections.abc import Awaitable, Callable, Sequence
from functools import singledispatchmethod
from typing import final

import msgspec
import trio
from trio.testing import MockClock

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    DeadlineExceeded,
    OutcomeUnknown,
    Overloaded,
    Unavailable,
)
from goldcrestvane_common.ids import (
    CallId,
    Epoch,
    ProgramId,
    ServiceId,
    ShardId,
    TeamId,
    get_root_program,
)
from goldcrestvane_common.messages import (
    DispatchRequest,
    TokenUsage,
)
from goldcrestvane_common.settings import Priority, ServiceKind
from goldcrestvane_daemon.placement import Attempt, CallProfile
from policy_bench.deciders import Decider, Ending
from policy_bench.deployments import Deployment
from policy_bench.fleet import EVENT_LAG_SECONDS, MODEL, TOOL, Fault, Fleet
from policy_bench.load import ModelTurn, Pause, Program, Step, SubAgents, ToolUse
from policy_bench.measures import Figures, Measures
from policy_bench.targets import FakeTarget, TargetDied

TEAM = TeamId("team")
MAX_ATTEMPTS = 3
RESEND_JITTER = 0.5
"""A caller comes back after the stated time and up to this share of it more."""

MIN_RESEND_SECONDS = 0.05
MAX_JITTER_SECONDS = 0.0002


class ProgramFailed(Exception):
    """A call that must not be repeated has an unknown outcome."""


@final
class Session:
    """State of a running program or sub-agent.

    Attributes:
        name: Id of the program; names its prefix at the engines.
        root: Program at the root of the tree.
        owner: Number of the owner.
        deadline: Time on trio's clock at which the program is given up.
        history_tokens: Tokens of the history, all computed before.
    """

    def __init__(
        self, name: str, root: Program, owner: int, deadline: float, spent: list[int]
    ) -> None:
        self.name = ProgramId(name)
        self.root = root
        self.owner = owner
        self.deadline = deadline
        self.history_tokens = 0
        self.spent = spent

    def build_profile(self, service: ServiceId, prompt_tokens: int) -> CallProfile:
        """Returns the facts of a call."""
        return CallProfile(
            team=TEAM,
            program=self.name,
            service=service,
            prompt_tokens=prompt_tokens,
        )


Work = Callable[[FakeTarget], Awaitable[TokenUsage]]


@final
class Runner:
    """One run: a deployment, a policy, a fault and a seed."""

    def __init__(
        self,
        deployment: Deployment,
        decider: Decider,
        fleet: Fleet,
        *,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._decider = decider
        self._fleet = fleet
        self._random = random.Random(seed)
        self._begin = 0.0
        self.measures = Measures(
            warm_seconds=deployment.warm_seconds, run_seconds=deployment.run_seconds
        )

    async def run(self, programs: Sequence[Program]) -> None:
        """Runs all programs to their end."""
        self._begin = trio.current_time()
        deployment = self._deployment
        middle = (deployment.warm_seconds + deployment.run_seconds) / 2
        async with trio.open_nursery() as helpers:
            helpers.start_soon(self._fleet.run_fault, middle)
            helpers.start_soon(self._pass_events)
            async with trio.open_nursery() as nursery:
                for program in programs:
                    await trio.sleep_until(self._begin + program.arrival)
                    nursery.start_soon(self._run_program, program)
            helpers.cancel_scope.cancel()

    async def _pass_events(self) -> None:
        """Brings cache events to the owners, late and with gaps."""
        while True:
            events = self._fleet.take_events(self._random)
            await trio.sleep(EVENT_LAG_SECONDS)
            for event in events:
                owner = self._fleet.find_owner(get_root_program(event.program))
                profile = CallProfile(team=TEAM, program=event.program, service=MODEL)
                self._decider.record_eviction(
                    owner, profile, event.target, event.tokens_left
                )

    async def _run_program(self, program: Program) -> None:
        deadline = trio.current_time() + program.kind.deadline_seconds
        owner = self._fleet.find_owner(program.name)
        session = Session(program.name, program, owner, deadline, [0])
        finished = False
        try:
            await self._run_steps(session, program.steps)
            finished = trio.current_time() <= deadline
        except* ProgramFailed:
            pass
        self._record_program(session, program, finished=finished)

    def _record_program(
        self, session: Session, program: Program, *, finished: bool
    ) -> None:
        now = trio.current_time() - self._begin
        seconds = now - program.arrival if finished else program.kind.deadline_seconds
        for recorder in self.measures.get(program.kind.priority):
            if self.measures.covers(program.arrival):
                recorder.record_program(seconds, in_time=finished)
            if finished and self.measures.covers(now):
                recorder.useful_tokens += session.spent[0]

    async def _run_steps(self, session: Session, steps: Sequence[Step]) -> None:
        try:
            for step in steps:
                await self._run_step(step, session)
        finally:
            self._release(session)

    def _release(self, session: Session) -> None:
        profile = session.build_profile(MODEL, 0)
        for instance in self._decider.end_program(session.owner, profile):
            target = self._fleet.targets[instance]
            target.cache.release(session.name)
            target.gate.release_program(TEAM, session.name)

    @singledispatchmethod
    async def _run_step(self, step: Step, session: Session) -> None:
        raise TypeError(f"got step {step!r}, expected one of load.Step")

    @_run_step.register
    async def _(self, step: Pause, session: Session) -> None:
        await self._pause(session, step.seconds)

    async def _pause(self, session: Session, seconds: float) -> None:
        """Waits, and gives the program up at its deadline."""
        end = trio.current_time() + seconds
        await trio.sleep_until(min(end, session.deadline))
        if end >= session.deadline:
            raise ProgramFailed

    @_run_step.register
    async def _(self, step: SubAgents, session: Session) -> None:
        async with trio.open_nursery() as nursery:
            for number, steps in enumerate(step.agents):
                child = Session(
                    f"{session.name}/a{number}",
                    session.root,
                    session.owner,
                    session.deadline + self._draw_jitter(),
                    session.spent,
                )
                nursery.start_soon(self._run_steps, child, steps)

    @_run_step.register
    async def _(self, step: ToolUse, session: Session) -> None:
        async def work(target: FakeTarget) -> TokenUsage:
            await target.work(step.seconds)
            return TokenUsage()

        profile = session.build_profile(TOOL, 0)
        timeout = self._deployment.tool_timeout
        await self._call(
            session, profile, work, timeout=timeout, idempotent=step.idempotent
        )

    @_run_step.register
    async def _(self, step: ModelTurn, session: Session) -> None:
        prompt = session.history_tokens + step.new_tokens

        async def work(target: FakeTarget) -> TokenUsage:
            return await target.generate(
                session.name, prompt_tokens=prompt, answer_tokens=step.answer_tokens
            )

        profile = session.build_profile(MODEL, prompt)
        timeout = self._deployment.model_timeout
        usage = await self._call(
            session, profile, work, timeout=timeout, idempotent=True
        )
        self._record_turn(session, usage)
        session.history_tokens = prompt + step.answer_tokens
        session.spent[0] += step.new_tokens + step.answer_tokens

    def _record_turn(self, session: Session, usage: TokenUsage) -> None:
        if not self.measures.covers(trio.current_time() - self._begin):
            return
        wasted = max(0, session.history_tokens - usage.cached_tokens)
        now = trio.current_time() - self._begin
        for recorder in self.measures.get(session.root.kind.priority):
            recorder.record_prompt(
                prompt_tokens=usage.prompt_tokens, wasted_tokens=wasted, time=now
            )

    async def _call(
        self,
        session: Session,
        profile: CallProfile,
        work: Work,
        *,
        timeout: float,
        idempotent: bool,
    ) -> TokenUsage:
        """Sends a call as a caller does: again after the time a refusal states."""
        for recorder in self.measures.get(session.root.kind.priority):
            recorder.calls += 1
        while True:
            timeout_end = trio.current_time() + timeout + self._draw_jitter()
            deadline = min(timeout_end, session.deadline)
            try:
                return await self._dispatch(
                    session, profile, work, deadline, idempotent
                )
            except (Overloaded, Unavailable, DeadlineExceeded, AnswerIncomplete) as e:
                wait = max(e.retry_after or 0.0, MIN_RESEND_SECONDS)
                jitter = 1 + RESEND_JITTER * self._random.random()
                await self._pause(session, wait * jitter)
            except OutcomeUnknown:
                raise ProgramFailed from None

    def _draw_jitter(self) -> float:
        """Returns a short time that keeps two timers from ending together.

        Trio wakes tasks whose deadlines are equal in no stated order.
        """
        return MAX_JITTER_SECONDS * self._random.random()

    async def _dispatch(
        self,
        session: Session,
        profile: CallProfile,
        work: Work,
        deadline: float,
        idempotent: bool,
    ) -> TokenUsage:
        """Tries targets as an owner does."""
        self._decider.count_call(session.owner, profile)
        tried = profile
        for attempts_left in reversed(range(MAX_ATTEMPTS)):
            attempt = self._decider.start(
                session.owner, self._fleet.candidates[profile.service], tried
            )
            try:
                return await self._attempt(session, attempt, work, deadline, idempotent)
            except (Overloaded, Unavailable):
                last = attempts_left == 0
                if last or not self._decider.may_retry(session.owner, profile):
                    raise
            tried = msgspec.structs.replace(
                tried, excluded=tried.excluded | {attempt.instance}
            )
        raise AssertionError("the last attempt returns or raises")

    async def _attempt(
        self,
        session: Session,
        attempt: Attempt,
        work: Work,
        deadline: float,
        idempotent: bool,
    ) -> TokenUsage:
        """Sends a call to one target; a refusal means that it was not run."""
        for recorder in self.measures.get(session.root.kind.priority):
            recorder.attempts += 1
        owner = session.owner
        ending: Ending | None = None
        failed: TargetDied | AnswerIncomplete | OutcomeUnknown | None = None
        try:
            ending = await self._exchange(session, attempt, work, deadline, idempotent)
            return ending.usage
        except TargetDied as error:
            failed = error
            if error.reached and not idempotent:
                raise OutcomeUnknown("target died") from None
            raise Unavailable("target died", retry_after=MIN_RESEND_SECONDS) from None
        except (AnswerIncomplete, OutcomeUnknown) as error:
            failed = error
            raise
        finally:
            if failed is None:
                self._decider.finish(owner, attempt, ending)
            else:
                unreachable = isinstance(failed, TargetDied)
                self._decider.fail(owner, attempt, unreachable=unreachable)

    async def _exchange(
        self,
        session: Session,
        attempt: Attempt,
        work: Work,
        deadline: float,
        idempotent: bool,
    ) -> Ending:
        """Passes the link, the gate and the target, and the link back."""
        target = self._fleet.targets[attempt.instance]
        await self._cross_link(session, target)
        if target.dead:
            raise TargetDied(reached=False)
        request = self._build_request(session, attempt, deadline, idempotent)
        async with target.gate.admit(request) as permit:
            usage = await work(target)
            if self._decider.ordered:
                target.gate.record_cached_tokens(request, usage.total)
            load = self._fleet.get_report(target)
        await self._cross_link(session, target)
        return Ending(usage=usage, waited_seconds=permit.waited_seconds, load=load)

    async def _cross_link(self, session: Session, target: FakeTarget) -> None:
        delay = self._fleet.get_delay(session.owner, target)
        await trio.sleep(delay + self._draw_jitter())

    def _build_request(
        self, session: Session, attempt: Attempt, deadline: float, idempotent: bool
    ) -> DispatchRequest:
        ordered = self._decider.ordered
        priority = session.root.kind.priority if ordered else Priority.INTERACTIVE
        service = attempt.profile.service
        return DispatchRequest(
            call=CallId(session.name),
            incarnation="",
            shard=ShardId(session.owner),
            epoch=Epoch(1),
            team=TEAM,
            program=session.name,
            service=service,
            kind=ServiceKind.MODEL if service == MODEL else ServiceKind.TOOL,
            deadline_seconds=deadline - trio.current_time(),
            priority=priority,
            attained_tokens=session.spent[0] if ordered else 0,
            idempotent=idempotent,
        )


def run_load(
    deployment: Deployment,
    decider_factory: Callable[[Fleet], Decider],
    programs: Sequence[Program],
    *,
    fault: Fault = Fault.NONE,
    seed: int = 1,
) -> dict[Priority | None, Figures]:
    """Runs a load once; the same arguments give the same figures."""
    fleet = Fleet(deployment, fault)
    decider = decider_factory(fleet)
    if decider.ordered:
        fleet.announce_caches()
    runner = Runner(deployment, decider, fleet, seed=seed)
    trio._core._run._r.seed(seed)
    trio.run(runner.run, programs, clock=MockClock(autojump_threshold=0))
    return runner.measures.build_figures()
