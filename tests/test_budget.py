import trio
from bench.checker.records import AttemptOutcome, Property
from bench.faultrun.plan import (
    FITTING,
    LOOK_UP,
    MODEL,
    SMALL_TEAM,
    SMALL_TEAM_BUDGET,
    TIGHT,
    TIGHT_BUDGET,
    TOOL,
    VOUCHER,
)
from support import DeploymentCase

from goldcrestvane_common.messages import (
    ProcessStatus,
)
from goldcrestvane_common.paths import (
    STATUS_PATH,
)

MAX_TURNS = 200
ENGINE_SECONDS = 1.0
SHORT_CALL_SECONDS = 1.5
HUNG_CALLS = 4


class BudgetTests(DeploymentCase):
    async def loop(self, caller, turn):
        """Repeats a turn until it is refused for good."""
        for _ in range(MAX_TURNS):
            ending = await turn(caller)
            if ending.outcome is AttemptOutcome.REFUSED_FINAL:
                self.assertEqual(ending.kind, "budget_exceeded")
                return
            self.assertEqual(ending.outcome, AttemptOutcome.ANSWERED, ending.error)
        raise AssertionError(f"{caller.key} was never stopped.")

    async def begin_tight(self):
        return await self.begin(kind=TIGHT, budget=TIGHT_BUDGET)

    def test_endless_loop_of_calls_is_stopped(self):
        async def script():
            caller = await self.begin_tight()
            await self.loop(caller, lambda c: c.use_tool(LOOK_UP, once=False))
            await self.assert_no_breach(Property.BUDGET)
            self.assertEqual(caller.sequence, TIGHT_BUDGET.calls + 1)

        self.run_script(script)

    def test_endless_loop_of_tokens_is_stopped(self):
        async def script():
            caller = await self.begin_tight()
            text = " ".join(["shoe"] * 25)
            await self.loop(caller, lambda c: c.chat(text=text))
            await self.assert_no_breach(Property.BUDGET)

        self.run_script(script)

    def test_sub_agents_share_the_budget_of_the_program_above(self):
        async def script():
            caller = await self.begin_tight()
            children = [
                await self.begin(f"{caller.key.program}/{number}", kind=FITTING)
                for number in range(3)
            ]
            async with trio.open_nursery() as nursery:
                for child in children:
                    nursery.start_soon(
                        self.loop, child, lambda c: c.use_tool(VOUCHER, once=True)
                    )
            await self.assert_no_breach(Property.BUDGET)
            made = {
                effect.marker
                for effect in self.evidence.effects
                if f":{caller.key.program}/" in effect.marker
            }
            self.assertEqual(len(made), TIGHT_BUDGET.calls)

        self.run_script(script)

    def test_owner_dies_while_it_holds_a_reservation(self):
        async def script():
            caller = await self.begin_tight()
            await self.set_engine_faults(delay=ENGINE_SECONDS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(caller.chat)
                await self.find_running(MODEL)
                self.kill(await self.read_owner(caller))
            await self.set_engine_faults()
            await self.loop(caller, lambda c: c.chat())
            await self.heal()
            await self.assert_no_breach(Property.BUDGET, Property.WHOLE_ANSWERS)

        self.run_script(script)

    def test_team_is_stopped_across_its_programs(self):
        async def script():
            self.evidence.team_budgets = {SMALL_TEAM: SMALL_TEAM_BUDGET}
            callers = [await self.begin(team=SMALL_TEAM) for _ in range(8)]
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(
                        self.loop, caller, lambda c: c.use_tool(LOOK_UP, once=False)
                    )
            await self.assert_no_breach(Property.BUDGET)

        self.run_script(script)

    def test_hung_tools_are_given_up_and_their_slots_come_back(self):
        async def script():
            await self.set_tool_faults(hang=HUNG_CALLS)
            callers = [
                await self.begin(call_seconds=SHORT_CALL_SECONDS)
                for _ in range(HUNG_CALLS)
            ]
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(lambda c=caller: c.use_tool(VOUCHER, once=True))
            await self.deployment.wait_until(self.are_slots_free, "all slots are free")
            await self.assert_no_breach(Property.AT_MOST_ONCE, Property.NOT_RUN)

        self.run_script(script)

    async def are_slots_free(self):
        for name in self.list_names(f"sidecar-{TOOL}-"):
            reply = await self.deployment.request(name, "GET", STATUS_PATH)
            if reply.decode(ProcessStatus).load.running:
                return False
        return True
