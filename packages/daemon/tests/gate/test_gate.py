import unittest

import trio
import trio.testing

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    DeadlineExceeded,
    Outcome,
    OutcomeUnknown,
    Overloaded,
    ServiceError,
    Unavailable,
    WrongOwner,
)
from goldcrestvane_common.messages import (
    DispatchRequest,
)
from goldcrestvane_common.settings import Priority, ServiceKind
from goldcrestvane_daemon.gate import Gate, GateOptions

ONE_SLOT = GateOptions(slots=1, queue_limit=4, first_service_seconds=1.0)


def build_request(call, **changes):
    fields = {
        "call": call,
        "incarnation": "i1",
        "shard": 1,
        "epoch": 1,
        "team": "shop",
        "program": f"program-{call}",
        "service": "fitting-llm",
        "kind": ServiceKind.MODEL,
        "deadline_seconds": 60.0,
    }
    return DispatchRequest(**(fields | changes))


class GateTestCase(unittest.TestCase):
    def run_gate(self, script, options=ONE_SLOT):
        """Runs a script with a gate under a mock clock that skips idle time."""
        self.started = []
        self.ended = {}

        async def main():
            async with trio.open_nursery() as nursery:
                await script(Gate(options), nursery)

        trio._core._run._r.seed(1)
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def hold(self, gate, request, seconds=1.0):
        """Runs one call and records its start and its outcome."""
        try:
            async with gate.admit(request):
                self.started.append(request.call)
                await trio.sleep(seconds)
            self.ended[request.call] = "done"
        except ServiceError as error:
            self.ended[request.call] = error

    async def start_calls(self, gate, nursery, *requests, seconds=1.0):
        """Starts calls one after another, so that they arrive in order."""
        for request in requests:
            nursery.start_soon(self.hold, gate, request, seconds)
            await trio.testing.wait_all_tasks_blocked()


class OrderTests(GateTestCase):
    def test_calls_start_by_priority_slack_attained_service_and_arrival(self):
        async def script(gate, nursery):
            await self.start_calls(
                gate,
                nursery,
                build_request("first"),
                build_request("batch", priority=Priority.BATCH),
                build_request("long", attained_tokens=50_000),
                build_request("short", attained_tokens=100),
                build_request("short-later", attained_tokens=0),
                build_request("urgent", attained_tokens=90_000, deadline_seconds=4),
                build_request("person", priority=Priority.INTERACTIVE),
            )

        self.run_gate(script, GateOptions(slots=1, first_service_seconds=0.5))
        self.assertEqual(
            self.started,
            ["first", "person", "urgent", "short", "short-later", "long", "batch"],
        )

    def test_class_does_not_starve_under_a_flood_of_a_higher_one(self):
        async def script(gate, nursery):
            await self.start_calls(
                gate, nursery, build_request("batch", priority=Priority.BATCH)
            )
            for number in range(200):
                nursery.start_soon(
                    self.hold,
                    gate,
                    build_request(
                        f"person-{number}",
                        priority=Priority.INTERACTIVE,
                        deadline_seconds=8,
                    ),
                )
                if number == 2:
                    nursery.start_soon(
                        self.hold,
                        gate,
                        build_request("late-batch", priority=Priority.BATCH),
                    )
                await trio.sleep(0.5)

        self.run_gate(script, GateOptions(slots=1, queue_limit=16, aging_seconds=10.0))
        self.assertEqual(self.ended["late-batch"], "done")
        self.assertLess(self.started.index("late-batch"), 60)

    def test_full_queue_reserves_a_share_for_each_class(self):
        async def script(gate, nursery):
            await self.start_calls(
                gate,
                nursery,
                *(
                    build_request(f"p{number}", priority=Priority.INTERACTIVE)
                    for number in range(5)
                ),
                build_request("b1", priority=Priority.BATCH),
                build_request("b2", priority=Priority.BATCH),
            )

        self.run_gate(script, GateOptions(slots=1, queue_limit=4, class_share=0.25))
        self.assertEqual(self.ended["b1"], "done")
        self.assertIsInstance(self.ended["b2"], Overloaded)
        self.assertIsInstance(self.ended["p4"], Overloaded)


class RejectionTests(GateTestCase):
    def test_full_queue_rejects_immediately_with_a_retry_time(self):
        async def script(gate, nursery):
            names = [f"c{number}" for number in range(6)]
            await self.start_calls(gate, nursery, *map(build_request, names))
            self.assertEqual(trio.current_time(), self.begin)
            error = self.ended["c5"]
            self.assertIsInstance(error, Overloaded)
            self.assertEqual(error.call_outcome, Outcome.NOT_RUN)
            self.assertEqual(error.retry_after, 5.0)

        async def timed(gate, nursery):
            self.begin = trio.current_time()
            await script(gate, nursery)

        self.run_gate(timed)

    def test_expected_wait_beyond_the_deadline_is_rejected_immediately(self):
        async def script(gate, nursery):
            await self.start_calls(
                gate,
                nursery,
                build_request("runs"),
                build_request("waits"),
                build_request("late", deadline_seconds=0.5),
            )
            self.assertIsInstance(self.ended["late"], Overloaded)
            self.assertEqual(gate.load().queued, 1)

        self.run_gate(script)

    def test_expected_wait_follows_measured_durations(self):
        async def script(gate, nursery):
            await self.hold(gate, build_request("measured"), 10.0)
            await self.start_calls(
                gate,
                nursery,
                build_request("runs"),
                build_request("late", deadline_seconds=9),
            )
            self.assertIsInstance(self.ended["late"], Overloaded)

        self.run_gate(script)

    def test_call_without_time_left_is_rejected_even_if_a_slot_is_free(self):
        async def script(gate, nursery):
            await self.hold(gate, build_request("late", deadline_seconds=0.0))
            self.assertIsInstance(self.ended["late"], DeadlineExceeded)
            self.assertEqual(self.started, [])

        self.run_gate(script)

    def test_queued_call_fails_at_its_deadline(self):
        async def script(gate, nursery):
            begin = trio.current_time()
            await self.start_calls(gate, nursery, build_request("hangs"), seconds=50.0)
            await self.hold(gate, build_request("late", deadline_seconds=3.0))
            self.assertEqual(trio.current_time(), begin + 3.0)
            self.assertIsInstance(self.ended["late"], DeadlineExceeded)
            self.assertEqual(gate.load().queued, 0)

        self.run_gate(script)

    def test_leaving_target_rejects_new_and_queued_calls_and_finishes_running_ones(
        self,
    ):
        async def script(gate, nursery):
            await self.start_calls(
                gate, nursery, build_request("runs"), build_request("waits")
            )
            gate.close()
            await self.hold(gate, build_request("new"))
            await gate.wait_idle()
            for call in ("waits", "new"):
                self.assertIsInstance(self.ended[call], Unavailable)
                self.assertEqual(self.ended[call].call_outcome, Outcome.NOT_RUN)
            self.assertEqual(self.started, ["runs"])

        self.run_gate(script)


class SlotTests(GateTestCase):
    def check_slot_is_free(self, gate):
        self.assertEqual(gate.load().running, 0)
        self.assertEqual(gate.load().queued, 0)

    def test_slot_is_released_when_the_call_fails(self):
        async def script(gate, nursery):
            with self.assertRaises(OSError):
                async with gate.admit(build_request("fails")):
                    raise OSError("target closed the connection")
            self.check_slot_is_free(gate)

        self.run_gate(script)

    def test_slot_is_released_when_the_caller_cancels(self):
        async def script(gate, nursery):
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as calls:
                    await self.start_calls(
                        gate, calls, build_request("runs"), build_request("waits")
                    )
                    scope.cancel()
            self.check_slot_is_free(gate)

        self.run_gate(script)

    def test_hung_call_fails_at_its_deadline_with_its_outcome(self):
        async def script(gate, nursery):
            claimed = build_request("claimed", deadline_seconds=5, idempotent=False)
            repeatable = build_request("repeatable", deadline_seconds=5)
            await self.hold(gate, claimed, 1e6)
            await self.hold(gate, repeatable, 1e6)
            self.assertIsInstance(self.ended["claimed"], OutcomeUnknown)
            self.assertIsInstance(self.ended["repeatable"], AnswerIncomplete)
            self.check_slot_is_free(gate)

        self.run_gate(script)

    def test_slot_change_starts_queued_calls_and_keeps_running_ones(self):
        async def script(gate, nursery):
            names = ["c0", "c1", "c2"]
            await self.start_calls(gate, nursery, *map(build_request, names))
            gate.apply(GateOptions(slots=2))
            self.assertEqual(gate.load().running, 2)
            gate.apply(GateOptions(slots=1))
            await trio.sleep(1.5)
            self.assertEqual(gate.load().running, 1)
            self.assertEqual(gate.load().slots, 1)

        self.run_gate(script)

    def test_call_that_must_run_alone_shares_the_target_with_no_other(self):
        async def script(gate, nursery):
            beside = []

            async def run_alone():
                async with gate.admit(build_request("suspect", alone=True)):
                    for _ in range(4):
                        beside.append(gate.load().running)
                        await trio.sleep(0.5)

            await self.start_calls(
                gate, nursery, build_request("c0"), build_request("c1")
            )
            nursery.start_soon(run_alone)
            await trio.testing.wait_all_tasks_blocked()
            await self.start_calls(gate, nursery, *map(build_request, ["c2", "c3"]))
            self.assertEqual(self.started, ["c0", "c1"])
            await trio.sleep(10)
            self.assertEqual(beside, [1, 1, 1, 1])
            self.assertEqual(self.started[:2], ["c0", "c1"])
            self.assertEqual(set(self.started[2:]), {"c2", "c3"})

        self.run_gate(script, GateOptions(slots=3))


class FencingTests(GateTestCase):
    def test_older_epoch_of_only_the_fenced_shard_is_rejected(self):
        async def script(gate, nursery):
            gate.fence(1, 5)
            await self.hold(gate, build_request("old", epoch=4))
            await self.hold(gate, build_request("present", epoch=5))
            await self.hold(gate, build_request("other", shard=2, epoch=1))
            self.assertIsInstance(self.ended["old"], WrongOwner)
            self.assertEqual(self.ended["old"].call_outcome, Outcome.NOT_RUN)
            self.assertEqual(self.started, ["present", "other"])

        self.run_gate(script)

    def test_newer_epoch_of_a_call_rejects_queued_calls_of_the_former_owner(self):
        async def script(gate, nursery):
            await self.start_calls(
                gate,
                nursery,
                build_request("runs"),
                build_request("old", epoch=1),
                build_request("new", epoch=2),
            )
            self.assertIsInstance(self.ended["old"], WrongOwner)
            await trio.sleep(5)
            self.assertEqual(self.started, ["runs", "new"])

        self.run_gate(script)

    def test_fence_between_grant_and_start_rejects_the_call(self):
        async def script(gate, nursery):
            async with gate.admit(build_request("runs")):
                await self.start_calls(gate, nursery, build_request("old"))
            # The slot was just granted, and the waiting task has not run yet.
            self.assertEqual(gate.load().running, 1)
            gate.fence(1, 2)
            await trio.testing.wait_all_tasks_blocked()
            self.assertIsInstance(self.ended["old"], WrongOwner)
            self.assertEqual(gate.load().running, 0)

        self.run_gate(script)


if __name__ == "__main__":
    unittest.main()
