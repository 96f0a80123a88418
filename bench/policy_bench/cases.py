"""The runs of the bench: which policy, load and fault."""

from collections.abc import Callable

import msgspec

from goldcrestvane_common.settings import Priority
from policy_bench.deciders import (
    Decider,
    LeastInFlight,
    Ours,
    PrefixAffinity,
    RoundRobin,
)
from policy_bench.deployments import DEPLOYMENTS, Deployment, draw_programs
from policy_bench.fleet import Fault, Fleet
from policy_bench.measures import Figures
from policy_bench.runner import run_load

LOADS = (0.5, 0.9, 1.2)
FAULT_LOAD = 0.9
OURS = Ours.name
BASELINES: dict[str, type[Decider]] = {
    each.name: each for each in (RoundRobin, LeastInFlight, PrefixAffinity)
}
POLICIES = (*BASELINES, OURS)


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """One run.

    Attributes:
        deployment: Name of the deployment.
        policy: Name of the policy.
        load: Share of the engines' capacity.
        fault: What goes wrong.
        seed: Seed of the load and of all random choices.
        run_seconds: Length of the run; None for the deployment's.
    """

    deployment: str
    policy: str
    load: float
    fault: Fault = Fault.NONE
    seed: int = 1
    run_seconds: float | None = None


def build_decider(policy: str, deployment: Deployment, seed: int) -> Callable:
    """Returns what makes the policy for a fleet."""
    if policy in BASELINES:
        return lambda fleet: BASELINES[policy]()

    def build_ours(fleet: Fleet) -> Decider:
        return Ours(
            fleet.owner_domains, cache_weight=deployment.cache_weight, seed=seed
        )

    return build_ours


def run_case(case: Case) -> dict[Priority | None, Figures]:
    """Runs one case; the same case gives the same figures."""
    deployment = {each.name: each for each in DEPLOYMENTS}[case.deployment]
    if case.run_seconds is not None:
        deployment = msgspec.structs.replace(deployment, run_seconds=case.run_seconds)
    programs = draw_programs(deployment, load=case.load, seed=case.seed)
    return run_load(
        deployment,
        build_decider(case.policy, deployment, case.seed),
        programs,
        fault=case.fault,
        seed=case.seed,
    )


def list_cases(deployment: Deployment, *, seed: int) -> list[Case]:
    """Returns all runs of a deployment in the order of the tables."""
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
