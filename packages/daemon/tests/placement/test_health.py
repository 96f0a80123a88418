import unittest

from goldcrestvane_daemon.placement.health import HealthState, HealthTracker
from goldcrestvane_daemon.placement.inputs import PlacementOptions

OPTIONS = PlacementOptions(
    eject_failure_share=0.25, first_ejection_seconds=0.5, max_ejection_seconds=4.0
)


class FailureShareTests(unittest.TestCase):
    def setUp(self):
        self.health = HealthTracker(OPTIONS)
        self.now = 0.0

    def run_calls(self, count, *, failure_interval):
        """Runs calls of which every n-th fails; returns the number of calls sent."""
        passed = 0
        for number in range(count):
            self.now += 0.02
            if not self.health.is_usable("t", now=self.now):
                continue
            passed += 1
            self.health.record_start("t", now=self.now)
            if number % failure_interval == failure_interval - 1:
                self.health.record_failure("t", now=self.now, unreachable=False)
            else:
                self.health.record_success("t", slowness=None)
        return passed

    def test_target_that_fails_two_of_five_calls_is_mostly_ejected(self):
        """Simulates a replica that passes its health check but fails many calls."""
        passed = sum(self.run_calls(5, failure_interval=2) for _ in range(100))
        self.assertLess(passed, 125)

    def test_target_that_fails_one_of_a_hundred_calls_is_not_ejected(self):
        self.assertEqual(self.run_calls(1000, failure_interval=100), 1000)

    def test_recovered_target_is_used_again(self):
        self.run_calls(200, failure_interval=2)
        self.now += OPTIONS.max_ejection_seconds
        self.run_calls(60, failure_interval=10_000)
        self.assertGreater(self.run_calls(100, failure_interval=10_000), 95)

    def test_response_to_an_earlier_call_does_not_end_an_ejection(self):
        self.health.record_failure("t", now=0.0, unreachable=True)
        self.health.record_success("t", slowness=None)
        self.assertIs(self.health.get("t").state, HealthState.OPEN)


if __name__ == "__main__":
    unittest.main()
