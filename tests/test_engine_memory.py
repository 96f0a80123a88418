import unittest

from goldcrestvane_standins.plans import (
    MODEL,
    TEAM,
    build_caller,
    build_plan,
    build_team,
    run_with_deployment,
)

ENGINES = [f"target-{MODEL}-{number}" for number in range(2)]


async def list_sessions(deployment):
    sessions = set()
    for engine in ENGINES:
        response = await deployment.request(engine, "GET", "/v1/cache")
        sessions.update(response.decode(dict)["sessions"])
    return sessions


async def read_owner(deployment, program):
    response = await deployment.transport.send(
        "GET",
        deployment.processes["entry-0"].address,
        f"/v1/programs/{program}",
        headers={"goldcrestvane-team": TEAM},
    )
    return response.decode(dict)["owner"]


class EngineMemoryTests(unittest.TestCase):
    async def run_program(self, deployment, program):
        caller = build_caller(deployment, program)
        await caller.begin("review")
        result = await caller.chat(MODEL, f"the journal of {program}")
        self.assertIsNone(result.error)
        self.assertIn(f"{TEAM}/{program}", await list_sessions(deployment))
        return caller

    async def wait_until_released(self, deployment, program):
        async def is_released():
            return f"{TEAM}/{program}" not in await list_sessions(deployment)

        await deployment.wait_until(is_released, f"{program} is released")

    def test_session_is_released_with_or_without_its_owner(self):
        run_with_deployment(build_plan(tools=2), self.check_release)

    async def check_release(self, deployment):
        caller = await self.run_program(deployment, "ends")
        await caller.end()
        await self.wait_until_released(deployment, "ends")

        caller = await self.run_program(deployment, "owner-dies")
        owner = await read_owner(deployment, "owner-dies")
        deployment.processes[owner].kill()
        await caller.end()
        await deployment.restart(owner)
        await self.wait_until_released(deployment, "owner-dies")

        # No owner knows this session, so only the periodic sweep can release it.
        request = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "left behind"}],
            "session": f"{TEAM}/never-begun",
        }
        await deployment.request(ENGINES[0], "POST", "/v1/chat/completions", request)
        await self.wait_until_released(deployment, "never-begun")

    def test_abandoned_program_ends_with_its_time_budget(self):
        plan = build_plan(teams={TEAM: build_team(seconds=2.0)})
        run_with_deployment(plan, self.check_abandoned)

    async def check_abandoned(self, deployment):
        await self.run_program(deployment, "abandoned")
        await self.wait_until_released(deployment, "abandoned")

    def test_fenced_engine_accepts_the_release(self):
        run_with_deployment(
            build_plan(model_options=("--fenced",)), self.check_fenced_engine
        )

    async def check_fenced_engine(self, deployment):
        caller = await self.run_program(deployment, "fenced")
        await caller.end()
        await self.wait_until_released(deployment, "fenced")


if __name__ == "__main__":
    unittest.main()
