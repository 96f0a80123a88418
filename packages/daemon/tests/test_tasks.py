import unittest
from unittest import mock

import trio
import trio.testing

from goldcrestvane_daemon import tasks
from goldcrestvane_daemon.tasks import (
    FAILING_RESTARTS,
    FAILURES,
    STABLE_SECONDS,
    FailurePolicy,
    Task,
    has_failing_task,
    run_supervised,
)

TASK = Task.PEER_CALL


class SupervisedTaskTests(unittest.TestCase):
    def run_script(self, script, policy=FailurePolicy.CONTAIN):
        with mock.patch.dict(tasks.POLICIES, {TASK: policy}):
            trio.run(script, clock=trio.testing.MockClock(autojump_threshold=0))

    def fail_with(self, error):
        return mock.AsyncMock(side_effect=error)

    def test_contained_error_is_counted_and_logged_once(self):
        async def script():
            counter = FAILURES.labels(TASK.value, "contained")
            before = counter._value.get()
            with self.assertLogs("goldcrestvane.task") as logs:
                for _ in range(3):
                    run = self.fail_with(RuntimeError("once"))
                    self.assertFalse(await run_supervised(TASK, run))
            self.assertEqual(len(logs.records), 1)
            self.assertEqual(counter._value.get() - before, 3)

        self.run_script(script)

    def test_error_in_a_group_is_contained(self):
        async def script():
            group = ExceptionGroup("tasks", [ValueError("a"), RuntimeError("b")])
            self.assertFalse(await run_supervised(TASK, self.fail_with(group)))

        self.run_script(script)

    def test_errors_for_the_process_pass_through(self):
        async def script():
            for error in (KeyboardInterrupt, SystemExit):
                with self.assertRaises(error):
                    await run_supervised(TASK, self.fail_with(error()))
            with self.assertRaises(BaseExceptionGroup) as caught:
                group = BaseExceptionGroup("", [ValueError(), KeyboardInterrupt()])
                await run_supervised(TASK, self.fail_with(group))
            (left,) = caught.exception.exceptions
            self.assertIsInstance(left, KeyboardInterrupt)

        self.run_script(script)

    def test_cancelled_task_that_fails_in_its_cleanup_is_cancelled(self):
        async def fail():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep_forever)
                try:
                    await trio.sleep_forever()
                finally:
                    raise RuntimeError("cleanup")

        async def script():
            with trio.move_on_after(1) as scope:
                await run_supervised(TASK, fail)
                await trio.sleep_forever()
            self.assertTrue(scope.cancelled_caught)

        self.run_script(script, FailurePolicy.RESTART)

    def test_error_that_ends_the_process_is_raised(self):
        async def script():
            with self.assertRaises(ExceptionGroup) as caught:
                await run_supervised(TASK, self.fail_with(RuntimeError("state")))
            self.assertTrue(caught.exception.subgroup(RuntimeError))

        self.run_script(script, FailurePolicy.END)

    def test_task_that_fails_after_each_restart_makes_the_process_unready(self):
        """Guards against a process that takes clients while a task never works."""
        errors = [RuntimeError("again")] * FAILING_RESTARTS
        run = mock.AsyncMock(side_effect=[*errors, None])

        async def sleep_after_failures():
            await run()
            await trio.sleep_forever()

        async def script():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_supervised, TASK, sleep_after_failures)
                while run.await_count < FAILING_RESTARTS:
                    self.assertFalse(has_failing_task())
                    await trio.sleep(0.01)
                self.assertTrue(has_failing_task())
                await trio.sleep(2 * STABLE_SECONDS)
                self.assertFalse(has_failing_task())
                nursery.cancel_scope.cancel()

        self.run_script(script, FailurePolicy.RESTART)

    def test_process_stays_unready_while_a_task_fails_some_seconds_after_restarts(self):
        async def fail_late():
            await trio.sleep(0.7 * STABLE_SECONDS)
            raise RuntimeError("again")

        async def script():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_supervised, TASK, fail_late)
                while not has_failing_task():
                    await trio.sleep(1)
                for _ in range(30):
                    await trio.sleep(1)
                    self.assertTrue(has_failing_task())
                nursery.cancel_scope.cancel()

        self.run_script(script, FailurePolicy.RESTART)


if __name__ == "__main__":
    unittest.main()
