"""Small deployments for tests: one team, a few targets, three failure domains."""

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from goldcrestvane_common.settings import (
    Budget,
    HistoryMode,
    OperationSettings,
    ProgramSettings,
    ServiceKind,
    ServiceSettings,
    TeamSettings,
)
from goldcrestvane_standins.caller import Caller
from goldcrestvane_standins.deployment import Deployment, Plan, TargetPlan

TEAM = "acme"
MODEL = "close-llm"
TOOL = "ledger-app"
DOMAINS = ("gh-south-a", "gh-south-b", "gh-south-c")


def build_team(**budget: float) -> TeamSettings:
    """Returns the settings of a team with one model and one tool service.

    Args:
        **budget: Budget limits of the program kind ``review``.
    """
    return TeamSettings(
        programs={
            "review": ProgramSettings(
                budget=Budget(**budget), history=HistoryMode.OWNER
            )
        },
        services={
            MODEL: ServiceSettings(kind=ServiceKind.MODEL, timeout_seconds=30.0),
            TOOL: ServiceSettings(
                kind=ServiceKind.TOOL,
                operations={
                    "post": OperationSettings(idempotent=False, timeout_seconds=20.0),
                    "read": OperationSettings(idempotent=True, timeout_seconds=20.0),
                },
            ),
        },
    )


def build_plan(
    *,
    models: int = 2,
    tools: int = 1,
    entries: int = 2,
    model_options: tuple[str, ...] = (),
    teams: dict[str, TeamSettings] | None = None,
    list_lag: float = 0.0,
) -> Plan:
    """Returns a plan with the given numbers of targets."""
    return Plan(
        domains=DOMAINS,
        targets=(
            TargetPlan(
                service=MODEL, kind="model", count=models, options=model_options
            ),
            TargetPlan(service=TOOL, kind="tool", count=tools),
        ),
        teams=teams or {TEAM: build_team()},
        entries=entries,
        shard_count=8,
        list_lag=list_lag,
    )


def build_caller(
    deployment: Deployment,
    program: str,
    *,
    team: str = TEAM,
    timeout: float = 30.0,
    max_attempts: int = 12,
) -> Caller:
    """Returns a caller that sends to all entries in round-robin order."""
    entries = [
        process.address
        for name, process in deployment.processes.items()
        if name.startswith("entry-")
    ]
    return Caller(
        deployment.transport,
        entries,
        team=team,
        program=program,
        timeout=timeout,
        max_attempts=max_attempts,
    )


def run_with_deployment(
    plan: Plan, check: Callable[[Deployment], Awaitable[None]]
) -> None:
    """Starts a deployment in a temporary folder and runs a check against it."""

    async def main() -> None:
        with tempfile.TemporaryDirectory(prefix="goldcrestvane-") as folder:
            async with Deployment(plan, Path(folder)) as deployment:
                await check(deployment)

    trio.run(main)
