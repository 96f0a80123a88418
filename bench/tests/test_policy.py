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
from policy_bench.cases import OURS, Case, run_case
from policy_bench.deciders import PrefixAffinity
from policy_bench.deployments import AKWAABA, PASSOLUNGO
from policy_bench.fleet import Fault

WORKERS = 4
# Of the simple policies this one has the lowest p95 and waste in `make bench`.
BEST_BASELINE = PrefixAffinity.name
RUNS = ((BEST_BASELINE, 0.9), (OURS, 0.9), (OURS, 1.2))


class BoundTests(unittest.TestCase):
    """Checks the regression bounds on runs that are the same in each process."""

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

    def check(self, verdict):
        self.assertTrue(verdict.met, f"{verdict.target}: {verdict.detail}")

    def test_latency_on_the_load_of_passolungo(self):
        best = self.get(PASSOLUNGO, BEST_BASELINE, 0.9)
        self.check(check_latency(self.get(PASSOLUNGO, OURS, 0.9), [best]))

    def test_wasted_cache_on_the_load_of_akwaaba(self):
        best = self.get(AKWAABA, BEST_BASELINE, 0.9)
        self.check(check_waste(self.get(AKWAABA, OURS, 0.9), [best]))

    def test_overload_keeps_the_useful_throughput_and_starves_no_class(self):
        for deployment in (PASSOLUNGO, AKWAABA):
            with self.subTest(deployment=deployment.name):
                overload = self.get(deployment, OURS, 1.2)
                calm = self.get(deployment, OURS, 0.9)
                self.check(check_throughput(overload, [calm]))
                for verdict in check_starvation(deployment, overload):
                    self.check(verdict)


class RepeatTests(unittest.TestCase):
    def test_same_case_gives_the_same_figures(self):
        for fault in (Fault.DEAD_TARGET, Fault.HUNG_TOOL):
            with self.subTest(fault=fault):
                case = Case(
                    deployment=PASSOLUNGO.name,
                    policy=OURS,
                    load=0.9,
                    fault=fault,
                    run_seconds=90.0,
                )
                self.assertEqual(run_case(case), run_case(case))


if __name__ == "__main__":
    unittest.main()
