import trio
from bench.checker.records import AttemptOutcome, Property
from bench.faultrun.exchange import CallPlan
from bench.faultrun.plan import TOOL, VOUCHER
from support import DeploymentTestCase

TOOL_SECONDS = 1.5
LONG_TOOL_SECONDS = 3.0
SHORT_CALL_TIMEOUT_SECONDS = 2.0


class AtMostOnceTests(DeploymentTestCase):
    """Injects faults at each step from the claim of a call to its recorded outcome."""

    async def begin_call(self, nursery, caller):
        """Starts a voucher call and returns the sidecar of the tool that runs it."""
        self.endings = []
        self.marker = caller.build_next_marker()

        async def call():
            self.endings.append(await caller.use_tool(VOUCHER, at_most_once=True))

        nursery.start_soon(call)
        return await self.find_busy_sidecar(TOOL)

    async def retry_last_call(self, caller):
        """Resends the last call with its sequence number through each entry."""
        sequence = caller.sequence - 1
        body = {"marker": self.marker}
        plan = CallPlan(
            path=f"/v1/tools/{TOOL}/{VOUCHER}", body=body, at_most_once=True
        )
        outcomes = []
        for entry in self.list_names("entry-"):
            ending = await caller.attempt(plan, sequence=sequence, entry=entry)
            outcomes.append(ending.outcome)
        return outcomes

    async def assert_outcome(self, caller, *, outcome, effects):
        ending = self.endings[0]
        self.assertEqual(ending.outcome, outcome, ending.error)
        self.assertEqual(await self.retry_last_call(caller), [outcome, outcome])
        next_call = await caller.use_tool(VOUCHER, at_most_once=True)
        self.assertEqual(next_call.outcome, AttemptOutcome.ANSWERED, next_call.error)
        await self.assert_no_violation(
            Property.AT_MOST_ONCE,
            Property.NOT_RUN,
            Property.ORDER,
            Property.WHOLE_ANSWERS,
        )
        self.assertEqual(self.count_effects(self.marker), effects)

    def run_during_tool_call(
        self, inject_fault, *, outcome, effects, seconds=TOOL_SECONDS
    ):
        """Injects a fault while the tool runs the call, before its side effect."""

        async def scenario():
            caller = await self.begin()
            await self.set_tool_faults(delay=seconds)
            async with trio.open_nursery() as nursery:
                sidecar = await self.begin_call(nursery, caller)
                owner = await self.read_owner(caller)
                await inject_fault(owner, sidecar)
            await self.restore_deployment()
            await self.assert_outcome(caller, outcome=outcome, effects=effects)

        self.run_scenario(scenario)

    async def begin_with_engine_sidecar_as_owner(self):
        """Begins a program that is owned by the sidecar of an engine, not of a tool."""
        for _ in range(200):
            caller = await self.begin()
            if TOOL not in await self.read_owner(caller):
                return caller
            await trio.sleep(0.1)
        raise AssertionError("Every program is owned by the sidecar of a tool.")

    def run_with_engine_sidecar_as_owner(
        self, inject_fault, *, outcome, effects, faults
    ):
        async def scenario():
            caller = await self.begin_with_engine_sidecar_as_owner()
            await self.set_tool_faults(**faults)
            async with trio.open_nursery() as nursery:
                sidecar = await self.begin_call(nursery, caller)
                await inject_fault(await self.read_owner(caller), sidecar)
            await self.restore_deployment()
            await self.assert_outcome(caller, outcome=outcome, effects=effects)

        self.run_scenario(scenario)

    def test_call_is_answered_when_owner_dies_while_tool_runs(self):
        async def inject_fault(owner, sidecar):
            self.kill(owner)

        self.run_with_engine_sidecar_as_owner(
            inject_fault,
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            faults={"delay": TOOL_SECONDS},
        )

    def test_call_is_answered_when_suspended_owner_resumes_after_takeover(self):
        async def inject_fault(owner, sidecar):
            self.suspend(owner)
            with trio.fail_after(60.0):
                while not self.endings:
                    await trio.sleep(0.05)
            self.resume(owner)

        self.run_with_engine_sidecar_as_owner(
            inject_fault,
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            faults={"delay": TOOL_SECONDS},
        )

    def test_call_is_answered_when_owner_and_entry_die_while_tool_runs(self):
        async def inject_fault(owner, sidecar):
            self.kill(owner)
            self.kill("entry-0")

        self.run_with_engine_sidecar_as_owner(
            inject_fault,
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            faults={"delay": TOOL_SECONDS},
        )

    def test_outcome_is_unknown_when_tool_sidecar_dies_while_tool_runs(self):
        async def inject_fault(owner, sidecar):
            self.kill(sidecar)

        self.run_with_engine_sidecar_as_owner(
            inject_fault,
            outcome=AttemptOutcome.UNKNOWN,
            effects=0,
            faults={"delay": TOOL_SECONDS},
        )

    def test_call_is_answered_when_suspended_tool_sidecar_resumes(self):
        async def inject_fault(owner, sidecar):
            self.suspend(sidecar)
            await trio.sleep(TOOL_SECONDS * 2)
            self.resume(sidecar)

        self.run_with_engine_sidecar_as_owner(
            inject_fault,
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            faults={"delay": TOOL_SECONDS},
        )

    def test_outcome_is_unknown_when_owner_and_tool_sidecar_die(self):
        async def inject_fault(owner, sidecar):
            self.kill(sidecar)
            self.kill(owner)

        self.run_with_engine_sidecar_as_owner(
            inject_fault,
            outcome=AttemptOutcome.UNKNOWN,
            effects=0,
            faults={"delay": TOOL_SECONDS},
        )

    def test_outcome_is_unknown_when_tool_dies_before_its_side_effect(self):
        async def inject_fault(owner, sidecar):
            await self.recorder.kill_target(sidecar.replace("sidecar", "target"))

        self.run_during_tool_call(
            inject_fault, outcome=AttemptOutcome.UNKNOWN, effects=0
        )

    def test_call_is_answered_when_all_entries_die_while_tool_runs(self):
        async def inject_fault(owner, sidecar):
            for name in self.list_names("entry-"):
                self.kill(name)
            for name in self.list_names("entry-"):
                await self.deployment.restart(name)

        self.run_during_tool_call(
            inject_fault, outcome=AttemptOutcome.ANSWERED, effects=1
        )

    def test_call_is_answered_when_suspended_entries_resume(self):
        async def inject_fault(owner, sidecar):
            for name in self.list_names("entry-"):
                self.suspend(name)
            await trio.sleep(TOOL_SECONDS)
            for name in self.list_names("entry-"):
                self.resume(name)

        self.run_during_tool_call(
            inject_fault, outcome=AttemptOutcome.ANSWERED, effects=1
        )

    def run_with_faults(self, *, outcome, effects, tool=None, platform=None, **options):
        async def scenario():
            caller = await self.begin(**options)
            self.marker = caller.build_next_marker()
            await self.set_tool_faults(**(tool or {}))
            await self.set_faults("objectapi", **(platform or {}))
            self.endings = [await caller.use_tool(VOUCHER, at_most_once=True)]
            await self.restore_deployment()
            await self.assert_outcome(caller, outcome=outcome, effects=effects)

        self.run_scenario(scenario)

    def test_outcome_is_unknown_when_tool_response_is_lost(self):
        self.run_with_faults(
            outcome=AttemptOutcome.UNKNOWN, effects=1, tool={"close_after_effect": 1}
        )

    def test_outcome_is_unknown_when_tool_connection_closes_before_side_effect(self):
        self.run_with_faults(
            outcome=AttemptOutcome.UNKNOWN, effects=0, tool={"close_before_effect": 1}
        )

    def test_outcome_is_unknown_when_tool_hangs(self):
        self.run_with_faults(
            outcome=AttemptOutcome.UNKNOWN,
            effects=0,
            tool={"hang": 1},
            call_timeout_seconds=SHORT_CALL_TIMEOUT_SECONDS,
        )

    def test_call_is_answered_when_journal_write_responses_are_lost(self):
        self.run_with_faults(
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            platform={"lose_answers": 3, "lose_prefix": "journal/"},
        )

    def test_call_is_not_run_during_outage_and_runs_once_afterwards(self):
        async def scenario():
            caller = await self.begin()
            self.marker = caller.build_next_marker()
            await self.set_faults("objectapi", outage=True)
            body = {"marker": self.marker}
            plan = CallPlan(
                path=f"/v1/tools/{TOOL}/{VOUCHER}", body=body, at_most_once=True
            )
            refused = await caller.attempt(plan)
            self.assertEqual(refused.outcome, AttemptOutcome.NOT_RUN, refused.error)
            self.assertIsNotNone(refused.retry_after)
            await self.set_faults("objectapi")
            self.endings = [await caller.use_tool(VOUCHER, at_most_once=True)]
            await self.assert_outcome(
                caller, outcome=AttemptOutcome.ANSWERED, effects=1
            )

        self.run_scenario(scenario)

    def test_call_is_answered_when_owner_dies_after_lost_claim_response(self):
        async def inject_fault(owner, sidecar):
            await self.set_faults("objectapi", lose_answers=2, lose_prefix="journal/")
            self.kill(owner)

        self.run_with_engine_sidecar_as_owner(
            inject_fault,
            outcome=AttemptOutcome.ANSWERED,
            effects=1,
            faults={"delay": LONG_TOOL_SECONDS},
        )
