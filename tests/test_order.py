import trio
from bench.checker.evidence_index import describe
from bench.checker.records import AttemptOutcome, Property
from bench.faultrun.exchange import CallPlan, build_marker
from bench.faultrun.plan import TOOL, VOUCHER
from support import DeploymentTestCase

CALLS = 6
TOOL_SECONDS = 0.3


class OrderTests(DeploymentTestCase):
    async def send(self, caller, sequence, entry):
        """Sends a voucher call until it is answered or its outcome is unknown.

        The call may be early, that is, sent before the calls that precede it.
        """
        marker = build_marker(caller.key.team, caller.key.program, sequence)
        plan = CallPlan(
            path=f"/v1/tools/{TOOL}/{VOUCHER}",
            body={"marker": marker},
            at_most_once=True,
        )
        while True:
            ending = await caller.attempt(plan, sequence=sequence, entry=entry)
            if ending.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.UNKNOWN):
                return ending
            await trio.sleep(0.1)

    async def assert_order(self, caller, calls=CALLS):
        await self.assert_no_violation(
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
        report = "\n".join(describe(attempt) for attempt in self.evidence.attempts)
        self.assertEqual(markers, expected, report)

    def test_early_and_duplicate_calls_through_both_entries_run_in_order(self):
        async def scenario():
            caller = await self.begin()
            await self.set_tool_faults(delay=0.05)
            async with trio.open_nursery() as nursery:
                for sequence in reversed(range(1, CALLS + 1)):
                    for entry in self.list_names("entry-"):
                        nursery.start_soon(self.send, caller, sequence, entry)
                    await trio.sleep(0.02)
            await self.assert_order(caller)

        self.run_scenario(scenario)

    def run_with_waiting_calls(self, inject_fault):
        """Injects a fault into the owner while early calls wait for the first call."""

        async def scenario():
            caller = await self.begin()
            await self.set_tool_faults(delay=TOOL_SECONDS)
            owner = await self.read_owner(caller)
            async with trio.open_nursery() as nursery:
                for sequence in (4, 3, 2):
                    nursery.start_soon(self.send, caller, sequence, "entry-0")
                await trio.sleep(0.3)
                await inject_fault(owner)
                for sequence in (1, 4, 3, 2):
                    nursery.start_soon(self.send, caller, sequence, "entry-1")
            self.resume(owner)
            await self.assert_order(caller, calls=4)

        self.run_scenario(scenario)

    def test_early_calls_run_in_order_when_their_owner_dies(self):
        async def inject_fault(owner):
            self.kill(owner)

        self.run_with_waiting_calls(inject_fault)

    def test_early_calls_run_in_order_when_their_suspended_owner_resumes(self):
        async def inject_fault(owner):
            self.suspend(owner)

        self.run_with_waiting_calls(inject_fault)

    def test_calls_run_in_order_when_each_owner_dies_between_them(self):
        async def scenario():
            caller = await self.begin()
            for _ in range(2):
                ending = await caller.use_tool(VOUCHER, at_most_once=True)
                self.assertEqual(ending.outcome, AttemptOutcome.ANSWERED, ending.error)
                self.kill(await self.read_owner(caller))
            ending = await caller.use_tool(VOUCHER, at_most_once=True)
            self.assertEqual(ending.outcome, AttemptOutcome.ANSWERED, ending.error)
            await self.restore_deployment()
            await self.assert_order(caller, calls=3)

        self.run_scenario(scenario)
