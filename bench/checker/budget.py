"""Checks that programs with their sub-agents, and teams, stay within their budgets."""

from collections.abc import Iterator

from bench.checker.evidence_index import EvidenceIndex, describe
from bench.checker.records import (
    Breach,
    CallKey,
    EngineRun,
    Evidence,
    ProgramKey,
    Property,
)
from goldcrestvane_common.settings import Budget


def check_budget(evidence: Evidence, index: EvidenceIndex) -> Iterator[Breach]:
    """Yields programs and teams that exceeded their budgets.

    The tokens of all engine runs count, also those of repeated runs. A call that ran
    several times counts as one call.
    """
    for record in evidence.programs:
        calls = [call for call in index.work if _belongs_to(call, record.key)]
        name = f"Program {record.key.team}/{record.key.program}"
        yield from _check_limits(name, record.budget, calls, index)
    for team, budget in evidence.team_budgets.items():
        calls = [call for call in index.work if call.team == team]
        yield from _check_limits(f"Team {team}", budget, calls, index)


def _belongs_to(call: CallKey, key: ProgramKey) -> bool:
    """Returns whether the program or one of its sub-agents issued the call."""
    is_in_tree = call.program == key.program or call.program.startswith(
        f"{key.program}/"
    )
    return is_in_tree and call.team == key.team


def _check_limits(
    name: str, budget: Budget, calls: list[CallKey], index: EvidenceIndex
) -> Iterator[Breach]:
    work = [item for call in calls for item in index.work[call]]
    tokens = sum(item.tokens for item in work if isinstance(item, EngineRun))
    call_count = sum(1 for call in calls if index.work[call])
    latest = tuple(describe(item) for item in work[-20:])
    if budget.tokens is not None and tokens > budget.tokens:
        yield Breach(
            Property.BUDGET, f"{name} used {tokens} of {budget.tokens} tokens.", latest
        )
    if budget.calls is not None and call_count > budget.calls:
        yield Breach(
            Property.BUDGET,
            f"{name} made {call_count} of {budget.calls} calls.",
            latest,
        )
