import tempfile
import unittest
from pathlib import Path

import trio
from bench.soak.run import SoakOptions, list_breaches, run_soak

SEEDS = (1, 2)
FAULT_SECONDS = 15.0


class SoakTests(unittest.TestCase):
    def test_short_soak_breaks_no_rule(self):
        """Checks only rules that do not depend on the speed of the machine."""
        for seed in SEEDS:
            options = SoakOptions(seed=seed, seconds=FAULT_SECONDS)
            with tempfile.TemporaryDirectory() as folder:
                evidence = trio.run(run_soak, options, Path(folder))
            self.assertGreater(len(evidence.attempts), 0)
            self.assertEqual(list_breaches(evidence, timed=False), [])


if __name__ == "__main__":
    unittest.main()
