"""Checks the metrics of a policy against its performance bounds."""

from collections.abc import Mapping

import msgspec

from goldcrestvane_common.settings import Priority
from policy_bench.deployments import Deployment
from policy_bench.measures import ClassMetrics

LATENCY_CUT = 0.30
"""Minimum reduction of the p95 program latency against the lowest baseline."""

WASTE_CUT = 0.50
"""Minimum reduction of the wasted cache share against the lowest baseline."""

THROUGHPUT_SHARE = 0.95
"""Minimum useful throughput under overload as a share of its peak over all loads."""

MetricsByClass = Mapping[Priority | None, ClassMetrics]


class BoundCheck(msgspec.Struct, frozen=True):
    """Result of a check.

    Attributes:
        target: Description of the bound.
        met: Whether the metrics meet the bound.
        detail: The compared values.
    """

    target: str
    met: bool
    detail: str


def check_latency(
    product: MetricsByClass, baselines: list[MetricsByClass]
) -> BoundCheck:
    """Checks the p95 latency of all programs."""
    best = min(each[None].p95 for each in baselines)
    bound = (1 - LATENCY_CUT) * best
    return BoundCheck(
        f"p95 program latency at least {LATENCY_CUT:.0%} below the best baseline",
        product[None].p95 <= bound,
        f"{product[None].p95:.2f} s against {best:.2f} s, bound {bound:.2f} s",
    )


def check_waste(product: MetricsByClass, baselines: list[MetricsByClass]) -> BoundCheck:
    """Checks the wasted cache share of all programs."""
    best = min(each[None].wasted_share for each in baselines)
    bound = (1 - WASTE_CUT) * best
    return BoundCheck(
        f"wasted cache at least {WASTE_CUT:.0%} below the best baseline",
        product[None].wasted_share <= bound,
        f"{product[None].wasted_share:.4f} against {best:.4f}, bound {bound:.4f}",
    )


def check_throughput(
    overload: MetricsByClass, others: list[MetricsByClass]
) -> BoundCheck:
    """Checks that the useful throughput under overload stays near its peak."""
    useful = overload[None].useful_rate
    peak = max(each[None].useful_rate for each in [overload, *others])
    return BoundCheck(
        f"useful throughput under overload at least {THROUGHPUT_SHARE:.0%} of its peak",
        useful >= THROUGHPUT_SHARE * peak,
        f"{useful:.0f} tokens/s against {peak:.0f}, share {useful / peak:.3f}",
    )


def check_starvation(
    deployment: Deployment, overload: MetricsByClass
) -> list[BoundCheck]:
    """Checks that no class waits for a completed call longer than its deadline."""
    checks = []
    for kind in deployment.kinds:
        gap_seconds = overload[kind.priority].max_gap_seconds
        checks.append(
            BoundCheck(
                f"class {kind.priority.value} is not starved under overload",
                gap_seconds < kind.deadline_seconds,
                f"longest time without an ended call {gap_seconds:.1f} s, "
                f"program deadline {kind.deadline_seconds:.0f} s",
            )
        )
    return checks
