import unittest

from goldcrestvane_common.errors import Outcome
from goldcrestvane_standins.plans import (
    MODEL,
    TOOL,
    build_caller,
    build_plan,
    run_with_deployment,
)

TURNS = 5


class PlatformOutageTests(unittest.TestCase):
    def test_repeatable_calls_are_served_and_recorded_during_an_outage(self):
        run_with_deployment(build_plan(), self.check_outage)

    async def check_outage(self, deployment):
        caller = build_caller(deployment, "review-1", max_attempts=1)
        await caller.begin("review")
        await self.check_answered(caller.chat(MODEL, "turn 0"))
        await deployment.request(
            "objectapi", "PUT", "/control/faults", {"outage": True}
        )
        for turn in range(1, TURNS):
            await self.check_answered(caller.chat(MODEL, f"turn {turn}"))
            await self.check_answered(caller.use_tool(TOOL, "read", {"turn": turn}))
        await self.check_metrics(deployment)
        result = await caller.use_tool(TOOL, "post", {"entry": 1})
        self.assertIs(result.error.call_outcome, Outcome.NOT_RUN)
        self.assertGreater(result.error.retry_after, 0)
        await deployment.request("objectapi", "PUT", "/control/faults", {})

        retrying = build_caller(deployment, "review-1")
        retrying.sequence = caller.sequence
        await self.check_answered(retrying.use_tool(TOOL, "post", {"entry": 1}))
        await self.check_owner_death_after_outage(deployment, retrying)

    def test_history_survives_an_owner_that_dies_during_an_outage(self):
        run_with_deployment(build_plan(), self.check_owner_death_during_outage)

    async def check_owner_death_during_outage(self, deployment):
        caller = build_caller(deployment, "review-1")
        await caller.begin("review")
        await self.check_answered(caller.chat(MODEL, "turn 0"))
        await deployment.request(
            "objectapi", "PUT", "/control/faults", {"outage": True}
        )
        for turn in range(1, TURNS):
            await self.check_answered(caller.chat(MODEL, f"turn {turn}"))
        owner = (await self.read_view(deployment))["owner"]
        deployment.processes[owner].kill()
        await deployment.request("objectapi", "PUT", "/control/faults", {})
        last = build_caller(deployment, "review-1", timeout=15.0, max_attempts=1)
        last.sequence = caller.sequence
        await self.check_answered(last.chat(MODEL, "last turn"))
        await self.check_history(deployment)

    async def check_metrics(self, deployment):
        owner = (await self.read_view(deployment))["owner"]
        response = await deployment.request(owner, "GET", "/metrics")
        samples = dict(
            line.rsplit(" ", 1)
            for line in response.body.decode().splitlines()
            if not line.startswith("#")
        )
        self.assertEqual(float(samples["goldcrestvane_journals_down"]), 1.0)
        self.assertGreater(float(samples["goldcrestvane_journal_queued_records"]), 0)

    async def check_answered(self, call):
        result = await call
        self.assertIsNone(result.error)

    async def check_owner_death_after_outage(self, deployment, caller):
        """Checks that the turns of the outage survive the owner that served them."""
        view = await self.read_view(deployment)
        deployment.processes[view["owner"]].kill()
        await self.check_answered(caller.chat(MODEL, "last turn"))
        await self.check_history(deployment)
        effects = await deployment.read_record(f"target-{TOOL}-0")
        posts = [effect for effect in effects if effect["operation"] == "post"]
        self.assertEqual(len(posts), 1)

    async def check_history(self, deployment):
        view = await self.read_view(deployment)
        questions = [m["content"] for m in view["history"] if m["role"] == "user"]
        expected = [f"turn {turn}" for turn in range(TURNS)]
        self.assertEqual(questions, [*expected, "last turn"])

    async def read_view(self, deployment):
        response = await deployment.transport.send(
            "GET",
            deployment.processes["entry-0"].address,
            "/v1/programs/review-1",
            headers={"goldcrestvane-team": "acme"},
        )
        return response.decode(dict)


if __name__ == "__main__":
    unittest.main()
