import unittest

from load_replay.engine import EngineSheet
from load_replay.patterns import (
    BURST_OF_ALL,
    BURST_OF_ONE_KIND,
    CALM,
    DOMAIN_GONE,
    ENDLESS,
    HALF_LEAVE,
    RETURNING,
    SLOW_BY_TURNS,
)
from load_replay.play import play
from load_replay.programs import ProgramKind

SEED = 1
MIN_WORST_WINDOWS = 0.6
"""Benefit of the worst seconds that users expect; stated with the task."""

MIN_CALM = 0.9
"""Benefit of a quiet day that users expect."""


class LoadTests(unittest.TestCase):
    """Replays loads on the decisions of four frontends.

    Where demand exceeds what the engines can do, so that no bound of the users' can
    hold, the order of arrival is played as well, and the decisions must earn more.
    """

    def check_worst_windows(self, pattern):
        result = play(pattern, seed=SEED)
        self.assertGreaterEqual(result.measure_worst_windows(), MIN_WORST_WINDOWS)

    def check_better_than_arrival(self, pattern):
        result = play(pattern, seed=SEED)
        plain = play(pattern, seed=SEED, admits_all=True)
        self.assertGreater(result.share_earned, plain.share_earned)
        self.assertGreater(
            result.measure_worst_windows(), plain.measure_worst_windows()
        )

    def test_calm(self):
        result = play(CALM, seed=SEED)
        self.assertGreaterEqual(result.share_earned, MIN_CALM)
        self.assertEqual(result.held_seconds, [])

    def test_burst_of_one_kind(self):
        self.check_worst_windows(BURST_OF_ONE_KIND)

    def test_failure_domain_gone(self):
        self.check_worst_windows(DOMAIN_GONE)

    def test_engines_slow_by_turns(self):
        self.check_worst_windows(SLOW_BY_TURNS)

    def test_programs_that_never_end(self):
        self.check_worst_windows(ENDLESS)

    def test_programs_return_after_a_fault(self):
        self.check_worst_windows(RETURNING)

    def test_burst_of_all_kinds(self):
        self.check_better_than_arrival(BURST_OF_ALL)

    def test_half_of_the_engines_leave(self):
        self.check_better_than_arrival(HALF_LEAVE)

    def test_refused_programs_are_told_at_once(self):
        """A beginning waits a tenth of its program's time at most."""
        result = play(HALF_LEAVE, seed=SEED)
        longest = max(self.find_longest_time(kind) for kind in HALF_LEAVE.kinds)
        self.assertLessEqual(max(result.held_seconds), 0.1 * longest)

    def find_longest_time(self, kind: ProgramKind) -> float:
        """Returns the time of a program of 2.5 times the mean number of turns."""
        sheet = EngineSheet()
        turn = 2 * kind.events * sheet.event_tokens * sheet.step_seconds
        return kind.slack_factor * 2.5 * kind.turns * (turn + 3 * kind.think_seconds)


if __name__ == "__main__":
    unittest.main()
