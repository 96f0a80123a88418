"""A frontend of a replay: its real queue, and its connection to the engines."""

from typing import final

import trio

from goldcrestvane_common.ids import CallId, DomainId, InstanceId, ProgramId, ServiceId
from goldcrestvane_daemon.frontend.admission import AdmissionClass
from goldcrestvane_daemon.frontend.affinity import Affinity, build_affinity
from goldcrestvane_daemon.frontend.queue import ServiceQueue
from goldcrestvane_daemon.frontend.rate_limits import TargetRateLimits
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.placement.inputs import PlacementOptions
from goldcrestvane_daemon.placement.prompt_reading import Prompt, PromptRequest
from goldcrestvane_daemon.targets import Target, TargetState, TargetTable
from load_replay.engine import Engine
from load_replay.programs import PlannedProgram, PlannedTurn, Restart

SERVICE = ServiceId("engine")
HOP_SECONDS = 0.003
TIMEOUT_SECONDS = 3.0


class ConnectionRefused(Exception):
    """No process listens at a frontend's address."""


class FrontendKilled(Exception):
    """A frontend was killed while it ran a call."""


@final
class ReplayFrontend:
    """A frontend's queue and its connection to the engines."""

    def __init__(
        self,
        engines: dict[InstanceId, Engine],
        slots: int,
        *,
        ignores_accounts: bool,
        ignores_prompts: bool,
        ignores_chains: bool,
        ignores_targets: bool,
        last_targets: dict[str, InstanceId],
    ) -> None:
        self._last_targets = last_targets
        self._ignores_targets = ignores_targets
        self._ignores_chains = ignores_chains
        self._ignores_accounts = ignores_accounts
        self._ignores_prompts = ignores_prompts
        self._engines = engines
        self._slots = slots
        self._running: dict[trio.CancelScope, None] = {}
        self._ready = trio.Event()
        self._is_listening = False
        self.table = TargetTable()
        self._start()

    def _start(self) -> None:
        """Starts a process that knows the targets, but nothing of their load."""
        engines = self._engines
        removed = {
            instance
            for instance in engines
            if self.table.list_all() and self.table.get(instance) is None
        }
        self.table = TargetTable()
        for instance in engines:
            self.add_target(instance)
        for instance in removed:
            self.table.remove(instance)
        self._health = HealthTracker(PlacementOptions())
        self.queue = ServiceQueue(
            SERVICE,
            table=self.table,
            health=self._health,
            rate_limits=TargetRateLimits(),
            domain=DomainId("d0"),
        )
        self._is_listening = True
        self._ready.set()

    def add_target(self, instance: InstanceId) -> None:
        """Adds an engine to the targets that the process knows."""
        number = list(self._engines).index(instance)
        self.table.put(
            Target(
                instance=instance,
                service=SERVICE,
                host="10.0.0.1",
                port=80 + number,
                domain=DomainId(f"d{number % 3}"),
                slots=self._slots,
                state=TargetState.READY,
            )
        )

    async def restart(self, restart: Restart) -> None:
        """Kills the process and starts it again."""
        self._is_listening = False
        self._ready = trio.Event()
        for scope in list(self._running):
            scope.cancel()
        await trio.sleep(restart.down_seconds)
        self._is_listening = restart.listens_early
        await trio.sleep(restart.start_seconds)
        self._start()

    async def serve(
        self,
        program: PlannedProgram,
        turn: PlannedTurn,
        *,
        admission_class: AdmissionClass,
    ) -> float:
        """Runs a turn on an engine and returns the time of its first event.

        Raises:
            ConnectionRefused: The process is down; the turn has not run.
            FrontendKilled: The process was killed; the turn may have run.
            Refusal: The queue refused the call; the turn has not run.
        """
        if not self._is_listening:
            raise ConnectionRefused
        await self._ready.wait()
        with trio.CancelScope() as scope:
            self._running[scope] = None
            try:
                first_at = await self._run_turn(
                    program, turn, admission_class=admission_class
                )
            finally:
                del self._running[scope]
        if scope.cancelled_caught:
            raise FrontendKilled
        return first_at

    def _choose_affinity(self, program: PlannedProgram) -> Affinity:
        root = None if self._ignores_chains else program.root
        target = None
        if not self._ignores_targets:
            target = self._last_targets.get(program.name)
            if target is None and root is not None:
                target = self._last_targets.get(root)
        return build_affinity(
            chain_root=CallId(root or program.name),
            chain_target=target,
            program=ProgramId(program.name),
            resource=None,
        )

    async def _run_turn(
        self,
        program: PlannedProgram,
        turn: PlannedTurn,
        *,
        admission_class: AdmissionClass,
    ) -> float:
        queue = self.queue
        prompt = None
        if not self._ignores_prompts:
            prompt = PromptRequest(Prompt(turn.prompt.parts, turn.prompt.tokens))
        account = None if self._ignores_accounts else program.account
        left = program.begin + program.seconds - trio.current_time()
        target = await queue.acquire(
            affinity=self._choose_affinity(program),
            priority=program.kind.priority,
            arrived=trio.current_time(),
            seconds_left=TIMEOUT_SECONDS,
            admission_class=_get_admission_class(admission_class, left),
            program_seconds_left=left,
            account=account,
            prompt=prompt,
        )
        started_at = trio.current_time()
        self._last_targets[program.name] = target.instance
        engine = self._engines[target.instance]
        try:
            await trio.sleep(HOP_SECONDS)
            first_at = 0.0
            async for _ in engine.generate(
                turn.prompt, events=turn.events, priority=program.kind.priority
            ):
                if not first_at:
                    first_at = trio.current_time()
                    queue.update_load(target, engine.report())
                    queue.prompt_reading.record_first_event(prompt, now=first_at)
            if turn.events > 1:
                event_seconds = (trio.current_time() - first_at) / (turn.events - 1)
                slowdown = self.table.get_load(target).slowdown.mean
                slowness = queue.compute_slowness(
                    event_seconds, slowdown=slowdown or 1.0
                )
                self._health.record_success(target.instance, slowness=slowness)
            await trio.sleep(HOP_SECONDS)
        finally:
            queue.release(
                target,
                run_seconds=trio.current_time() - started_at,
                account=account,
                prompt=prompt,
            )
        return first_at


def _get_admission_class(
    admission_class: AdmissionClass, seconds_left: float
) -> AdmissionClass:
    if admission_class is AdmissionClass.IN_PROGRESS and seconds_left <= 0:
        return AdmissionClass.OVERDUE
    return admission_class
