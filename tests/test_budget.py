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
from support import DeploymentTestCase

from goldcrestvane_common.messages import (
    ProcessStatus,
)
from goldcrestvane_common.paths import (
    STATUS_PATH,
)

MAX_CALLS = 200
ENGINE_SECONDS = 1.0
SHORT_CALL_TIMEOUT_SECONDS = 1.5
HUNG_CALLS = 4


class BudgetTests(DeploymentTestCase):
    async def repeat_until_refused(self, caller, send_call):
        """Sends calls until one is refused because the budget is exceeded."""
        for _ in range(MAX_CALLS):
            ending = await send_call(caller)
            if ending.outcome is AttemptOutcome.REFUSED_FINAL:
                self.assertEqual(ending.kind, "budget_exceeded")
                return
            self.assertEqual(ending.outcome, AttemptOutcome.ANSWERED, ending.error)
        raise AssertionError(f"{caller.key} was not refused after {MAX_CALLS} calls.")

    async def begin_tight(self):
        return await self.begin(kind=TIGHT, budget=TIGHT_BUDGET)

    def test_program_is_refused_when_its_call_budget_is_exhausted(self):
        async def scenario():
            caller = await self.begin_tight()
            await self.repeat_until_refused(
                caller, lambda c: c.use_tool(LOOK_UP, at_most_once=False)
            )
            await self.assert_no_violation(Property.BUDGET)
            self.assertEqual(caller.sequence, TIGHT_BUDGET.calls + 1)

        self.run_scenario(scenario)

    def test_program_is_refused_when_its_token_budget_is_exhausted(self):
        async def scenario():
            caller = await self.begin_tight()
            text = " ".join(["shoe"] * 25)
            await self.repeat_until_refused(caller, lambda c: c.chat(text=text))
            await self.assert_no_violation(Property.BUDGET)

        self.run_scenario(scenario)

    def test_child_programs_share_the_budget_of_their_parent(self):
        async def scenario():
            caller = await self.begin_tight()
            children = [
                await self.begin(f"{caller.key.program}/{number}", kind=FITTING)
                for number in range(3)
            ]
            async with trio.open_nursery() as nursery:
                for child in children:
                    nursery.start_soon(
                        self.repeat_until_refused,
                        child,
                        lambda c: c.use_tool(VOUCHER, at_most_once=True),
                    )
            await self.assert_no_violation(Property.BUDGET)
            effect_markers = {
                effect.marker
                for effect in self.evidence.effects
                if f":{caller.key.program}/" in effect.marker
            }
            self.assertEqual(len(effect_markers), TIGHT_BUDGET.calls)

        self.run_scenario(scenario)

    def test_budget_holds_when_owner_dies_with_a_reservation(self):
        async def scenario():
            caller = await self.begin_tight()
            await self.set_engine_faults(delay=ENGINE_SECONDS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(caller.chat)
                await self.find_busy_sidecar(MODEL)
                self.kill(await self.read_owner(caller))
            await self.set_engine_faults()
            await self.repeat_until_refused(caller, lambda c: c.chat())
            await self.restore_deployment()
            await self.assert_no_violation(Property.BUDGET, Property.WHOLE_ANSWERS)

        self.run_scenario(scenario)

    def test_programs_of_a_team_share_the_team_budget(self):
        async def scenario():
            self.evidence.team_budgets = {SMALL_TEAM: SMALL_TEAM_BUDGET}
            callers = [await self.begin(team=SMALL_TEAM) for _ in range(8)]
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(
                        self.repeat_until_refused,
                        caller,
                        lambda c: c.use_tool(LOOK_UP, at_most_once=False),
                    )
            await self.assert_no_violation(Property.BUDGET)

        self.run_scenario(scenario)

    def test_calls_to_hung_tools_time_out_and_free_their_slots(self):
        async def scenario():
            await self.set_tool_faults(hang=HUNG_CALLS)
            callers = [
                await self.begin(call_timeout_seconds=SHORT_CALL_TIMEOUT_SECONDS)
                for _ in range(HUNG_CALLS)
            ]
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(
                        lambda c=caller: c.use_tool(VOUCHER, at_most_once=True)
                    )
            await self.deployment.wait_until(self.are_slots_free, "all slots are free")
            await self.assert_no_violation(Property.AT_MOST_ONCE, Property.NOT_RUN)

        self.run_scenario(scenario)

    async def are_slots_free(self):
        for name in self.list_names(f"sidecar-{TOOL}-"):
            response = await self.deployment.request(name, "GET", STATUS_PATH)
            if response.decode(ProcessStatus).load.running:
                return False
        return True
