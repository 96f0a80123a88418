"""Runs the programs of a load against a fleet with one policy."""

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
from policy_bench.deployments import Deployment
from policy_bench.fleet import EVENT_LAG_SECONDS, MODEL, TOOL, Fault, Fleet
from policy_bench.load import ModelTurn, Pause, Program, Step, SubAgents, ToolUse
from policy_bench.measures import ClassMetrics, RunRecorder
from policy_bench.policies import CompletedCall, Policy
from policy_bench.targets import FakeTarget, TargetDied

TEAM = TeamId("team")
MAX_ATTEMPTS = 3
RESEND_JITTER = 0.5
"""Maximum jitter of a resend, as a share of the time that the refusal states."""

MIN_RESEND_SECONDS = 0.05
MAX_JITTER_SECONDS = 0.0002


class ProgramFailed(Exception):
    """The program was abandoned.

    Its deadline passed, or a call that must not be repeated has an unknown outcome.
    """


@final
class Session:
    """State of a running program or sub-agent.

    Attributes:
        name: Id of the program, which identifies its prefix at the engines.
        root: Program at the root of the program tree.
        owner: Number of the owner.
        deadline: Time on Trio's clock at which the program is abandoned.
        history_tokens: Tokens of the history, all of which were computed before.
        attained_tokens: Tokens of the whole program tree. The list holds one
            number, and all sessions of the tree share it.
    """

    def __init__(
        self,
        name: str,
        root: Program,
        owner: int,
        deadline: float,
        attained_tokens: list[int],
    ) -> None:
        self.name = ProgramId(name)
        self.root = root
        self.owner = owner
        self.deadline = deadline
        self.history_tokens = 0
        self.attained_tokens = attained_tokens

    def build_profile(self, service: ServiceId, prompt_tokens: int) -> CallProfile:
        """Returns the profile of a call."""
        return CallProfile(
            team=TEAM,
            program=self.name,
            service=service,
            prompt_tokens=prompt_tokens,
        )


Work = Callable[[FakeTarget], Awaitable[TokenUsage]]


@final
class Runner:
    """Runs a load on one deployment with one policy, fault and seed."""

    def __init__(
        self,
        deployment: Deployment,
        policy: Policy,
        fleet: Fleet,
        *,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._policy = policy
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._begin = 0.0
        self.run_recorder = RunRecorder(
            warm_up_seconds=deployment.warm_up_seconds,
            run_seconds=deployment.run_seconds,
        )

    async def run(self, programs: Sequence[Program]) -> None:
        """Runs all programs until they end."""
        self._begin = trio.current_time()
        deployment = self._deployment
        middle = (deployment.warm_up_seconds + deployment.run_seconds) / 2
        async with trio.open_nursery() as background:
            background.start_soon(self._fleet.inject_fault, middle)
            background.start_soon(self._deliver_cache_events)
            async with trio.open_nursery() as nursery:
                for program in programs:
                    await trio.sleep_until(self._begin + program.arrival)
                    nursery.start_soon(self._run_program, program)
            background.cancel_scope.cancel()

    async def _deliver_cache_events(self) -> None:
        """Delivers cache events to the owners after a delay; some events are lost."""
        while True:
            events = self._fleet.take_cache_events(self._rng)
            await trio.sleep(EVENT_LAG_SECONDS)
            for event in events:
                owner = self._fleet.find_owner(get_root_program(event.program))
                profile = CallProfile(team=TEAM, program=event.program, service=MODEL)
                self._policy.record_eviction(
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
        for recorder in self.run_recorder.get_recorders(program.kind.priority):
            if self.run_recorder.is_measured(program.arrival):
                recorder.record_program(seconds, in_time=finished)
            if finished and self.run_recorder.is_measured(now):
                recorder.useful_tokens += session.attained_tokens[0]

    async def _run_steps(self, session: Session, steps: Sequence[Step]) -> None:
        try:
            for step in steps:
                await self._run_step(step, session)
        finally:
            self._release(session)

    def _release(self, session: Session) -> None:
        profile = session.build_profile(MODEL, 0)
        for instance in self._policy.end_program(session.owner, profile):
            target = self._fleet.targets[instance]
            target.cache.release(session.name)
            target.gate.release_program(TEAM, session.name)

    @singledispatchmethod
    async def _run_step(self, step: Step, session: Session) -> None:
        raise TypeError(f"got step {step!r}, expected one of load.Step")

    @_run_step.register
    async def _(self, step: Pause, session: Session) -> None:
        await self._sleep(session, step.seconds)

    async def _sleep(self, session: Session, seconds: float) -> None:
        """Sleeps, but abandons the program at its deadline."""
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
                    session.attained_tokens,
                )
                nursery.start_soon(self._run_steps, child, steps)

    @_run_step.register
    async def _(self, step: ToolUse, session: Session) -> None:
        async def work(target: FakeTarget) -> TokenUsage:
            await target.work(step.seconds)
            return TokenUsage()

        profile = session.build_profile(TOOL, 0)
        timeout = self._deployment.tool_timeout_seconds
        await self._call_until_answered(
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
        timeout = self._deployment.model_timeout_seconds
        usage = await self._call_until_answered(
            session, profile, work, timeout=timeout, idempotent=True
        )
        self._record_turn(session, usage)
        session.history_tokens = prompt + step.answer_tokens
        session.attained_tokens[0] += step.new_tokens + step.answer_tokens

    def _record_turn(self, session: Session, usage: TokenUsage) -> None:
        if not self.run_recorder.is_measured(trio.current_time() - self._begin):
            return
        wasted = max(0, session.history_tokens - usage.cached_tokens)
        now = trio.current_time() - self._begin
        for recorder in self.run_recorder.get_recorders(session.root.kind.priority):
            recorder.record_prompt(
                prompt_tokens=usage.prompt_tokens, wasted_tokens=wasted, time=now
            )

    async def _call_until_answered(
        self,
        session: Session,
        profile: CallProfile,
        work: Work,
        *,
        timeout: float,
        idempotent: bool,
    ) -> TokenUsage:
        """Sends a call and resends it after the time that a refusal states."""
        for recorder in self.run_recorder.get_recorders(session.root.kind.priority):
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
                jitter = 1 + RESEND_JITTER * self._rng.random()
                await self._sleep(session, wait * jitter)
            except OutcomeUnknown:
                raise ProgramFailed from None

    def _draw_jitter(self) -> float:
        """Returns a short random time that keeps two timers from expiring together.

        Trio does not define the order in which it wakes tasks with equal deadlines.
        """
        return MAX_JITTER_SECONDS * self._rng.random()

    async def _dispatch(
        self,
        session: Session,
        profile: CallProfile,
        work: Work,
        deadline: float,
        idempotent: bool,
    ) -> TokenUsage:
        """Attempts a call at several targets, as an owner does."""
        self._policy.count_call(session.owner, profile)
        next_profile = profile
        for attempts_left in reversed(range(MAX_ATTEMPTS)):
            attempt = self._policy.start(
                session.owner, self._fleet.candidates[profile.service], next_profile
            )
            try:
                return await self._attempt(session, attempt, work, deadline, idempotent)
            except (Overloaded, Unavailable):
                last = attempts_left == 0
                if last or not self._policy.may_retry(session.owner, profile):
                    raise
            next_profile = msgspec.structs.replace(
                next_profile, excluded=next_profile.excluded | {attempt.instance}
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
        """Sends a call to one target; a refused call was not run."""
        for recorder in self.run_recorder.get_recorders(session.root.kind.priority):
            recorder.attempts += 1
        owner = session.owner
        completed: CompletedCall | None = None
        failed: TargetDied | AnswerIncomplete | OutcomeUnknown | None = None
        try:
            completed = await self._exchange(
                session, attempt, work, deadline, idempotent
            )
            return completed.usage
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
                self._policy.finish(owner, attempt, completed)
            else:
                unreachable = isinstance(failed, TargetDied)
                self._policy.fail(owner, attempt, unreachable=unreachable)

    async def _exchange(
        self,
        session: Session,
        attempt: Attempt,
        work: Work,
        deadline: float,
        idempotent: bool,
    ) -> CompletedCall:
        """Sends a call over the link and through the gate, and returns its outcome."""
        target = self._fleet.targets[attempt.instance]
        await self._cross_link(session, target)
        if target.dead:
            raise TargetDied(reached=False)
        request = self._build_request(session, attempt, deadline, idempotent)
        async with target.gate.admit(request) as permit:
            usage = await work(target)
            if self._policy.ordered:
                target.gate.record_cached_tokens(request, usage.total)
            load = self._fleet.get_report(target)
        await self._cross_link(session, target)
        return CompletedCall(
            usage=usage, waited_seconds=permit.waited_seconds, load=load
        )

    async def _cross_link(self, session: Session, target: FakeTarget) -> None:
        delay = self._fleet.get_delay(session.owner, target)
        await trio.sleep(delay + self._draw_jitter())

    def _build_request(
        self, session: Session, attempt: Attempt, deadline: float, idempotent: bool
    ) -> DispatchRequest:
        ordered = self._policy.ordered
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
            attained_tokens=session.attained_tokens[0] if ordered else 0,
            idempotent=idempotent,
        )


def run_load(
    deployment: Deployment,
    policy_factory: Callable[[Fleet], Policy],
    programs: Sequence[Program],
    *,
    fault: Fault = Fault.NONE,
    seed: int = 1,
) -> dict[Priority | None, ClassMetrics]:
    """Runs a load once; the same arguments always give the same metrics."""
    fleet = Fleet(deployment, fault)
    policy = policy_factory(fleet)
    if policy.ordered:
        fleet.configure_gate_caches()
    runner = Runner(deployment, policy, fleet, seed=seed)
    trio._core._run._r.seed(seed)
    trio.run(runner.run, programs, clock=MockClock(autojump_threshold=0))
    return runner.run_recorder.build_metrics()
