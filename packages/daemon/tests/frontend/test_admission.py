import unittest

import trio
import trio.testing

from frontend.support import build_target
from goldcrestvane_daemon.frontend.admission import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    RATE_WINDOW_SECONDS,
    AdmissionClass,
    RetrySchedule,
    count_reserved_slots,
    get_admission_class,
    get_queue_key,
)
from goldcrestvane_daemon.frontend.affinity import Affinity
from goldcrestvane_daemon.frontend.queue import ServiceQueue
from goldcrestvane_daemon.frontend.rate_limits import TargetRateLimits
from goldcrestvane_daemon.frontend.refusals import Overloaded
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.placement.inputs import PlacementOptions
from goldcrestvane_daemon.targets import TargetTable

SLOTS = 8
PROGRAM_SECONDS = 3.0


class QueueKeyTests(unittest.TestCase):
    def test_urgent_calls_of_a_burst_go_first(self):
        self.assertLess(get_queue_key(10.3, 0), get_queue_key(10.0, 1))

    def test_less_urgent_call_does_not_starve(self):
        self.assertLess(get_queue_key(10.0, 2), get_queue_key(11.2, 0))

    def test_programs_in_progress_go_first_and_overdue_programs_last(self):
        order = (
            AdmissionClass.IN_PROGRESS,
            AdmissionClass.NEW,
            AdmissionClass.RETRIED,
            AdmissionClass.OVERDUE,
        )
        places = [get_queue_key(10.0, 0, admission_class) for admission_class in order]
        self.assertEqual(places, sorted(places))

    def test_overdue_program_does_not_starve(self):
        late = get_queue_key(10.0, 0, AdmissionClass.OVERDUE)
        self.assertLess(late, get_queue_key(11.1, 0, AdmissionClass.IN_PROGRESS))


class AdmissionClassTests(unittest.TestCase):
    def test_admission_class_depends_on_the_progress_of_the_program(self):
        cases = (
            (False, False, 2000.0, AdmissionClass.NEW),
            (False, True, 2000.0, AdmissionClass.RETRIED),
            (True, False, 2000.0, AdmissionClass.IN_PROGRESS),
            (True, True, None, AdmissionClass.IN_PROGRESS),
            (True, False, -5.0, AdmissionClass.OVERDUE),
        )
        for has_started, refused_before, left, expected in cases:
            admission_class = get_admission_class(
                has_started=has_started,
                refused_before=refused_before,
                program_ms_left=left,
            )
            self.assertIs(admission_class, expected)

    def test_only_starting_programs_leave_reserved_slots_free(self):
        self.assertEqual(count_reserved_slots(16, AdmissionClass.NEW), 7)
        self.assertEqual(count_reserved_slots(16, AdmissionClass.RETRIED), 7)
        self.assertEqual(count_reserved_slots(16, AdmissionClass.OVERDUE), 0)
        self.assertEqual(count_reserved_slots(1, AdmissionClass.NEW), 0)


class RetryScheduleTests(unittest.TestCase):
    def test_refused_callers_get_different_retry_times(self):
        """Guards against refused callers that all retry at the same time.

        Five callers are refused at once while ten programs per second start.
        """
        schedule = RetrySchedule()
        for number in range(20):
            schedule.record_admission(number * 0.1)
        times = [schedule.schedule_retry(2.0) for _ in range(5)]
        self.assertEqual(times, sorted(set(times)))
        self.assertAlmostEqual(times[4] - times[3], RATE_WINDOW_SECONDS / 21)

    def test_retry_times_stay_within_their_limits(self):
        schedule = RetrySchedule()
        times = [schedule.schedule_retry(100.0) for _ in range(50)]
        self.assertGreaterEqual(min(times) + 1e-6, MIN_RETRY_AFTER_SECONDS)
        self.assertLessEqual(max(times), MAX_RETRY_AFTER_SECONDS)


class AdmissionTests(unittest.TestCase):
    def setUp(self):
        table = TargetTable()
        table.put(build_target(1, instance="t0", slots=SLOTS))
        self.queue = ServiceQueue(
            "s1",
            table=table,
            health=HealthTracker(PlacementOptions()),
            rate_limits=TargetRateLimits(),
            domain="d1",
        )

    def run_script(self, script):
        trio.run(script, clock=trio.testing.MockClock(autojump_threshold=0))

    async def acquire(self, admission_class=AdmissionClass.IN_PROGRESS):
        return await self.queue.acquire(
            affinity=Affinity(),
            priority=0,
            arrived=trio.current_time(),
            seconds_left=3.0,
            admission_class=admission_class,
            program_seconds_left=PROGRAM_SECONDS,
        )

    async def fill(self, count):
        for _ in range(count):
            await self.acquire()

    def test_new_program_is_refused_with_a_retry_time_after_a_short_wait(self):
        """Guards against new programs that wait in a full service.

        Programs in progress need all of its slots, so a waiting program would not
        start.
        """

        async def script():
            await self.fill(SLOTS)
            for admission_class in (AdmissionClass.NEW, AdmissionClass.RETRIED):
                began = trio.current_time()
                with self.assertRaises(Overloaded) as caught:
                    await self.acquire(admission_class)
                waited = trio.current_time() - began
                self.assertLessEqual(waited, 0.1 * PROGRAM_SECONDS + 0.001)
                self.assertGreater(caught.exception.retry_after, 0)

        self.run_script(script)

    def test_last_slots_are_reserved_for_programs_in_progress(self):
        async def script():
            await self.fill(SLOTS - count_reserved_slots(SLOTS, AdmissionClass.NEW))
            with self.assertRaises(Overloaded):
                await self.acquire(AdmissionClass.NEW)
            with trio.fail_after(0.01):
                await self.acquire(AdmissionClass.IN_PROGRESS)

        self.run_script(script)

    def test_waiting_new_program_does_not_block_started_programs(self):
        async def script():
            await self.fill(SLOTS - count_reserved_slots(SLOTS, AdmissionClass.NEW))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.expect_refusal)
                await trio.sleep(0.01)
                with trio.fail_after(0.05):
                    await self.acquire(AdmissionClass.OVERDUE)

        self.run_script(script)

    async def expect_refusal(self):
        with self.assertRaises(Overloaded):
            await self.acquire(AdmissionClass.NEW)

    def test_new_program_waits_until_a_slot_becomes_free(self):
        async def script():
            await self.fill(SLOTS - 1)
            last = await self.acquire()
            async with trio.open_nursery() as nursery:

                async def end_calls():
                    await trio.sleep(0.1)
                    for _ in range(count_reserved_slots(SLOTS, AdmissionClass.NEW) + 1):
                        self.queue.release(last, run_seconds=0.3)

                nursery.start_soon(end_calls)
                await self.acquire(AdmissionClass.NEW)
            self.assertLess(trio.current_time(), 0.15)

        self.run_script(script)


if __name__ == "__main__":
    unittest.main()
