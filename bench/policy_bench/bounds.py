"""Targets of the policy, and whether the figures meet them."""

from collections.abc import Mapping

import msgspec

from goldcrestvane_common.settings import Priority
from policy_bench.deployments import Deployment
from policy_bench.measures import Figures

LATENCY_CUT = 0.30
"""p95 program latency lies this share below the best baseline's."""

WASTE_CUT = 0.50
"""Wasted cache lies this share below the best baseline's."""

THROUGHPUT_SHARE = 0.95
"""Useful throughput under overload against its peak over all loads."""

ClassFigures = Mapping[Priority | None, Figures]


class Verdict(msgspec.Struct, frozen=True):
    """One target with the figures it was checked on."""

    target: str
    met: bool
    detail: str


def check_latency(ours: ClassFigures, baselines: list[ClassFigures]) -> Verdict:
    """Checks the p95 program latency of all programs."""
    best = min(each[None].p95 for each in baselines)
    bound = (1 - LATENCY_CUT) * best
    return Verdict(
        f"p95 program latency at least {LATENCY_CUT:.0%} below the best baseline",
        ours[None].p95 <= bound,
        f"{ours[None].p95:.2f} s against {best:.2f} s, bound {bound:.2f} s",
    )


def check_waste(ours: ClassFigures, baselines: list[ClassFigures]) -> Verdict:
    """Checks the wasted cache of all programs."""
    best = min(each[None].wasted for each in baselines)
    bound = (1 - WASTE_CUT) * best
    return Verdict(
        f"wasted cache at least {WASTE_CUT:.0%} below the best baseline",
        ours[None].wasted <= bound,
        f"{ours[None].wasted:.4f} against {best:.4f}, bound {bound:.4f}",
    )


def check_throughput(overload: ClassFigures, others: list[ClassFigures]) -> Verdict:
    """Checks that overload leaves the useful throughput near its peak."""
    useful = overload[None].useful
    peak = max(each[None].useful for each in [overload, *others])
    return Verdict(
        f"useful throughput under overload at least {THROUGHPUT_SHARE:.0%} of its peak",
        useful >= THROUGHPUT_SHARE * peak,
        f"{useful:.0f} tokens/s against {peak:.0f}, share {useful / peak:.3f}",
    )


def check_starvation(deployment: Deployment, overload: ClassFigures) -> list[Verdict]:
    """Checks that each class is served again before its programs are given up."""
    verdicts = []
    for kind in deployment.kinds:
        gap = overload[kind.priority].longest_gap
        verdicts.append(
            Verdict(
                f"class {kind.priority.value} is not starved under overload",
                gap < kind.deadline_seconds,
                f"longest time without an ended call {gap:.1f} s, program deadline "
                f"{kind.deadline_seconds:.0f} s",
            )
        )
    return verdicts
