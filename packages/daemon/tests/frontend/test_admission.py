import unittest

import trio
import trio.testing

from frontend.support import build_target
from goldcrestvane_daemon.frontend.admission import (
    MAX_RETURN_SECONDS,
    MIN_RETURN_SECONDS,
    RATE_SECONDS,
    ReturnSchedule,
    Standing,
    count_headroom,
    find_standing,
    order_waiting,
)
from goldcrestvane_daemon.frontend.queue import ServiceQueue
from goldcrestvane_daemon.frontend.refusals import Overloaded
from goldcrestvane_daemon.placement.facts import PlacementOptions
from goldcrestvane_daemon.placement.health import HealthView
from goldcrestvane_daemon.targets import TargetTable

SLOTS = 8
PROGRAM_SECONDS = 3.0


class OrderWaitingTests(unittest.TestCase):
    def test_urgent_calls_of_a_burst_go_first(self):
        self.assertLess(order_waiting(10.3, 0), order_waiting(10.0, 1))

    def test_a_less_urgent_call_never_starves(self):
        self.assertLess(order_waiting(10.0, 2), order_waiting(11.2, 0))

    def test_programs_under_way_go_first_and_late_ones_last(self):
        order = (
            Standing.UNDER_WAY,
            Standing.NEW,
            Standing.RETURNED,
            Standing.LATE,
        )
        places = [order_waiting(10.0, 0, standing) for standing in order]
        self.assertEqual(places, sorted(places))

    def test_a_late_program_never_starves(self):
        late = order_waiting(10.0, 0, Standing.LATE)
        self.assertLess(late, order_waiting(11.1, 0, Standing.UNDER_WAY))


class StandingTests(unittest.TestCase):
    def test_standing_by_what_the_program_has_done(self):
        cases = (
            (False, False, 2000.0, Standing.NEW),
            (False, True, 2000.0, Standing.RETURNED),
            (True, False, 2000.0, Standing.UNDER_WAY),
            (True, True, None, Standing.UNDER_WAY),
            (True, False, -5.0, Standing.LATE),
        )
        for begun, turned_away, left, expected in cases:
            standing = find_standing(
                begun=begun, turned_away=turned_away, program_ms=left
            )
            self.assertIs(standing, expected)

    def test_only_beginnings_leave_places_free(self):
        self.assertEqual(count_headroom(16, Standing.NEW), 7)
        self.assertEqual(count_headroom(16, Standing.RETURNED), 7)
        self.assertEqual(count_headroom(16, Standing.LATE), 0)
        self.assertEqual(count_headroom(1, Standing.NEW), 0)


class ReturnScheduleTests(unittest.TestCase):
    def test_callers_are_told_different_times(self):
        """Replays a burst that is turned away while ten programs a second begin."""
        schedule = ReturnSchedule()
        for number in range(20):
            schedule.note_admission(number * 0.1)
        times = [schedule.book(2.0) for _ in range(5)]
        self.assertEqual(times, sorted(set(times)))
        self.assertAlmostEqual(times[4] - times[3], RATE_SECONDS / 21)

    def test_times_stay_within_their_limits(self):
        schedule = ReturnSchedule()
        times = [schedule.book(100.0) for _ in range(50)]
        self.assertGreaterEqual(min(times) + 1e-6, MIN_RETURN_SECONDS)
        self.assertLessEqual(max(times), MAX_RETURN_SECONDS)


class AdmissionTests(unittest.TestCase):
    def setUp(self):
        table = TargetTable()
        table.put(build_target(1, instance="t0", slots=SLOTS))
        self.queue = ServiceQueue(
            "s1", table=table, health=HealthView(PlacementOptions()), domain="d1"
        )

    def run_script(self, script):
        trio.run(script, clock=trio.testing.MockClock(autojump_threshold=0))

    async def acquire(self, standing=Standing.UNDER_WAY):
        return await self.queue.acquire(
            key=None,
            priority=0,
            arrived=trio.current_time(),
            seconds_left=3.0,
            standing=standing,
            program_seconds=PROGRAM_SECONDS,
        )

    async def fill(self, count):
        for _ in range(count):
            await self.acquire()

    def test_a_program_that_cannot_begin_is_told_soon_when_to_come_back(self):
        """Replays a service whose programs under way need all of its places."""

        async def script():
            await self.fill(SLOTS)
            for standing in (Standing.NEW, Standing.RETURNED):
                began = trio.current_time()
                with self.assertRaises(Overloaded) as caught:
                    await self.acquire(standing)
                waited = trio.current_time() - began
                self.assertLessEqual(waited, 0.1 * PROGRAM_SECONDS + 0.001)
                self.assertGreater(caught.exception.retry_after, 0)

        self.run_script(script)

    def test_the_last_places_are_kept_for_programs_under_way(self):
        async def script():
            await self.fill(SLOTS - count_headroom(SLOTS, Standing.NEW))
            with self.assertRaises(Overloaded):
                await self.acquire(Standing.NEW)
            with trio.fail_after(0.01):
                await self.acquire(Standing.UNDER_WAY)

        self.run_script(script)

    def test_a_waiting_beginning_does_not_block_programs_under_way(self):
        async def script():
            await self.fill(SLOTS - count_headroom(SLOTS, Standing.NEW))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.expect_refusal)
                await trio.sleep(0.01)
                with trio.fail_after(0.05):
                    await self.acquire(Standing.LATE)

        self.run_script(script)

    async def expect_refusal(self):
        with self.assertRaises(Overloaded):
            await self.acquire(Standing.NEW)

    def test_a_beginning_waits_a_part_of_its_programs_time(self):
        async def script():
            await self.fill(SLOTS - 1)
            last = await self.acquire()
            async with trio.open_nursery() as nursery:

                async def end_calls():
                    await trio.sleep(0.1)
                    for _ in range(count_headroom(SLOTS, Standing.NEW) + 1):
                        self.queue.release(last, run_seconds=0.3)

                nursery.start_soon(end_calls)
                await self.acquire(Standing.NEW)
            self.assertLess(trio.current_time(), 0.15)

        self.run_script(script)


if __name__ == "__main__":
    unittest.main()
