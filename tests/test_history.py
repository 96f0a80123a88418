import trio
from bench.checker.records import AttemptOutcome, EngineRun, Property
from bench.faultrun.exchange import CallPlan
from bench.faultrun.plan import MODEL, PLAIN, TEAMS
from support import DeploymentTestCase

TURNS = 3
SIDECARS_PER_DOMAIN = 2


class HistoryTests(DeploymentTestCase):
    async def send_turn(self, caller, **options):
        ending = await caller.chat(**options)
        self.assertEqual(ending.outcome, AttemptOutcome.ANSWERED, ending.error)
        return ending

    async def assert_history(self, *callers):
        await self.assert_no_violation(Property.HISTORY, Property.WHOLE_ANSWERS)
        for caller in callers:
            self.assert_prompt_length(caller)

    def assert_prompt_length(self, caller):
        marker = f"<<{caller.key.team}:{caller.key.program}:{caller.sequence - 1}>>"
        runs = [run for run in self.evidence.runs if run.marker == marker]
        self.assertTrue(runs)
        for run in runs:
            self.assertIsInstance(run, EngineRun)
            self.assertEqual(len(run.messages), 2 * (caller.sequence - 1) - 1)

    def test_history_survives_the_death_of_each_owner(self):
        async def scenario():
            caller = await self.begin()
            for number in range(TURNS):
                await self.send_turn(caller, stream=number % 2 == 0)
                self.kill(await self.read_owner(caller))
            await self.send_turn(caller)
            await self.restore_deployment()
            await self.assert_history(caller)

        self.run_scenario(scenario)

    def test_history_survives_the_death_of_a_failure_domain(self):
        async def scenario():
            callers = [await self.begin() for _ in range(6)]
            for caller in callers:
                await self.send_turn(caller)
            for service in ("llm", "app"):
                self.kill(f"sidecar-{service}-0")
                await self.recorder.kill_target(f"target-{service}-0")
            self.kill("entry-0")
            for caller in callers:
                await self.send_turn(caller)
            await self.restore_deployment()
            await self.assert_history(*callers)

        self.run_scenario(scenario)

    def test_history_is_complete_when_suspended_owner_resumes_after_takeover(self):
        async def scenario():
            caller = await self.begin()
            await self.send_turn(caller)
            owner = await self.read_owner(caller)
            self.suspend(owner)
            await self.send_turn(caller)
            self.resume(owner)
            await self.send_turn(caller)
            await self.assert_history(caller)

        self.run_scenario(scenario)

    def test_history_survives_lost_responses_to_journal_writes(self):
        async def scenario():
            caller = await self.begin()
            for _ in range(TURNS):
                await self.set_faults(
                    "objectapi", lose_answers=2, lose_prefix="journal/"
                )
                await self.send_turn(caller)
            await self.set_faults("objectapi")
            self.kill(await self.read_owner(caller))
            await self.send_turn(caller)
            await self.restore_deployment()
            await self.assert_history(caller)

        self.run_scenario(scenario)

    def test_programs_with_equal_ids_of_two_teams_have_separate_histories(self):
        async def scenario():
            name = "equal-ids"
            callers = [await self.begin(name, team=team) for team in TEAMS]

            async def send_turns(caller):
                for _ in range(TURNS):
                    await self.send_turn(caller)

            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(send_turns, caller)
            await self.assert_history(*callers)

        self.run_scenario(scenario)

    def test_concurrent_retries_of_a_turn_get_the_same_answer(self):
        async def scenario():
            caller = await self.begin()
            await self.send_turn(caller)
            text = f"{caller.build_next_marker()} crossed"
            body = {
                "model": MODEL,
                "messages": [{"role": "user", "content": text}],
                "max_tokens": 64,
            }
            plan = CallPlan(path="/v1/chat/completions", body=body)
            answers = []

            async def send(entry):
                ending = await caller.attempt(plan, entry=entry)
                self.assertEqual(ending.outcome, AttemptOutcome.ANSWERED, ending.error)
                answers.append(ending.text)

            async with trio.open_nursery() as nursery:
                for entry in self.list_names("entry-") * 2:
                    nursery.start_soon(send, entry)
            self.assertEqual(len(set(answers)), 1)
            caller.sequence += 1
            await self.send_turn(caller)
            await self.collect_records()
            marker = f":{caller.key.program}:{caller.sequence - 1}>>"
            last_runs = [
                run for run in self.evidence.runs if run.marker.endswith(marker)
            ]
            self.assertEqual([len(run.messages) for run in last_runs], [5])

        self.run_scenario(scenario)

    def test_prompt_of_caller_that_sends_its_history_is_unchanged(self):
        async def scenario():
            caller = await self.begin(kind=PLAIN, owner_history=False)
            for _ in range(TURNS):
                await self.send_turn(caller, own_history=True)
            await self.assert_history(caller)

        self.run_scenario(scenario)
