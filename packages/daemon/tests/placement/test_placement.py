import unittest

import trio
import trio.testing

from goldcrestvane_common.errors import Outcome, Unavailable
from goldcrestvane_common.messages import (
    TargetLoad,
    TokenUsage,
)
from goldcrestvane_daemon.placement import (
    CallProfile,
    Candidate,
    Choice,
    Placement,
    PlacementOptions,
)

CANDIDATES = [
    Candidate("llm-1", "milano"),
    Candidate("llm-2", "torino"),
    Candidate("llm-3", "verona"),
]


def build_profile(program="p", **changes):
    fields = {"team": "shop", "service": "fitting-llm", "prompt_tokens": 1000}
    return CallProfile(program=program, **(fields | changes))


class PlacementTests(unittest.TestCase):
    def run_script(self, script, **options):
        async def main():
            placement = Placement(
                domain="milano", seed=7, options=PlacementOptions(**options)
            )
            await script(placement)

        trio._core._run._r.seed(1)
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def choose(self, placement, profile=None):
        return placement.choose(
            CANDIDATES, profile or build_profile(), cache_weight=0.5
        )

    def send(self, placement, instance, profile=None):
        profile = profile or build_profile()
        return placement.record_start(Choice(instance, 0, False), profile)

    def store_prefix(self, placement, instance, program="p"):
        attempt = self.send(placement, instance, build_profile(program))
        placement.record_success(attempt, usage=TokenUsage(prompt_tokens=20_000))

    def choose_many(self, placement, count=40, **profile):
        return {
            self.choose(placement, build_profile(**profile)).instance
            for _ in range(count)
        }

    def test_program_returns_to_its_cached_prefix_until_the_eviction(self):
        async def script(placement):
            self.store_prefix(placement, "llm-3")
            profile = {"prompt_tokens": 21_000}
            self.assertEqual(self.choose_many(placement, **profile), {"llm-3"})
            placement.record_eviction("shop", "p", "llm-3", tokens=0)
            self.assertEqual(self.choose_many(placement, **profile), {"llm-1"})

        self.run_script(script)

    def test_restarted_target_holds_no_prefix(self):
        async def script(placement):
            self.store_prefix(placement, "llm-3")
            placement.forget_cache("llm-3")
            self.assertEqual(self.choose(placement).cached_tokens, 0)
            self.assertEqual(placement.forget_program("shop", "p"), [])

        self.run_script(script)

    def test_forgetting_a_program_returns_its_prefix_holders(self):
        async def script(placement):
            self.store_prefix(placement, "llm-3")
            self.store_prefix(placement, "llm-1")
            self.assertEqual(placement.forget_program("shop", "p"), ["llm-3", "llm-1"])

        self.run_script(script)

    def test_number_of_programs_with_affinity_is_bounded(self):
        async def script(placement):
            for number in range(5):
                self.store_prefix(placement, "llm-1", f"p{number}")
            self.assertEqual(placement.forget_program("shop", "p0"), [])
            self.assertEqual(placement.forget_program("shop", "p4"), ["llm-1"])

        self.run_script(script, max_programs=3)

    def test_excluded_targets_are_not_chosen(self):
        async def script(placement):
            self.store_prefix(placement, "llm-3")
            excluded = frozenset({"llm-1", "llm-3"})
            chosen = self.choose_many(placement, excluded=excluded)
            self.assertEqual(chosen, {"llm-2"})

        self.run_script(script)

    def test_unreachable_target_gets_one_probe_after_each_back_off(self):
        async def script(placement):
            others = frozenset({"llm-2", "llm-3"})
            dead = build_profile(excluded=others)
            placement.record_failure(self.send(placement, "llm-1"), unreachable=True)
            with self.assertRaises(Unavailable) as caught:
                self.choose(placement, dead)
            self.assertEqual(caught.exception.call_outcome, Outcome.NOT_RUN)
            self.assertEqual(caught.exception.retry_after, 1.0)
            await trio.sleep(1.0)
            probe = placement.record_start(self.choose(placement, dead), dead)
            with self.assertRaises(Unavailable):
                self.choose(placement, dead)
            placement.record_failure(probe, unreachable=True)
            await trio.sleep(1.5)
            with self.assertRaises(Unavailable):
                self.choose(placement, dead)
            await trio.sleep(0.5)
            probe = placement.record_start(self.choose(placement, dead), dead)
            placement.record_success(probe)
            self.assertEqual(self.choose(placement, dead).instance, "llm-1")

        self.run_script(script)

    def test_probe_may_follow_a_cancelled_one_immediately(self):
        async def script(placement):
            only = build_profile(excluded=frozenset({"llm-2", "llm-3"}))
            placement.record_failure(self.send(placement, "llm-1"), unreachable=True)
            await trio.sleep(1.0)
            probe = placement.record_start(self.choose(placement, only), only)
            placement.record_cancellation(probe)
            self.assertEqual(self.choose(placement, only).instance, "llm-1")

        self.run_script(script)

    def test_only_consecutive_failures_eject_a_target(self):
        async def script(placement):
            for _ in range(5):
                placement.record_failure(self.send(placement, "llm-1"))
                placement.record_success(self.send(placement, "llm-1"))
            self.assertIn("llm-1", self.choose_many(placement))
            for _ in range(3):
                placement.record_failure(self.send(placement, "llm-1"))
            self.assertNotIn("llm-1", self.choose_many(placement))

        self.run_script(script)

    def test_hung_calls_count_as_load_until_they_end(self):
        async def script(placement):
            for candidate in CANDIDATES:
                placement.report_load(candidate.instance, TargetLoad(slots=2))
            hung = [self.send(placement, "llm-1") for _ in range(6)]
            self.assertNotIn("llm-1", self.choose_many(placement))
            for attempt in hung:
                placement.record_cancellation(attempt)
            self.assertIn("llm-1", self.choose_many(placement))

        self.run_script(script)

    def test_weight_of_a_load_report_decays(self):
        async def script(placement):
            for candidate in CANDIDATES:
                placement.report_load(candidate.instance, TargetLoad(slots=2))
            full = TargetLoad(running=2, queued=30, slots=2)
            placement.report_load("llm-1", full)
            self.assertNotIn("llm-1", self.choose_many(placement))
            await trio.sleep(60)
            self.assertIn("llm-1", self.choose_many(placement))

        self.run_script(script)

    def test_slow_target_is_avoided(self):
        async def script(placement):
            for _ in range(30):
                for candidate in CANDIDATES:
                    attempt = self.send(placement, candidate.instance)
                    await trio.sleep(5 if candidate.instance == "llm-1" else 0.5)
                    placement.record_success(attempt, waited_seconds=0.0)
            self.assertNotIn("llm-1", self.choose_many(placement))

        self.run_script(script)

    def test_choices_are_deterministic_for_a_seed(self):
        choices = []

        async def script(placement):
            choices.append([self.choose(placement).instance for _ in range(50)])

        self.run_script(script)
        self.run_script(script)
        self.assertEqual(choices[0], choices[1])


if __name__ == "__main__":
    unittest.main()
