import unittest

import trio

from goldcrestvane_common.errors import RequestQuarantined
from goldcrestvane_standins.plans import (
    MODEL,
    build_caller,
    build_plan,
    run_with_deployment,
)

POISON = "please CRASH-ENGINE now"
RESENDS = 6
NEIGHBOURS = 4


class CrashingRequestTests(unittest.TestCase):
    def test_request_that_crashes_each_target_takes_two_and_spares_neighbours(self):
        plan = build_plan(models=4, model_options=("--token-seconds=0.05",))
        run_with_deployment(plan, self.check_crashes)

    async def check_crashes(self, deployment):
        engines = [f"target-{MODEL}-{number}" for number in range(4)]
        results = {}

        async def run_neighbour(number):
            caller = build_caller(deployment, f"neighbour-{number}", timeout=60.0)
            await caller.begin("review")
            results[number] = await caller.chat(MODEL, f"question {number}")

        async with trio.open_nursery() as nursery:
            for number in range(NEIGHBOURS):
                nursery.start_soon(run_neighbour, number)
            await trio.sleep(0.3)
            errors = [await self.send_poison(deployment, n) for n in range(RESENDS)]
        dead = [name for name in engines if not deployment.processes[name].is_running]
        self.assertEqual(len(dead), 2, dead)
        self.assertIsInstance(errors[-1], RequestQuarantined)
        self.assertIsInstance(errors[-2], RequestQuarantined)
        self.assertEqual(sorted(results), list(range(NEIGHBOURS)))
        for result in results.values():
            self.assertIsNone(result.error)

    async def send_poison(self, deployment, number):
        caller = build_caller(deployment, f"poison-{number}", max_attempts=3)
        await caller.begin("review")
        result = await caller.chat(MODEL, POISON)
        return result.error


if __name__ == "__main__":
    unittest.main()
