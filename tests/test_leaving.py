import random
import signal
import time

import trio
from bench.checker.records import Departure, Property
from bench.faultrun.load import Load
from bench.faultrun.plan import build_plan
from support import CALL_TIMEOUT_SECONDS, DeploymentTestCase

from goldcrestvane_common.paths import (
    DRAIN_PATH,
)

LIST_LAG_SECONDS = 8.0
OBSERVATION_SECONDS = 5.0
HUNG_CALLS = 2
TOOL_SECONDS = 1.5
SLOW_OPTIONS = ("--token-seconds=0.1",)


class LeavingTests(DeploymentTestCase):
    """A leaving sidecar gets no new calls.

    The instance list lags so far behind that only the sidecar itself can announce its
    departure in time. Hung calls keep the sidecar running, so that new calls could
    still reach it.
    """

    plan = build_plan(
        list_lag=LIST_LAG_SECONDS,
        call_timeout_seconds=CALL_TIMEOUT_SECONDS,
        model_options=SLOW_OPTIONS,
    )

    def run_departure(self, *names, announce_departure):
        async def scenario():
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
                    await self.start_departure(name, announce_departure)
                await trio.sleep(OBSERVATION_SECONDS)
                load.is_stopping = True
            await self.assert_no_violation(
                Property.LEAVING, Property.AT_MOST_ONCE, Property.NOT_RUN
            )
            for name in names:
                target = name.replace("sidecar-", "target-")
                later_calls = [
                    item
                    for item in (*self.evidence.effects, *self.evidence.runs)
                    if item.target != target and item.time > self.left_at + 3.0
                ]
                self.assertTrue(
                    later_calls, "No other target ran calls after the departure."
                )

        self.run_scenario(scenario)

    async def start_departure(self, name, announce_departure):
        self.left_at = time.time()
        await announce_departure(name)
        target = name.replace("sidecar-", "target-")
        self.evidence.departures.append(Departure(target=target, time=self.left_at))

    def test_sidecar_gets_no_new_calls_after_drain_request(self):
        async def announce_departure(name):
            await self.deployment.request(name, "POST", DRAIN_PATH, {})

        self.run_departure(
            "sidecar-llm-0", "sidecar-app-0", announce_departure=announce_departure
        )

    def test_sidecar_gets_no_new_calls_after_sigterm(self):
        async def announce_departure(name):
            self.deployment.processes[name].send_signal(signal.SIGTERM)

        self.run_departure(
            "sidecar-llm-1", "sidecar-app-1", announce_departure=announce_departure
        )
