import statistics
import unittest

import msgspec

from load_replay.engine import EngineSpec
from load_replay.patterns import (
    ACCOUNT_BURST,
    BURST_OF_ALL,
    BURST_OF_ONE_KIND,
    CALM,
    CONTINUED_CHAINS,
    DOMAIN_LOST,
    HALF_REMOVED,
    LARGE,
    LARGE_RESTART,
    MIXED_PROMPTS,
    REPLACED_ENGINES,
    RETRY_BURST,
    ROTATING_SLOWDOWN,
    RUNAWAY_PROGRAMS,
    UNEVEN,
    UNEVEN_BURST,
)
from load_replay.play import replay
from load_replay.programs import ProgramKind, get_account

SEED = 1
MIN_WORST_WINDOW_SHARE = 0.6
"""Benefit share that users expect even in the worst windows."""

MIN_CALM_SHARE = 0.9
"""Benefit share that users expect without bursts or faults."""

NEAR_SECONDS = 3.0
"""Time around a herd of callers in which other programs may be delayed by it."""


class LoadTests(unittest.TestCase):
    """Replays load patterns with the queues of four frontends.

    Under some patterns the demand exceeds the capacity of the engines, so that no
    expected benefit share can be reached. These patterns are also replayed with calls
    admitted in order of arrival, and the queues must achieve a greater benefit.
    """

    def check_worst_window_share(self, pattern):
        result = replay(pattern, seed=SEED)
        self.assertGreaterEqual(
            result.compute_worst_window_share(), MIN_WORST_WINDOW_SHARE
        )

    def check_better_than_arrival_order(self, pattern):
        result = replay(pattern, seed=SEED)
        arrival_order = replay(pattern, seed=SEED, admits_all=True)
        self.assertGreater(result.benefit_share, arrival_order.benefit_share)
        self.assertGreater(
            result.compute_worst_window_share(),
            arrival_order.compute_worst_window_share(),
        )

    def test_calm_load_refuses_no_call(self):
        result = replay(CALM, seed=SEED)
        self.assertGreaterEqual(result.benefit_share, MIN_CALM_SHARE)
        self.assertEqual(result.refused_wait_seconds, [])

    def test_worst_windows_during_burst_of_one_kind(self):
        self.check_worst_window_share(BURST_OF_ONE_KIND)

    def test_worst_windows_after_loss_of_failure_domain(self):
        self.check_worst_window_share(DOMAIN_LOST)

    def test_worst_windows_with_slow_engines_in_rotation(self):
        self.check_worst_window_share(ROTATING_SLOWDOWN)

    def test_worst_windows_with_runaway_programs(self):
        self.check_worst_window_share(RUNAWAY_PROGRAMS)

    def test_worst_windows_when_programs_retry_after_fault(self):
        self.check_worst_window_share(RETRY_BURST)

    def test_worst_windows_of_many_frontends_during_two_bursts(self):
        self.check_worst_window_share(LARGE)

    def check_gain_by_speed(self, pattern):
        """Compares placement by expected finish with placement by load alone."""
        silent = msgspec.structs.replace(pattern.engine_spec, reports_slowdown=False)
        by_load = msgspec.structs.replace(pattern, engine_spec=silent)
        speed, load = (replay(each, seed=SEED) for each in (pattern, by_load))
        self.assertGreater(speed.benefit_share, load.benefit_share)
        self.assertGreater(
            speed.compute_worst_window_share(), load.compute_worst_window_share()
        )
        return speed

    def test_uneven_engines_let_programs_end_in_time(self):
        result = self.check_gain_by_speed(UNEVEN)
        self.assertGreaterEqual(result.benefit_share, MIN_CALM_SHARE)

    def test_worst_windows_of_uneven_engines_during_a_burst(self):
        result = self.check_gain_by_speed(UNEVEN_BURST)
        self.assertGreaterEqual(
            result.compute_worst_window_share(), MIN_WORST_WINDOW_SHARE
        )

    def test_long_prompts_do_not_hold_up_short_ones(self):
        """Guards against short prompts that wait for long ones, and against the reverse.

        The shortest fifth must get its first events earlier, and every fifth of the
        programs must end in time more often, than if prompts are not known.
        """
        known, unknown = (
            replay(MIXED_PROMPTS, seed=SEED, ignores_prompts=ignores_prompts)
            for ignores_prompts in (False, True)
        )
        self.assertGreaterEqual(known.benefit_share, MIN_CALM_SHARE)
        sizes, sizes_before = (
            result.report_prompt_sizes() for result in (known, unknown)
        )
        self.assertLess(sizes[0].slow_seconds, 0.8 * sizes_before[0].slow_seconds)
        for size, before in zip(sizes, sizes_before, strict=True):
            self.assertGreater(size.in_time, before.in_time)

    def test_programs_that_continue_stored_turns_at_once_delay_no_others(self):
        continuation = CONTINUED_CHAINS.continuation

        def measure_share(**options):
            shares = []
            for seed in range(SEED, SEED + 3):
                result = replay(CONTINUED_CHAINS, seed=seed, **options)
                near = [
                    each
                    for each in result.programs
                    if abs(each.begin - continuation.at) <= NEAR_SECONDS
                ]
                owed = sum(each.max_benefit for each in near)
                shares.append(sum(each.benefit for each in near) / owed)
            return statistics.mean(shares)

        self.assertGreaterEqual(measure_share(), MIN_CALM_SHARE)
        self.assertLess(measure_share(ignores_chains=True), MIN_CALM_SHARE)

    def test_chains_stay_while_engines_are_replaced(self):
        """Compares with chains that move to each engine that their hash prefers."""

        def measure(**options):
            results = [
                replay(REPLACED_ENGINES, seed=seed, **options)
                for seed in range(SEED, SEED + 3)
            ]
            programs = [each for result in results for each in result.programs]
            share = statistics.mean(result.benefit_share for result in results)
            return share, statistics.mean(each.seconds for each in programs)

        share, seconds = measure()
        share_before, seconds_before = measure(ignores_targets=True)
        self.assertGreaterEqual(share, MIN_CALM_SHARE)
        self.assertGreater(share, share_before)
        self.assertLess(seconds, seconds_before)

    def test_listening_before_the_start_ends_serves_programs_after_a_kill_of_all(self):
        restart = msgspec.structs.replace(LARGE_RESTART.restart, listens_early=False)
        refusing = msgspec.structs.replace(LARGE_RESTART, restart=restart)
        listened, refused = (
            replay(pattern, seed=SEED) for pattern in (LARGE_RESTART, refusing)
        )
        self.assertGreater(listened.benefit_share, refused.benefit_share)
        self.assertGreater(
            listened.compute_worst_window_share(), refused.compute_worst_window_share()
        )

    def test_burst_of_one_account_does_not_displace_the_others(self):
        """Guards against an account that takes the capacity of the others.

        The worst tenth of accounts must be served a quarter as often as all.
        """
        burst = ACCOUNT_BURST.account_bursts[0]
        period = {"begin": burst.begin, "end": burst.end}
        shared, arrival_order = (
            replay(ACCOUNT_BURST, seed=SEED, ignores_accounts=ignores_accounts)
            for ignores_accounts in (False, True)
        )
        others, others_before = (
            result.compute_others_share(get_account(burst.account), **period)
            for result in (shared, arrival_order)
        )
        self.assertGreater(others, 1.3 * others_before)
        self.assertGreater(
            shared.compute_worst_tenth_share(),
            arrival_order.compute_worst_tenth_share(),
        )
        self.assertGreaterEqual(shared.compute_worst_tenth_served(), 0.25)

    def test_burst_of_all_kinds_beats_order_of_arrival(self):
        self.check_better_than_arrival_order(BURST_OF_ALL)

    def test_removal_of_half_of_engines_beats_order_of_arrival(self):
        self.check_better_than_arrival_order(HALF_REMOVED)

    def test_refuses_first_calls_within_tenth_of_program_time(self):
        """The first call of a program waits at most a tenth of its program's time."""
        result = replay(HALF_REMOVED, seed=SEED)
        longest = max(self.find_longest_time(kind) for kind in HALF_REMOVED.kinds)
        self.assertLessEqual(max(result.refused_wait_seconds), 0.1 * longest)

    def find_longest_time(self, kind: ProgramKind) -> float:
        """Returns the time of a program with 2.5 times the mean number of turns."""
        engine_spec = EngineSpec()
        turn = 2 * kind.events * engine_spec.event_tokens * engine_spec.step_seconds
        return kind.slack_factor * 2.5 * kind.turns * (turn + 3 * kind.think_seconds)


if __name__ == "__main__":
    unittest.main()
