import unittest

import trio
import trio.testing

from goldcrestvane_daemon.frontend.readiness import START_WAIT_SECONDS, Readiness


class ReadinessTests(unittest.TestCase):
    def check(self, ready_after, *, asked_after=0.0):
        """Returns the answer and how long it took for a process that gets ready."""

        async def main():
            ready_at = trio.current_time() + ready_after
            readiness = Readiness(lambda: trio.current_time() >= ready_at)
            await trio.sleep(asked_after)
            began = trio.current_time()
            return await readiness.check(), trio.current_time() - began

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_check_during_the_start_waits_until_the_process_is_ready(self):
        is_ready, seconds = self.check(0.2)
        self.assertTrue(is_ready)
        self.assertLess(seconds, 0.25)

    def test_process_that_does_not_get_ready_says_so_in_time(self):
        is_ready, seconds = self.check(60.0)
        self.assertFalse(is_ready)
        self.assertAlmostEqual(seconds, START_WAIT_SECONDS, delta=0.02)

    def test_check_after_the_start_is_answered_at_once(self):
        self.assertEqual(self.check(60.0, asked_after=5.0), (False, 0.0))


if __name__ == "__main__":
    unittest.main()
