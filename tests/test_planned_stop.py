import random
import signal
import time

import trio
from bench.checker.records import AttemptOutcome, PlannedStop, Property
from bench.faultrun.load import Load
from bench.faultrun.plan import MODEL, build_plan
from support import CALL_SECONDS, DeploymentCase

SLOW_OPTIONS = ("--token-seconds=0.15",)


class StopCase(DeploymentCase):
    async def stop(self, name):
        """Stops a process as planned, and logs when."""
        process = self.deployment.processes[name]
        started = time.time()
        process.send_signal(signal.SIGTERM)
        await process.wait_end()
        self.evidence.stops.append(
            PlannedStop(process=name, started=started, ended=time.time())
        )


class LongStreamTests(StopCase):
    """Streams that last longer than each step of a planned stop."""

    plan = build_plan(call_seconds=CALL_SECONDS, model_options=SLOW_OPTIONS)

    def run_stop(self, choose):
        async def script():
            callers = [await self.begin() for _ in range(6)]
            endings = []

            async def read(caller):
                endings.append(await caller.chat(stream=True))

            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(read, caller)
                running = await self.find_running(MODEL)
                owner = await self.read_owner(callers[0])
                await self.stop(choose(running, owner))
            outcomes = [ending.outcome for ending in endings]
            self.assertEqual(outcomes, [AttemptOutcome.ANSWERED] * len(callers))
            attempts = self.evidence.attempts
            self.assertEqual(len(attempts), len(callers), attempts)
            await self.heal()
            await self.assert_no_breach(
                Property.PLANNED_STOP, Property.WHOLE_ANSWERS, Property.NOT_RUN
            )

        self.run_script(script)

    def test_sidecar_of_the_engine_stops(self):
        self.run_stop(lambda running, owner: running)

    def test_owner_stops(self):
        self.run_stop(lambda running, owner: owner)

    def test_entry_stops(self):
        self.run_stop(lambda running, owner: "entry-0")


class RollingRestartTests(StopCase):
    def list_rounds(self):
        """Returns the processes in the rounds in which they restart."""
        engines = self.list_names("sidecar-llm-")
        tools = self.list_names("sidecar-app-")
        entries = [(name,) for name in self.list_names("entry-")]
        return [*zip(engines, tools, strict=True), *entries]

    async def restart(self, name):
        await self.stop(name)
        await self.deployment.restart(name)

    def test_rolling_restart_of_all_under_load_loses_nothing(self):
        async def script():
            load = Load(self.deployment, self.evidence, random.Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(1.0)
                for names in self.list_rounds():
                    async with trio.open_nursery() as stopping:
                        for name in names:
                            stopping.start_soon(self.restart, name)
                load.is_stopping = True
            await self.assert_no_breach(
                Property.PLANNED_STOP,
                Property.AT_MOST_ONCE,
                Property.NOT_RUN,
                Property.ORDER,
                Property.HISTORY,
                Property.WHOLE_ANSWERS,
            )

        self.run_script(script)
