import unittest

from goldcrestvane_daemon.placement import (
    PauseAction,
    RetryBudget,
    choose_pause_action,
)


class RetryBudgetTests(unittest.TestCase):
    def take(self, budget, now, tries=1000):
        return sum(budget.try_acquire(now=now) for _ in range(tries))

    def test_retries_are_limited_to_a_share_of_first_attempts(self):
        budget = RetryBudget(share=0.1, floor=3)
        for _ in range(200):
            budget.record_attempt(now=0.0)
        self.assertEqual(self.take(budget, now=0.0), 23)

    def test_floor_allows_retries_without_traffic(self):
        self.assertEqual(self.take(RetryBudget(share=0.1, floor=3), now=0.0), 3)

    def test_old_attempts_allow_no_retries(self):
        budget = RetryBudget(share=0.1, floor=0, window_seconds=10)
        for _ in range(1000):
            budget.record_attempt(now=0.0)
        self.assertEqual(self.take(budget, now=100.0), 0)


class PausePolicyTests(unittest.TestCase):
    def choose(self, **changes):
        fields = {
            "prefix_tokens": 10_000,
            "expected_pause_seconds": 60.0,
            "occupancy": 0.95,
            "turnover_seconds": 30.0,
            "seconds_per_token": 0.0002,
            "transfer_seconds_per_token": 0.00002,
        }
        return choose_pause_action(**(fields | changes))

    def test_prefix_is_kept_in_a_free_cache_or_for_a_short_pause(self):
        self.assertIs(self.choose(occupancy=0.5), PauseAction.KEEP)
        self.assertIs(self.choose(expected_pause_seconds=5), PauseAction.KEEP)

    def test_prefix_in_a_full_cache_is_exported_or_dropped_by_cost(self):
        self.assertIs(self.choose(), PauseAction.EXPORT)
        slow = self.choose(transfer_seconds_per_token=0.001)
        self.assertIs(slow, PauseAction.DROP)
        none = self.choose(transfer_seconds_per_token=None)
        self.assertIs(none, PauseAction.DROP)


if __name__ == "__main__":
    unittest.main()
