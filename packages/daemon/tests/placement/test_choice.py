import unittest

from goldcrestvane_daemon.placement import CallProfile, TargetEstimate, choose_target


def build_profile(**changes):
    fields = {"team": "shop", "program": "p", "service": "fitting-llm"}
    return CallProfile(**(fields | changes))


def build_estimate(instance, **changes):
    fields = {"slots": 4, "call_seconds": 1.0, "seconds_per_token": 0.001}
    return TargetEstimate(instance=instance, **(fields | changes))


class ChoiceTests(unittest.TestCase):
    def choose(self, estimates, cache_weight=0.5, **profile):
        return choose_target(estimates, build_profile(**profile), cache_weight)

    def test_prefix_holder_is_chosen_while_waiting_costs_less_than_recomputing(self):
        home = build_estimate("home", calls=4, cached_tokens=2000)
        other = build_estimate("other", calls=0)
        choice = self.choose([home, other], prompt_tokens=2200)
        self.assertEqual((choice.instance, choice.spilled), ("home", False))
        self.assertEqual(choice.cached_tokens, 2000)

    def test_spill_threshold_increases_with_the_cache_weight(self):
        home = build_estimate("home", calls=15, cached_tokens=2000)
        other = build_estimate("other", calls=0)
        latency = self.choose([home, other], 0.0, prompt_tokens=2200)
        self.assertEqual((latency.instance, latency.spilled), ("other", True))
        cache = self.choose([home, other], 0.9, prompt_tokens=2200)
        self.assertEqual(cache.instance, "home")

    def test_slow_target_is_chosen_only_if_the_others_are_worse(self):
        slow = build_estimate("slow", slowness=5.0)
        busy = build_estimate("busy", calls=7)
        full = build_estimate("full", calls=40)
        self.assertEqual(self.choose([slow, busy]).instance, "busy")
        self.assertEqual(self.choose([slow, full]).instance, "slow")

    def test_other_domain_is_not_chosen_for_a_gain_below_its_cost(self):
        near = build_estimate("near", calls=4, call_seconds=0.05)
        far = build_estimate(
            "far", calls=3, call_seconds=0.05, cross_domain_seconds=0.1
        )
        self.assertEqual(self.choose([far, near]).instance, "near")

    def test_displaced_tokens_add_to_the_cost_of_a_full_cache(self):
        full = build_estimate("full", free_tokens=0)
        empty = build_estimate("empty", free_tokens=100_000, calls=1)
        choice = self.choose([full, empty], prompt_tokens=3000)
        self.assertEqual(choice.instance, "empty")

    def test_call_that_must_run_alone_goes_to_the_target_with_the_fewest_calls(self):
        home = build_estimate("home", calls=2, cached_tokens=2000)
        other = build_estimate("other", calls=0, slowness=9.0)
        choice = self.choose([home, other], 0.9, prompt_tokens=2200, alone=True)
        self.assertEqual(choice.instance, "other")


if __name__ == "__main__":
    unittest.main()
