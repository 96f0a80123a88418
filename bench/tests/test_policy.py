import sys
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from policy_bench.bounds import (
    check_latency,
    check_starvation,
    check_throughput,
    check_waste,
)
from policy_bench.cases import PRODUCT, Case, run_case
from policy_bench.deployments import AKWAABA, PASSOLUNGO
from policy_bench.fleet import Fault
from policy_bench.policies import PrefixAffinity

WORKERS = 4
# This baseline has the lowest p95 latency and waste in `make bench`.
BEST_BASELINE = PrefixAffinity.name
RUNS = ((BEST_BASELINE, 0.9), (PRODUCT, 0.9), (PRODUCT, 1.2))


class BoundTests(unittest.TestCase):
    """Checks the bounds on runs that are deterministic in every process."""

    @classmethod
    def setUpClass(cls):
        cases = [
            Case(deployment=deployment.name, policy=policy, load=load)
            for deployment in (PASSOLUNGO, AKWAABA)
            for policy, load in RUNS
        ]
        with ProcessPoolExecutor(WORKERS) as pool:
            cls.results = dict(zip(cases, pool.map(run_case, cases), strict=True))

    def get(self, deployment, policy, load):
        case = Case(deployment=deployment.name, policy=policy, load=load)
        return self.results[case]

    def assert_met(self, check):
        self.assertTrue(check.met, f"{check.target}: {check.detail}")

    def test_latency_of_passolungo_is_below_best_baseline(self):
        best = self.get(PASSOLUNGO, BEST_BASELINE, 0.9)
        self.assert_met(check_latency(self.get(PASSOLUNGO, PRODUCT, 0.9), [best]))

    def test_wasted_cache_of_akwaaba_is_below_best_baseline(self):
        best = self.get(AKWAABA, BEST_BASELINE, 0.9)
        self.assert_met(check_waste(self.get(AKWAABA, PRODUCT, 0.9), [best]))

    def test_overload_keeps_throughput_and_starves_no_class(self):
        for deployment in (PASSOLUNGO, AKWAABA):
            with self.subTest(deployment=deployment.name):
                overload = self.get(deployment, PRODUCT, 1.2)
                calm = self.get(deployment, PRODUCT, 0.9)
                self.assert_met(check_throughput(overload, [calm]))
                for check in check_starvation(deployment, overload):
                    self.assert_met(check)


class RepeatTests(unittest.TestCase):
    def test_same_case_gives_the_same_figures(self):
        for fault in (Fault.DEAD_TARGET, Fault.HUNG_TOOL):
            with self.subTest(fault=fault):
                case = Case(
                    deployment=PASSOLUNGO.name,
                    policy=PRODUCT,
                    load=0.9,
                    fault=fault,
                    run_seconds=90.0,
                )
                self.assertEqual(run_case(case), run_case(case))


if __name__ == "__main__":
    unittest.main()
