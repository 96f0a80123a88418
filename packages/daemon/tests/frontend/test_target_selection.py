import unittest

from goldcrestvane_daemon.frontend.target_selection import (
    TargetCandidate,
    choose_target,
)


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


class ChooseTargetTests(unittest.TestCase):
    def test_calls_of_a_program_go_to_the_same_target(self):
        first = choose_target(build_candidates([0] * 7), "program").instance
        later = choose_target(
            build_candidates([5, 4, 3, 2, 5, 4, 3]), "program"
        ).instance
        self.assertEqual(first, later)

    def test_programs_are_distributed_over_all_targets(self):
        candidates = build_candidates([0] * 7)
        used = {choose_target(candidates, f"p{n}").instance for n in range(200)}
        self.assertEqual(len(used), 7)

    def test_removed_target_moves_only_its_own_programs(self):
        candidates = build_candidates([0] * 7)
        for n in range(100):
            before = choose_target(candidates, f"p{n}").instance
            rest = [candidate for candidate in candidates if candidate.instance != "t3"]
            after = choose_target(rest, f"p{n}").instance
            if before != "t3":
                self.assertEqual(before, after)

    def test_program_moves_before_its_preferred_target_is_full(self):
        preferred = choose_target(build_candidates([0] * 7), "p").instance
        loads = [15 if f"t{n}" == preferred else 2 for n in range(7)]
        self.assertNotEqual(
            choose_target(build_candidates(loads), "p").instance, preferred
        )

    def test_load_of_each_target_stays_below_the_bound(self):
        """Twelve turns belong to programs that all hash to the same target."""
        idle = build_candidates([0] * 5)
        names = [f"p{n}" for n in range(200)]
        names = [n for n in names if choose_target(idle, n).instance == "t0"][:12]
        loads = [0] * 5
        for name in names:
            candidate = choose_target(build_candidates(loads), name)
            loads[int(candidate.instance[1:])] += 1
        mean = len(names) / len(loads)
        self.assertLessEqual(max(loads), 1.25 * mean + 2)

    def test_full_targets_get_no_calls(self):
        self.assertIsNone(choose_target(build_candidates([16, 17, 16]), "p"))

    def test_reserved_slots_are_left_free(self):
        candidates = build_candidates([12, 13], reserved_slots=4)
        self.assertIsNone(choose_target(candidates, "p"))
        candidates = build_candidates([11, 13], reserved_slots=4)
        self.assertEqual(choose_target(candidates, "p").instance, "t0")

    def test_call_without_a_key_goes_to_the_least_loaded_target(self):
        self.assertEqual(
            choose_target(build_candidates([3, 1, 2]), None).instance, "t1"
        )


if __name__ == "__main__":
    unittest.main()
