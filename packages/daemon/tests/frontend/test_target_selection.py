import random
import unittest

from frontend.support import build_target
from goldcrestvane_daemon.frontend.affinity import Affinity
from goldcrestvane_daemon.frontend.target_selection import (
    TargetCandidate,
    choose_target,
    estimate_slowdowns,
)
from goldcrestvane_daemon.placement.speeds import estimate_finish
from goldcrestvane_daemon.targets import TargetTable


def build_candidates(loads, slots=16, reserved_slots=0):
    return [
        TargetCandidate(
            instance=f"t{n}",
            load=load,
            slots=slots,
            reserved_slots=reserved_slots,
            local=n == 0,
        )
        for n, load in enumerate(loads)
    ]


def choose(candidates, key, rng=None):
    return choose_target(candidates, Affinity(key=key), rng)


class ChooseTargetTests(unittest.TestCase):
    def test_calls_of_a_program_go_to_the_same_target(self):
        first = choose(build_candidates([0] * 7), "program").instance
        later = choose(build_candidates([5, 4, 3, 2, 5, 4, 3]), "program").instance
        self.assertEqual(first, later)

    def test_programs_are_distributed_over_all_targets(self):
        candidates = build_candidates([0] * 7)
        used = {choose(candidates, f"p{n}").instance for n in range(200)}
        self.assertEqual(len(used), 7)

    def test_removed_target_moves_only_its_own_programs(self):
        candidates = build_candidates([0] * 7)
        for n in range(100):
            before = choose(candidates, f"p{n}").instance
            rest = [candidate for candidate in candidates if candidate.instance != "t3"]
            after = choose(rest, f"p{n}").instance
            if before != "t3":
                self.assertEqual(before, after)

    def test_program_moves_before_its_preferred_target_is_full(self):
        preferred = choose(build_candidates([0] * 7), "p").instance
        loads = [15 if f"t{n}" == preferred else 2 for n in range(7)]
        self.assertNotEqual(choose(build_candidates(loads), "p").instance, preferred)

    def test_load_of_each_target_stays_below_the_bound(self):
        """Twelve turns belong to programs that all hash to the same target."""
        idle = build_candidates([0] * 5)
        names = [f"p{n}" for n in range(200)]
        names = [n for n in names if choose(idle, n).instance == "t0"][:12]
        loads = [0] * 5
        for name in names:
            candidate = choose(build_candidates(loads), name)
            loads[int(candidate.instance[1:])] += 1
        mean = len(names) / len(loads)
        self.assertLessEqual(max(loads), 1.25 * mean + 2)

    def test_full_targets_get_no_calls(self):
        self.assertIsNone(choose(build_candidates([16, 17, 16]), "p"))

    def test_reserved_slots_are_left_free(self):
        candidates = build_candidates([12, 13], reserved_slots=4)
        self.assertIsNone(choose(candidates, "p"))
        candidates = build_candidates([11, 13], reserved_slots=4)
        self.assertEqual(choose(candidates, "p").instance, "t0")

    def test_call_without_a_key_goes_to_the_least_loaded_target(self):
        self.assertEqual(choose(build_candidates([3, 1, 2]), None).instance, "t1")


class ChainAffinityTests(unittest.TestCase):
    """Targets are replaced one after the other while programs run."""

    def test_chain_stays_at_its_target_while_others_join(self):
        for n in range(50):
            target = choose(build_candidates([0] * 3), f"c{n}").instance
            affinity = Affinity(key=f"c{n}", target=target)
            joined = build_candidates([0] * 12)
            self.assertEqual(choose_target(joined, affinity).instance, target)

    def test_chain_leaves_a_target_that_is_overloaded_or_gone(self):
        expected = choose(build_candidates([2, 2, 15, 2]), "c").instance
        for target in ("t2", "gone"):
            affinity = Affinity(key="c", target=target)
            chosen = choose_target(build_candidates([2, 2, 15, 2]), affinity)
            self.assertEqual(chosen.instance, expected)


class ChooseBySpeedTests(unittest.TestCase):
    """Targets that report how long work takes on their machines."""

    def build(self, slowdowns, loads=None):
        loads = loads or [0] * len(slowdowns)
        return [
            TargetCandidate(
                instance=f"t{n}",
                load=load,
                slots=16,
                reserved_slots=0,
                local=n == 0,
                finish=estimate_finish(slowdown=slowdown, load=load, slots=16),
            )
            for n, (slowdown, load) in enumerate(zip(slowdowns, loads, strict=True))
        ]

    def choose_many(self, candidates, count=200):
        return [choose(candidates, f"p{n}") for n in range(count)]

    def test_most_programs_run_on_fast_targets_while_these_have_room(self):
        # Programs whose turns all ran on a slow target ended late.
        candidates = self.build([0.5] * 3 + [1.2] * 9)
        chosen = self.choose_many(candidates)
        fast = sum(each.instance in ("t0", "t1", "t2") for each in chosen)
        self.assertGreater(fast, len(chosen) / 2)

    def test_slow_targets_still_get_calls(self):
        # A target without calls sends no reports, so its recovery would not be seen.
        candidates = self.build([0.5] * 3 + [1.2] * 9)
        used = {each.instance for each in self.choose_many(candidates)}
        self.assertEqual(len(used), 12)

    def test_frontends_with_the_same_reports_spread_their_programs(self):
        # All frontends sent their calls to the target that was idle in the last report.
        candidates = self.build([1.0] * 12, [8] * 11 + [0])
        chosen = self.choose_many(candidates)
        idle = sum(each.instance == "t11" for each in chosen)
        self.assertLess(idle, len(chosen) / 2)

    def test_turns_of_a_program_stay_on_their_target_for_a_small_gain(self):
        before = choose(self.build([1.0] * 12), "p")
        loads = [0 if f"t{n}" == before.instance else 1 for n in range(12)]
        after = choose(self.build([1.0] * 12, [1 - load for load in loads]), "p")
        self.assertEqual(after.instance, before.instance)

    def test_call_without_a_key_avoids_disturbed_targets(self):
        candidates = self.build([2.5] * 3 + [1.0] * 5)
        rng = random.Random(1)
        chosen = [choose(candidates, None, rng) for _ in range(100)]
        used = {each.instance for each in chosen}
        self.assertEqual(used, {"t3", "t4", "t5", "t6", "t7"})


class EstimateSlowdownsTests(unittest.TestCase):
    def test_target_without_a_report_counts_like_the_median(self):
        # A new target would get all calls or none until its first report.
        targets = [build_target(n, instance=f"t{n}") for n in range(4)]
        table = TargetTable()
        for target in targets:
            table.put(target)
        for target, slowdown in zip(targets, (0.5, 1.2, 3.0), strict=False):
            table.get_load(target).slowdown.record(slowdown, reported_at=1.0)
        found = estimate_slowdowns(targets, table=table, now=1.0)
        self.assertEqual(found["t3"], 1.2)

    def test_service_whose_targets_report_no_speed_is_not_estimated(self):
        table = TargetTable()
        target = build_target(1)
        table.put(target)
        self.assertEqual(estimate_slowdowns([target], table=table, now=1.0), {})


if __name__ == "__main__":
    unittest.main()
