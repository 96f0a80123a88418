import trio
from bench.checker.records import AttemptOutcome, Property
from bench.checker.traces import describe
from bench.faultrun.exchange import CallPlan, build_marker
from bench.faultrun.plan import TOOL, VOUCHER
from support import DeploymentCase

CALLS = 6
TOOL_SECONDS = 0.3


class OrderTests(DeploymentCase):
    async def send(self, caller, sequence, entry):
        """Sends one attempt of a voucher call, early or not."""
        marker = build_marker(caller.key.team, caller.key.program, sequence)
        plan = CallPlan(
            path=f"/v1/tools/{TOOL}/{VOUCHER}", body={"marker": marker}, once=True
        )
        while True:
            ending = await caller.attempt(plan, sequence=sequence, entry=entry)
            if ending.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.UNKNOWN):
                return ending
            await trio.sleep(0.1)

    async def assert_order(self, caller, calls=CALLS):
        await self.assert_no_breach(
            Property.ORDER, Property.AT_MOST_ONCE, Property.WHOLE_ANSWERS
        )
        markers = [
            effect.marker
            for effect in sorted(self.evidence.effects, key=lambda item: item.time)
            if f":{caller.key.program}:" in effect.marker
        ]
        expected = [
            build_marker(caller.key.team, caller.key.program, sequence)
            for sequence in range(1, calls + 1)
        ]
        shown = "\n".join(describe(attempt) for attempt in self.evidence.attempts)
        self.assertEqual(markers, expected, shown)

    def test_early_and_doubled_calls_through_both_entries(self):
        async def script():
            caller = await self.begin()
            await self.set_tool_faults(delay=0.05)
            async with trio.open_nursery() as nursery:
                for sequence in reversed(range(1, CALLS + 1)):
                    for entry in self.list_names("entry-"):
                        nursery.start_soon(self.send, caller, sequence, entry)
                    await trio.sleep(0.02)
            await self.assert_order(caller)

        self.run_script(script)

    def run_takeover(self, disturb):
        """Disturbs the owner while later calls wait there for the first one."""

        async def script():
            caller = await self.begin()
            await self.set_tool_faults(delay=TOOL_SECONDS)
            owner = await self.read_owner(caller)
            async with trio.open_nursery() as nursery:
                for sequence in (4, 3, 2):
                    nursery.start_soon(self.send, caller, sequence, "entry-0")
                await trio.sleep(0.3)
                await disturb(owner)
                for sequence in (1, 4, 3, 2):
                    nursery.start_soon(self.send, caller, sequence, "entry-1")
            self.thaw(owner)
            await self.assert_order(caller, calls=4)

        self.run_script(script)

    def test_owner_dies_while_early_calls_wait(self):
        async def disturb(owner):
            self.kill(owner)

        self.run_takeover(disturb)

    def test_frozen_owner_wakes_with_early_calls(self):
        async def disturb(owner):
            self.freeze(owner)

        self.run_takeover(disturb)

    def test_owner_dies_between_turns(self):
        async def script():
            caller = await self.begin()
            for _ in range(2):
                ending = await caller.use_tool(VOUCHER, once=True)
                self.assertEqual(ending.outcome, AttemptOutcome.ANSWERED, ending.error)
                self.kill(await self.read_owner(caller))
            ending = await caller.use_tool(VOUCHER, once=True)
            self.assertEqual(ending.outcome, AttemptOutcome.ANSWERED, ending.error)
            await self.heal()
            await self.assert_order(caller, calls=3)

        self.run_script(script)
