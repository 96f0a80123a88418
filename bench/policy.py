"""Compares the product's placement and gate with simple policies.

Prints the tables of each deployment and whether its bounds are met. Two runs with the
same seed print the same metrics.
"""

from concurrent.futures import ProcessPoolExecutor
from typing import Final

from absl import app, flags

from goldcrestvane_common.settings import Priority
from policy_bench.bounds import (
    BoundCheck,
    MetricsByClass,
    check_latency,
    check_starvation,
    check_throughput,
    check_waste,
)
from policy_bench.cases import BASELINES, LOADS, PRODUCT, Case, list_cases, run_case
from policy_bench.deployments import AKWAABA, DEPLOYMENTS, PASSOLUNGO, Deployment
from policy_bench.fleet import Fault

SEED: Final = flags.DEFINE_integer("seed", 1, "Seed of loads and random choices.")
WORKERS: Final = flags.DEFINE_integer(
    "workers", 4, "Number of concurrent runs.", lower_bound=1
)
TARGET_LOAD = 0.9
OVERLOAD = 1.2
HEADER = (
    f"{'policy':16} {'class':12} {'programs':>8} {'p50 s':>8} {'p95 s':>8} {'p99 s':>8}"
    f" {'in time':>8} {'wasted':>7} {'useful':>8} {'attempts':>8}"
)

Results = dict[Case, MetricsByClass]


def print_rows(case: Case, metrics: MetricsByClass) -> None:
    """Prints the metrics of one run with one row for each class."""
    for priority in (None, *Priority):
        row = metrics[priority]
        print(
            f"{case.policy:16} {priority.value if priority else 'all':12} "
            f"{row.programs:8} {row.p50:8.2f} {row.p95:8.2f} {row.p99:8.2f} "
            f"{row.in_time:8.3f} {row.wasted_share:7.4f} {row.useful_rate:8.0f} "
            f"{row.attempts_per_call:8.3f}"
        )


def print_tables(deployment: Deployment, results: Results) -> None:
    """Prints all runs of a deployment."""
    print(
        f"\n{deployment.name}: useful in tokens/s, wasted as a share of tokens needed"
    )
    situation = None
    for case, metrics in results.items():
        if situation != (case.load, case.fault):
            situation = (case.load, case.fault)
            print(f"\n{case.load:.0%} of capacity, {case.fault.value}\n{HEADER}")
        print_rows(case, metrics)


def check_targets(deployment: Deployment, results: Results) -> list[BoundCheck]:
    """Returns the results of all checks of a deployment."""
    faultless = {
        (case.policy, case.load): metrics
        for case, metrics in results.items()
        if case.fault is Fault.NONE
    }
    product = faultless[PRODUCT, TARGET_LOAD]
    baselines = [faultless[name, TARGET_LOAD] for name in BASELINES]
    overload = faultless[PRODUCT, OVERLOAD]
    checks = []
    if deployment is PASSOLUNGO:
        checks.append(check_latency(product, baselines))
    if deployment is AKWAABA:
        checks.append(check_waste(product, baselines))
    checks.append(
        check_throughput(overload, [faultless[PRODUCT, load] for load in LOADS])
    )
    return checks + check_starvation(deployment, overload)


def main(arguments: list[str]) -> None:
    """Runs the bench."""
    del arguments
    with ProcessPoolExecutor(WORKERS.value) as pool:
        for deployment in DEPLOYMENTS:
            cases = list_cases(deployment, seed=SEED.value)
            results = dict(zip(cases, pool.map(run_case, cases), strict=True))
            print_tables(deployment, results)
            print()
            for check in check_targets(deployment, results):
                state = "met" if check.met else "NOT MET"
                print(f"{state}: {check.target}: {check.detail}")


if __name__ == "__main__":
    app.run(main)
