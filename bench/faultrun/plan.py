"""Deployment and teams of a fault run."""

from goldcrestvane_common.settings import (
    Budget,
    HistoryMode,
    OperationSettings,
    Priority,
    ProgramSettings,
    ServiceKind,
    ServiceSettings,
    TeamSettings,
)
from goldcrestvane_standins.deployment import Plan, TargetPlan

MODEL = "llm"
TOOL = "app"
LOOK_UP = "look-up"
VOUCHER = "issue-voucher"
FITTING = "fitting"
PLAIN = "plain"
TIGHT = "tight"
TEAMS = ("passolungo", "altura")
SMALL_TEAM = "contrada"
SMALL_TEAM_BUDGET = Budget(tokens=4000, calls=60)
TIGHT_BUDGET = Budget(tokens=600, calls=6)
MODEL_OPTIONS = ("--token-seconds=0.012", "--event-gap-every=7")
CALL_TIMEOUT_SECONDS = 6.0


def build_team(
    budget: Budget = Budget(), *, call_timeout_seconds: float = CALL_TIMEOUT_SECONDS
) -> TeamSettings:
    """Returns a team with three kinds of programs.

    The owner stores the history of a `FITTING` and of a `TIGHT` program, and the caller
    sends that of a `PLAIN` one. A `TIGHT` program has a small budget.
    """
    operations = {
        LOOK_UP: OperationSettings(
            idempotent=True, timeout_seconds=call_timeout_seconds
        ),
        VOUCHER: OperationSettings(
            idempotent=False, timeout_seconds=call_timeout_seconds
        ),
    }
    return TeamSettings(
        programs={
            FITTING: ProgramSettings(
                priority=Priority.INTERACTIVE, history=HistoryMode.OWNER
            ),
            PLAIN: ProgramSettings(),
            TIGHT: ProgramSettings(budget=TIGHT_BUDGET, history=HistoryMode.OWNER),
        },
        services={
            MODEL: ServiceSettings(
                kind=ServiceKind.MODEL, timeout_seconds=call_timeout_seconds
            ),
            TOOL: ServiceSettings(kind=ServiceKind.TOOL, operations=operations),
        },
        budget=budget,
    )


def build_plan(
    *,
    list_lag: float = 0.0,
    call_timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    model_options: tuple[str, ...] = MODEL_OPTIONS,
) -> Plan:
    """Returns a deployment with two entries, three engines and three tools."""
    teams = {
        team: build_team(call_timeout_seconds=call_timeout_seconds) for team in TEAMS
    }
    teams[SMALL_TEAM] = build_team(
        SMALL_TEAM_BUDGET, call_timeout_seconds=call_timeout_seconds
    )
    return Plan(
        domains=("milano", "torino", "verona"),
        targets=(
            TargetPlan(service=MODEL, kind="model", count=3, options=model_options),
            TargetPlan(service=TOOL, kind="tool", count=3),
        ),
        teams=teams,
        list_lag=list_lag,
    )
