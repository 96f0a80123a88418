import random
import signal
import time

import trio
from bench.checker.records import AttemptOutcome, PlannedStop, Property
from bench.faultrun.load import Load
from bench.faultrun.plan import MODEL, build_plan
from support import CALL_TIMEOUT_SECONDS, DeploymentTestCase

SLOW_OPTIONS = ("--token-seconds=0.15",)


class PlannedStopTestCase(DeploymentTestCase):
    async def stop_process(self, name):
        """Stops a process with SIGTERM and records the time of the stop."""
        process = self.deployment.processes[name]
        started = time.time()
        process.send_signal(signal.SIGTERM)
        await process.wait_for_exit()
        self.evidence.stops.append(
            PlannedStop(process=name, started=started, ended=time.time())
        )


class LongStreamTests(PlannedStopTestCase):
    """Planned stops while streams run that outlast each step of the stop."""

    plan = build_plan(
        call_timeout_seconds=CALL_TIMEOUT_SECONDS, model_options=SLOW_OPTIONS
    )

    def run_stop(self, choose_process):
        async def scenario():
            callers = [await self.begin() for _ in range(6)]
            endings = []

            async def read_stream(caller):
                endings.append(await caller.chat(stream=True))

            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(read_stream, caller)
                busy_sidecar = await self.find_busy_sidecar(MODEL)
                owner = await self.read_owner(callers[0])
                await self.stop_process(choose_process(busy_sidecar, owner))
            outcomes = [ending.outcome for ending in endings]
            self.assertEqual(outcomes, [AttemptOutcome.ANSWERED] * len(callers))
            attempts = self.evidence.attempts
            self.assertEqual(len(attempts), len(callers), attempts)
            await self.restore_deployment()
            await self.assert_no_violation(
                Property.PLANNED_STOP, Property.WHOLE_ANSWERS, Property.NOT_RUN
            )

        self.run_scenario(scenario)

    def test_streams_complete_when_engine_sidecar_stops(self):
        self.run_stop(lambda busy_sidecar, owner: busy_sidecar)

    def test_streams_complete_when_owner_stops(self):
        self.run_stop(lambda busy_sidecar, owner: owner)

    def test_streams_complete_when_entry_stops(self):
        self.run_stop(lambda busy_sidecar, owner: "entry-0")


class RollingRestartTests(PlannedStopTestCase):
    def list_restart_rounds(self):
        """Returns groups of processes; the processes of a group restart together."""
        engines = self.list_names("sidecar-llm-")
        tools = self.list_names("sidecar-app-")
        entries = [(name,) for name in self.list_names("entry-")]
        return [*zip(engines, tools, strict=True), *entries]

    async def restart(self, name):
        await self.stop_process(name)
        await self.deployment.restart(name)

    def test_rolling_restart_under_load_loses_no_calls(self):
        async def scenario():
            load = Load(self.deployment, self.evidence, random.Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(1.0)
                for names in self.list_restart_rounds():
                    async with trio.open_nursery() as restarts:
                        for name in names:
                            restarts.start_soon(self.restart, name)
                load.is_stopping = True
            await self.assert_no_violation(
                Property.PLANNED_STOP,
                Property.AT_MOST_ONCE,
                Property.NOT_RUN,
                Property.ORDER,
                Property.HISTORY,
                Property.WHOLE_ANSWERS,
            )

        self.run_scenario(scenario)
