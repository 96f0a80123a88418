import tempfile
import unittest
from pathlib import Path

import trio
from bench.soak.run import SoakOptions, list_breaches, run_soak

SEEDS = (1, 2)
FAULT_SECONDS = 15.0


class SoakTests(unittest.TestCase):
    """Checks only rules that do not depend on the speed of the machine."""

    def check(self, **options):
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                seeded = SoakOptions(seed=seed, seconds=FAULT_SECONDS, **options)
                evidence = trio.run(run_soak, seeded, Path(folder))
                self.assertGreater(len(evidence.attempts), 0)
                self.assertEqual(list_breaches(evidence, timed=False), [])

    def test_short_soak_breaks_no_rule(self):
        self.check()

    def test_short_soak_with_outages_of_several_processes_breaks_no_rule(self):
        self.check(has_outages=True)


if __name__ == "__main__":
    unittest.main()
