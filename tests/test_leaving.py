import random
import signal
import time

import trio
from bench.checker.records import Departure, Property
from bench.faultrun.load import Load
from bench.faultrun.plan import build_plan
from support import CALL_SECONDS, DeploymentCase

from goldcrestvane_common.paths import (
    DRAIN_PATH,
)

LIST_LAG_SECONDS = 8.0
WATCHED_SECONDS = 5.0
HUNG_CALLS = 2
TOOL_SECONDS = 1.5
SLOW_OPTIONS = ("--token-seconds=0.1",)


class LeavingTests(DeploymentCase):
    """The list lags so much that the sidecar itself must be the first to tell.

    Hung calls keep the sidecar up, so that it could be given new ones.
    """

    plan = build_plan(
        list_lag=LIST_LAG_SECONDS,
        call_seconds=CALL_SECONDS,
        model_options=SLOW_OPTIONS,
    )

    def run_departure(self, *names, leave):
        async def script():
            await self.set_tool_faults(delay=TOOL_SECONDS)
            load = Load(self.deployment, self.evidence, random.Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(1.0)
                for name in names:
                    target = name.replace("sidecar-", "target-")
                    await self.set_faults(target, hang=HUNG_CALLS)
                await trio.sleep(1.0)
                for name in names:
                    await self.depart(name, leave)
                await trio.sleep(WATCHED_SECONDS)
                load.is_stopping = True
            await self.assert_no_breach(
                Property.LEAVING, Property.AT_MOST_ONCE, Property.NOT_RUN
            )
            for name in names:
                target = name.replace("sidecar-", "target-")
                later = [
                    item
                    for item in (*self.evidence.effects, *self.evidence.runs)
                    if item.target != target and item.time > self.left_at + 3.0
                ]
                self.assertTrue(later, "No other target worked meanwhile.")

        self.run_script(script)

    async def depart(self, name, leave):
        self.left_at = time.time()
        await leave(name)
        target = name.replace("sidecar-", "target-")
        self.evidence.departures.append(Departure(target=target, time=self.left_at))

    def test_drain_order(self):
        async def leave(name):
            await self.deployment.request(name, "POST", DRAIN_PATH, {})

        self.run_departure("sidecar-llm-0", "sidecar-app-0", leave=leave)

    def test_signal(self):
        async def leave(name):
            self.deployment.processes[name].send_signal(signal.SIGTERM)

        self.run_departure("sidecar-llm-1", "sidecar-app-1", leave=leave)
