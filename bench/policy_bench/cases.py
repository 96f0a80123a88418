"""Defines the runs of the bench: policy, load and fault of each."""

from collections.abc import Callable

import msgspec

from goldcrestvane_common.settings import Priority
from policy_bench.deployments import DEPLOYMENTS, Deployment, draw_programs
from policy_bench.fleet import Fault, Fleet
from policy_bench.measures import ClassMetrics
from policy_bench.policies import (
    LeastInFlight,
    Policy,
    PrefixAffinity,
    ProductPolicy,
    RoundRobin,
)
from policy_bench.runner import run_load

LOADS = (0.5, 0.9, 1.2)
FAULT_LOAD = 0.9
PRODUCT = ProductPolicy.name
BASELINES: dict[str, type[Policy]] = {
    each.name: each for each in (RoundRobin, LeastInFlight, PrefixAffinity)
}
POLICIES = (*BASELINES, PRODUCT)


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run.

    Attributes:
        deployment: Name of the deployment.
        policy: Name of the policy.
        load: Offered load as a share of the engines' capacity.
        fault: Fault that is injected.
        seed: Seed of the load and of all random choices.
        run_seconds: Length of the run, or None for the default of the deployment.
    """

    deployment: str
    policy: str
    load: float
    fault: Fault = Fault.NONE
    seed: int = 1
    run_seconds: float | None = None


def build_policy_factory(policy: str, deployment: Deployment, seed: int) -> Callable:
    """Returns a function that creates the policy for a fleet."""
    if policy in BASELINES:
        return lambda fleet: BASELINES[policy]()

    def build_product_policy(fleet: Fleet) -> Policy:
        return ProductPolicy(
            fleet.owner_domains, cache_weight=deployment.cache_weight, seed=seed
        )

    return build_product_policy


def run_case(case: Case) -> dict[Priority | None, ClassMetrics]:
    """Runs one case; the same case always gives the same metrics."""
    deployment = {each.name: each for each in DEPLOYMENTS}[case.deployment]
    if case.run_seconds is not None:
        deployment = msgspec.structs.replace(deployment, run_seconds=case.run_seconds)
    programs = draw_programs(deployment, load=case.load, seed=case.seed)
    return run_load(
        deployment,
        build_policy_factory(case.policy, deployment, case.seed),
        programs,
        fault=case.fault,
        seed=case.seed,
    )


def list_cases(deployment: Deployment, *, seed: int) -> list[Case]:
    """Returns the cases of a deployment in the order of the printed tables."""
    situations = [(load, Fault.NONE) for load in LOADS]
    situations += [(FAULT_LOAD, fault) for fault in Fault if fault is not Fault.NONE]
    return [
        Case(
            deployment=deployment.name,
            policy=policy,
            load=load,
            fault=fault,
            seed=seed,
        )
        for load, fault in situations
        for policy in POLICIES
    ]
