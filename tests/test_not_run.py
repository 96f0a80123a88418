import unittest

import trio

from goldcrestvane_common.errors import Outcome
from goldcrestvane_standins.plans import (
    MODEL,
    TEAM,
    TOOL,
    build_caller,
    build_plan,
    build_team,
    run_with_deployment,
)


class NotRunTests(unittest.TestCase):
    def test_partially_run_call_is_reported_as_incomplete(self):
        plan = build_plan(models=1, model_options=("--token-seconds=0.2",))
        run_with_deployment(plan, self.check_engine_death)

    async def check_engine_death(self, deployment):
        caller = build_caller(deployment, "review-1", max_attempts=1)
        await caller.begin("review")
        engine = f"target-{MODEL}-0"
        results = []

        async def call():
            results.append(await caller.chat(MODEL, "explain the variance"))

        async def has_started():
            return bool(await deployment.read_record(engine))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await deployment.wait_until(has_started, "the engine runs the call")
            deployment.processes[engine].kill()
        self.assertIs(results[0].error.call_outcome, Outcome.INCOMPLETE)

    def test_call_beyond_the_budget_gets_a_final_refusal(self):
        plan = build_plan(teams={TEAM: build_team(calls=1)})
        run_with_deployment(plan, self.check_budget)

    async def check_budget(self, deployment):
        caller = build_caller(deployment, "review-1", max_attempts=1)
        await caller.begin("review")
        answered = await caller.chat(MODEL, "the first call")
        self.assertIsNone(answered.error)
        refused = await caller.chat(MODEL, "the second call")
        self.assertIs(refused.error.call_outcome, Outcome.REFUSED_FINAL)

    def test_idempotent_tool_call_is_retried_after_a_lost_response(self):
        run_with_deployment(build_plan(tools=2), self.check_lost_answer)

    async def check_lost_answer(self, deployment):
        caller = build_caller(deployment, "review-1", max_attempts=1)
        await caller.begin("review")
        tools = [f"target-{TOOL}-{number}" for number in range(2)]
        for tool in tools:
            await deployment.request(
                tool, "PUT", "/control/faults", {"close_after_effect": 1}
            )
        for turn in range(2):
            result = await caller.use_tool(TOOL, "read", {"turn": turn})
            self.assertIsNone(result.error)
        effects = [await deployment.read_record(tool) for tool in tools]
        self.assertGreaterEqual(sum(map(len, effects)), 3)

    def test_tool_call_that_was_not_run_has_one_effect_after_a_retry(self):
        run_with_deployment(build_plan(tools=1), self.check_dead_tool)

    async def check_dead_tool(self, deployment):
        caller = build_caller(deployment, "review-1", max_attempts=1)
        await caller.begin("review")
        tool = f"target-{TOOL}-0"
        deployment.processes[tool].kill()
        refused = await caller.use_tool(TOOL, "post", {"entry": 1})
        self.assertIs(refused.error.call_outcome, Outcome.NOT_RUN)
        self.assertGreater(refused.error.retry_after, 0)
        await deployment.restart(tool)
        retrying = build_caller(deployment, "review-1")
        answered = await retrying.use_tool(TOOL, "post", {"entry": 1})
        self.assertIsNone(answered.error)
        effects = await deployment.read_record(tool)
        self.assertEqual([effect["body"] for effect in effects], [{"entry": 1}])


if __name__ == "__main__":
    unittest.main()
