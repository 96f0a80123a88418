import trio
from bench.checker.records import AttemptOutcome, Property
from bench.faultrun.exchange import CallPlan
from bench.faultrun.plan import TOOL, VOUCHER
from support import DeploymentCase

TOOL_SECONDS = 1.5
LONG_TOOL_SECONDS = 3.0
SHORT_CALL_SECONDS = 2.0


class AtMostOnceTests(DeploymentCase):
    """Kills, freezes and cuts at each step from the claim to the recorded outcome."""

    async def begin_call(self, nursery, caller):
        """Starts a voucher call and returns the sidecar at whose tool it runs."""
        self.endings = []
        self.marker = caller.build_next_marker()

        async def call():
            self.endings.append(await caller.use_tool(VOUCHER, once=True))

        nursery.start_soon(call)
        return await self.find_running(TOOL)

    async def repeat(self, caller):
        """Sends the last call once more under its sequence through each entry."""
        sequence = caller.sequence - 1
        body = {"marker": self.marker}
        plan = CallPlan(path=f"/v1/tools/{TOOL}/{VOUCHER}", body=body, once=True)
        found = []
        for entry in self.list_names("entry-"):
            ending = await caller.attempt(plan, sequence=sequence, entry=entry)
            found.append(ending.outcome)
        return found

    async def assert_once(self, caller, *, outcome, effects):
        ending = self.endings[0]
        self.assertEqual(ending.outcome, outcome, ending.error)
        self.assertEqual(await self.repeat(caller), [outcome, outcome])
        following = await caller.use_tool(VOUCHER, once=True)
        self.assertEqual(following.outcome, AttemptOutcome.ANSWERED, following.error)
        await self.assert_no_breach(
            Property.AT_MOST_ONCE,
            Property.NOT_RUN,
            Property.ORDER,
            Property.WHOLE_ANSWERS,
        )
        self.assertEqual(self.count_effects(self.marker), effects)

    def run_crossed(self, disturb, *, outcome, effects, seconds=TOOL_SECONDS):
        """Disturbs while the call is at the tool, before its side effect."""

        async def script():
            caller = await self.begin()
            await self.set_tool_faults(delay=seconds)
            async with trio.open_nursery() as nursery:
                sidecar = await self.begin_call(nursery, caller)
                owner = await self.read_owner(caller)
                await disturb(owner, sidecar)
            await self.heal()
            await self.assert_once(caller, outcome=outcome, effects=effects)

        self.run_script(script)

    async def begin_away_from_owner(self):
        """Begins a program whose owner is beside an engine, not beside a tool."""
        for _ in range(200):
            caller = await self.begin()
            if TOOL not in await self.read_owner(caller):
                return caller
            await trio.sleep(0.1)
        raise AssertionError("Every program is owned beside a tool.")

    def run_owner_away(self, disturb, *, outcome, effects, faults):
        async def script():
            caller = await self.begin_away_from_owner()
            await self.set_tool_faults(**faults)
            async with trio.open_nursery() as nursery:
                sidecar = await self.begin_call(nursery, caller)
                await disturb(await self.read_owner(caller), sidecar)
            await self.heal()
            await self.assert_once(caller, outcome=outcome, effects=effects)

        self.run_script(script)

    def test_owner_dies_while_the_tool_works(self):
        async def disturb(owner, sidecar):
            self.kill(owner)

        self.run_owner_away(
            disturb,
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            faults={"delay": TOOL_SECONDS},
        )

    def test_frozen_owner_wakes_after_the_takeover(self):
        async def disturb(owner, sidecar):
            self.freeze(owner)
            with trio.fail_after(60.0):
                while not self.endings:
                    await trio.sleep(0.05)
            self.thaw(owner)

        self.run_owner_away(
            disturb,
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            faults={"delay": TOOL_SECONDS},
        )

    def test_owner_and_entry_die_while_the_tool_works(self):
        async def disturb(owner, sidecar):
            self.kill(owner)
            self.kill("entry-0")

        self.run_owner_away(
            disturb,
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            faults={"delay": TOOL_SECONDS},
        )

    def test_sidecar_of_the_tool_dies_while_the_tool_works(self):
        async def disturb(owner, sidecar):
            self.kill(sidecar)

        self.run_owner_away(
            disturb,
            outcome=AttemptOutcome.UNKNOWN,
            effects=0,
            faults={"delay": TOOL_SECONDS},
        )

    def test_frozen_sidecar_of_the_tool_wakes(self):
        async def disturb(owner, sidecar):
            self.freeze(sidecar)
            await trio.sleep(TOOL_SECONDS * 2)
            self.thaw(sidecar)

        self.run_owner_away(
            disturb,
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            faults={"delay": TOOL_SECONDS},
        )

    def test_owner_and_sidecar_of_the_tool_die(self):
        async def disturb(owner, sidecar):
            self.kill(sidecar)
            self.kill(owner)

        self.run_owner_away(
            disturb,
            outcome=AttemptOutcome.UNKNOWN,
            effects=0,
            faults={"delay": TOOL_SECONDS},
        )

    def test_tool_dies_before_its_effect(self):
        async def disturb(owner, sidecar):
            await self.recorder.kill_target(sidecar.replace("sidecar", "target"))

        self.run_crossed(disturb, outcome=AttemptOutcome.UNKNOWN, effects=0)

    def test_entries_die_while_the_tool_works(self):
        async def disturb(owner, sidecar):
            for name in self.list_names("entry-"):
                self.kill(name)
            for name in self.list_names("entry-"):
                await self.deployment.restart(name)

        self.run_crossed(disturb, outcome=AttemptOutcome.ANSWERED, effects=1)

    def test_frozen_entries_wake(self):
        async def disturb(owner, sidecar):
            for name in self.list_names("entry-"):
                self.freeze(name)
            await trio.sleep(TOOL_SECONDS)
            for name in self.list_names("entry-"):
                self.thaw(name)

        self.run_crossed(disturb, outcome=AttemptOutcome.ANSWERED, effects=1)

    def run_with_faults(self, *, outcome, effects, tool=None, platform=None, **options):
        async def script():
            caller = await self.begin(**options)
            self.marker = caller.build_next_marker()
            await self.set_tool_faults(**(tool or {}))
            await self.set_faults("objectapi", **(platform or {}))
            self.endings = [await caller.use_tool(VOUCHER, once=True)]
            await self.heal()
            await self.assert_once(caller, outcome=outcome, effects=effects)

        self.run_script(script)

    def test_answer_of_the_tool_is_lost(self):
        self.run_with_faults(
            outcome=AttemptOutcome.UNKNOWN, effects=1, tool={"close_after_effect": 1}
        )

    def test_connection_to_the_tool_is_cut_before_the_effect(self):
        self.run_with_faults(
            outcome=AttemptOutcome.UNKNOWN, effects=0, tool={"close_before_effect": 1}
        )

    def test_tool_hangs(self):
        self.run_with_faults(
            outcome=AttemptOutcome.UNKNOWN,
            effects=0,
            tool={"hang": 1},
            call_seconds=SHORT_CALL_SECONDS,
        )

    def test_answers_of_the_claim_and_of_the_record_are_lost(self):
        self.run_with_faults(
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            platform={"lose_answers": 3, "lose_prefix": "journal/"},
        )

    def test_claim_during_an_outage_is_refused_and_runs_once_later(self):
        async def script():
            caller = await self.begin()
            self.marker = caller.build_next_marker()
            await self.set_faults("objectapi", outage=True)
            body = {"marker": self.marker}
            plan = CallPlan(path=f"/v1/tools/{TOOL}/{VOUCHER}", body=body, once=True)
            refused = await caller.attempt(plan)
            self.assertEqual(refused.outcome, AttemptOutcome.NOT_RUN, refused.error)
            self.assertIsNotNone(refused.retry_after)
            await self.set_faults("objectapi")
            self.endings = [await caller.use_tool(VOUCHER, once=True)]
            await self.assert_once(caller, outcome=AttemptOutcome.ANSWERED, effects=1)

        self.run_script(script)

    def test_owner_dies_after_a_claim_whose_answer_was_lost(self):
        async def disturb(owner, sidecar):
            await self.set_faults("objectapi", lose_answers=2, lose_prefix="journal/")
            self.kill(owner)

        self.run_owner_away(
            disturb,
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            faults={"delay": LONG_TOOL_SECONDS},
        )
