import unittest

import trio

from goldcrestvane_common.errors import RequestQuarantined
from goldcrestvane_standins.plans import (
    MODEL,
    build_caller,
    build_plan,
    run_with_deployment,
)

CRASHING_PROMPT = "please CRASH-ENGINE now"
SEND_COUNT = 6
OTHER_PROGRAMS = 4


class CrashingRequestTests(unittest.TestCase):
    def test_crashing_request_kills_two_targets_and_other_calls_are_answered(self):
        plan = build_plan(models=4, model_options=("--token-seconds=0.05",))
        run_with_deployment(plan, self.check_crashes)

    async def check_crashes(self, deployment):
        engines = [f"target-{MODEL}-{number}" for number in range(4)]
        results = {}

        async def run_other_program(number):
            caller = build_caller(deployment, f"neighbour-{number}", timeout=60.0)
            await caller.begin("review")
            results[number] = await caller.chat(MODEL, f"question {number}")

        async with trio.open_nursery() as nursery:
            for number in range(OTHER_PROGRAMS):
                nursery.start_soon(run_other_program, number)
            await trio.sleep(0.3)
            errors = [
                await self.send_crashing_request(deployment, n)
                for n in range(SEND_COUNT)
            ]
        dead = [name for name in engines if not deployment.processes[name].is_running]
        self.assertEqual(len(dead), 2, dead)
        self.assertIsInstance(errors[-1], RequestQuarantined)
        self.assertIsInstance(errors[-2], RequestQuarantined)
        self.assertEqual(sorted(results), list(range(OTHER_PROGRAMS)))
        for result in results.values():
            self.assertIsNone(result.error)

    async def send_crashing_request(self, deployment, number):
        caller = build_caller(deployment, f"poison-{number}", max_attempts=3)
        await caller.begin("review")
        result = await caller.chat(MODEL, CRASHING_PROMPT)
        return result.error


if __name__ == "__main__":
    unittest.main()
