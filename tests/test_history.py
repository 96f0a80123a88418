import trio
from bench.checker.records import AttemptOutcome, EngineRun, Property
from bench.faultrun.exchange import CallPlan
from bench.faultrun.plan import MODEL, PLAIN, TEAMS
from support import DeploymentCase

TURNS = 3
SIDECARS_A_DOMAIN = 2


class HistoryTests(DeploymentCase):
    async def turn(self, caller, **options):
        ending = await caller.chat(**options)
        self.assertEqual(ending.outcome, AttemptOutcome.ANSWERED, ending.error)
        return ending

    async def assert_history(self, *callers):
        await self.assert_no_breach(Property.HISTORY, Property.WHOLE_ANSWERS)
        for caller in callers:
            self.assert_turns(caller)

    def assert_turns(self, caller):
        marker = f"<<{caller.key.team}:{caller.key.program}:{caller.sequence - 1}>>"
        runs = [run for run in self.evidence.runs if run.marker == marker]
        self.assertTrue(runs)
        for run in runs:
            self.assertIsInstance(run, EngineRun)
            self.assertEqual(len(run.messages), 2 * (caller.sequence - 1) - 1)

    def test_turns_survive_the_death_of_each_owner(self):
        async def script():
            caller = await self.begin()
            for number in range(TURNS):
                await self.turn(caller, stream=number % 2 == 0)
                self.kill(await self.read_owner(caller))
            await self.turn(caller)
            await self.heal()
            await self.assert_history(caller)

        self.run_script(script)

    def test_turns_survive_the_death_of_a_domain(self):
        async def script():
            callers = [await self.begin() for _ in range(6)]
            for caller in callers:
                await self.turn(caller)
            for service in ("llm", "app"):
                self.kill(f"sidecar-{service}-0")
                await self.recorder.kill_target(f"target-{service}-0")
            self.kill("entry-0")
            for caller in callers:
                await self.turn(caller)
            await self.heal()
            await self.assert_history(*callers)

        self.run_script(script)

    def test_owner_frozen_during_a_turn_wakes_later(self):
        async def script():
            caller = await self.begin()
            await self.turn(caller)
            owner = await self.read_owner(caller)
            self.freeze(owner)
            await self.turn(caller)
            self.thaw(owner)
            await self.turn(caller)
            await self.assert_history(caller)

        self.run_script(script)

    def test_answers_of_the_records_writes_are_lost(self):
        async def script():
            caller = await self.begin()
            for _ in range(TURNS):
                await self.set_faults(
                    "objectapi", lose_answers=2, lose_prefix="journal/"
                )
                await self.turn(caller)
            await self.set_faults("objectapi")
            self.kill(await self.read_owner(caller))
            await self.turn(caller)
            await self.heal()
            await self.assert_history(caller)

        self.run_script(script)

    def test_equal_ids_of_two_teams_are_never_mixed(self):
        async def script():
            name = "equal-ids"
            callers = [await self.begin(name, team=team) for team in TEAMS]

            async def talk(caller):
                for _ in range(TURNS):
                    await self.turn(caller)

            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(talk, caller)
            await self.assert_history(*callers)

        self.run_script(script)

    def test_crossed_retries_of_a_turn_get_the_one_answer(self):
        async def script():
            caller = await self.begin()
            await self.turn(caller)
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
            await self.turn(caller)
            await self.collect()
            marker = f":{caller.key.program}:{caller.sequence - 1}>>"
            last = [run for run in self.evidence.runs if run.marker.endswith(marker)]
            self.assertEqual([len(run.messages) for run in last], [5])

        self.run_script(script)

    def test_prompt_of_a_caller_with_its_own_history_is_unchanged(self):
        async def script():
            caller = await self.begin(kind=PLAIN, owner_history=False)
            for _ in range(TURNS):
                await self.turn(caller, own_history=True)
            await self.assert_history(caller)

        self.run_script(script)
