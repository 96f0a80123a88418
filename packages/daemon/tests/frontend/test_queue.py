import unittest

import trio
import trio.testing

from frontend.support import build_target
from goldcrestvane_daemon.frontend.affinity import Affinity
from goldcrestvane_daemon.frontend.queue import ServiceQueue
from goldcrestvane_daemon.frontend.rate_limits import TargetRateLimits
from goldcrestvane_daemon.frontend.refusals import NoTarget, Overloaded
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.placement.inputs import PlacementOptions
from goldcrestvane_daemon.placement.prompt_reading import Prompt, PromptRequest
from goldcrestvane_daemon.targets import ReportedLoad, TargetState, TargetTable


class ServiceQueueTests(unittest.TestCase):
    def setUp(self):
        self.table = TargetTable()
        self.health = HealthTracker(PlacementOptions())
        self.queue = ServiceQueue(
            "s1",
            table=self.table,
            health=self.health,
            rate_limits=TargetRateLimits(),
            domain="d1",
        )

    def run_script(self, script):
        trio.run(script, clock=trio.testing.MockClock(autojump_threshold=0))

    def add_targets(self, count, slots=1):
        for n in range(count):
            self.table.put(build_target(1000 + n, instance=f"t{n}", slots=slots))

    async def acquire(self, *, priority=0, seconds_left=3.0, key=None, account=None):
        return await self.queue.acquire(
            account=account,
            affinity=Affinity(key=key),
            priority=priority,
            arrived=trio.current_time(),
            seconds_left=seconds_left,
        )

    async def send_prompt(self, prompt):
        return await self.queue.acquire(
            affinity=Affinity(),
            priority=0,
            arrived=trio.current_time(),
            seconds_left=3.0,
            prompt=PromptRequest(prompt),
        )

    def test_short_prompts_avoid_the_target_that_reads_a_long_one(self):
        # A short prompt would wait for the long one, though the other target has one
        # call more but reads nothing.
        async def script():
            self.add_targets(2, slots=16)
            for target in self.table.list_all():
                load = ReportedLoad(running=0, waiting=0, slots=16, slowdown=1.0)
                self.queue.update_load(target, load)
            long = await self.send_prompt(Prompt((("document", 14_000),), 14_000))
            for _ in range(3):
                short = await self.send_prompt(Prompt((("question", 300),), 300))
                self.assertNotEqual(short, long)

        self.run_script(script)

    def test_prompts_do_not_count_where_targets_report_no_slowdown(self):
        # Calls of other deployments would be placed in another way than before.
        async def script():
            self.add_targets(2, slots=16)
            sent = [
                await self.send_prompt(Prompt((("document", tokens),), tokens))
                for tokens in (14_000, 300, 300, 300)
            ]
            self.assertEqual(sent[0], sent[2])
            self.assertEqual(sent[1], sent[3])

        self.run_script(script)

    async def acquire_long(self):
        return await self.acquire(seconds_left=60.0)

    def test_call_is_refused_at_once_when_there_are_no_targets(self):
        async def script():
            with self.assertRaises(NoTarget) as caught:
                await self.acquire()
            self.assertGreater(caught.exception.retry_after, 0)
            self.assertEqual(trio.current_time(), 0)

        self.run_script(script)

    def test_draining_targets_get_no_call(self):
        async def script():
            draining = build_target(1, state=TargetState.DRAINING)
            self.table.put(draining)
            with self.assertRaises(NoTarget):
                await self.acquire()

        self.run_script(script)

    def test_waiting_calls_are_ordered_by_priority(self):
        async def script():
            self.add_targets(1)
            held = await self.acquire()
            order = []

            async def wait(name, priority):
                target = await self.acquire(priority=priority)
                order.append(name)
                self.queue.release(target)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait, "late", 2)
                await trio.sleep(0.01)
                nursery.start_soon(wait, "urgent", 0)
                await trio.sleep(0.01)
                self.queue.release(held)
            self.assertEqual(order, ["urgent", "late"])

        self.run_script(script)

    def test_call_of_another_account_precedes_the_calls_of_a_busy_one(self):
        """Guards against an account that fills the queue and displaces the others."""

        async def script():
            self.add_targets(1)
            held = await self.acquire(account="busy")
            order = []

            async def wait(account):
                target = await self.acquire(account=account)
                order.append(account)
                self.queue.release(target, account=account)

            async with trio.open_nursery() as nursery:
                for account in ("busy", "busy", "small", "busy", None):
                    nursery.start_soon(wait, account)
                    await trio.sleep(0.01)
                self.queue.release(held, account="busy")
            self.assertEqual(order, ["small", None, "busy", "busy", "busy"])

        self.run_script(script)

    def test_full_targets_leave_the_calls_of_accounts_in_this_queue(self):
        """Guards against calls that wait at the targets, in order of arrival.

        Calls without an account are sent as before.
        """

        async def script():
            self.add_targets(1, slots=4)
            target = await self.acquire(account="busy")
            self.queue.update_load(
                target, ReportedLoad(running=4, waiting=4, slots=4, slowdown=None)
            )
            await trio.sleep(1.0)
            with trio.move_on_after(0.5):
                await self.acquire(account="busy")
                self.fail("The call was sent to a target with a queue.")
            await self.acquire()
            self.queue.release(target, account="busy")

        self.run_script(script)

    def test_cancelled_waiting_call_does_not_occupy_a_slot(self):
        async def script():
            self.add_targets(1)
            target = await self.acquire()
            with trio.move_on_after(0.5):
                await self.acquire()
            self.queue.release(target)
            self.assertEqual(self.queue.waiting_count, 0)
            with trio.fail_after(0.1):
                await self.acquire()

        self.run_script(script)

    def test_call_is_refused_at_once_when_the_expected_wait_exceeds_its_time_left(self):
        async def script():
            self.add_targets(1)
            held = await self.acquire()
            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(self.acquire_long)
                await trio.sleep(0.01)
                # The assumed run time is 0.3 s, so twenty calls take longer than 3 s.
                with self.assertRaises(Overloaded) as caught:
                    await self.acquire(seconds_left=3.0)
                self.assertAlmostEqual(caught.exception.retry_after, 3.0)
                nursery.cancel_scope.cancel()
            self.queue.release(held)

        self.run_script(script)

    def test_slow_target_gets_fewer_calls(self):
        """One of two targets becomes four times slower than the other."""

        async def script():
            self.add_targets(2, slots=12)
            for number in range(60):
                slow = 0.05 if number < 20 else 0.2
                for name, event_seconds in (("t0", slow), ("t1", 0.05)):
                    slowness = self.queue.compute_slowness(event_seconds)
                    self.health.record_success(name, slowness=slowness)
            counts = {"t0": 0, "t1": 0}
            for _ in range(10):
                counts[(await self.acquire()).instance] += 1
            self.assertLessEqual(counts["t0"], 4)

        self.run_script(script)

    def test_targets_that_slow_down_together_keep_their_slots(self):
        """Guards against refusals in a burst that slows all targets down equally.

        Each event takes four times as long at every target.
        """

        async def script():
            self.add_targets(3, slots=12)
            for number in range(60):
                event_seconds = 0.03 if number < 30 else 0.12
                for name in ("t0", "t1", "t2"):
                    slowness = self.queue.compute_slowness(event_seconds)
                    self.health.record_success(name, slowness=slowness)
            with trio.fail_after(0.1):
                for _ in range(36):
                    await self.acquire()

        self.run_script(script)

    def test_events_that_arrive_together_do_not_count_for_slowness(self):
        self.assertIsNone(self.queue.compute_slowness(0.00001))
        self.assertEqual(self.queue.compute_slowness(0.03), 1.0)

    def test_reported_load_of_other_frontends_counts_until_it_expires(self):
        async def script():
            self.add_targets(2, slots=4)
            first = self.table.get("t0")
            load = ReportedLoad(running=4, waiting=2, slots=4)
            self.queue.update_load(first, load)
            for _ in range(3):
                self.assertEqual((await self.acquire()).instance, "t1")
            await trio.sleep(1.0)
            self.assertEqual((await self.acquire()).instance, "t0")

        self.run_script(script)


if __name__ == "__main__":
    unittest.main()
