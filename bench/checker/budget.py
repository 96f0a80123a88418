"""Budget: never passed by program or team, sub-agents included."""

from collections.abc import Iterator

from bench.checker.records import (
    Breach,
    CallKey,
    EngineRun,
    Evidence,
    ProgramKey,
    Property,
)
from bench.checker.traces import Trace, describe
from goldcrestvane_common.settings import Budget


def check_budget(evidence: Evidence, trace: Trace) -> Iterator[Breach]:
    """Yields programs and teams that took more than they may.

    Tokens are those of all engine runs, repeated ones included. A call that ran
    several times is one call.
    """
    for record in evidence.programs:
        calls = [call for call in trace.work if _is_within(call, record.key)]
        name = f"Program {record.key.team}/{record.key.program}"
        yield from _compare(name, record.budget, calls, trace)
    for team, budget in evidence.team_budgets.items():
        calls = [call for call in trace.work if call.team == team]
        yield from _compare(f"Team {team}", budget, calls, trace)


def _is_within(call: CallKey, key: ProgramKey) -> bool:
    own = call.program == key.program or call.program.startswith(f"{key.program}/")
    return own and call.team == key.team


def _compare(
    name: str, budget: Budget, calls: list[CallKey], trace: Trace
) -> Iterator[Breach]:
    work = [item for call in calls for item in trace.work[call]]
    tokens = sum(item.tokens for item in work if isinstance(item, EngineRun))
    count = sum(1 for call in calls if trace.work[call])
    shown = tuple(describe(item) for item in work[-20:])
    if budget.tokens is not None and tokens > budget.tokens:
        yield Breach(
            Property.BUDGET, f"{name} took {tokens} of {budget.tokens} tokens.", shown
        )
    if budget.calls is not None and count > budget.calls:
        yield Breach(
            Property.BUDGET, f"{name} made {count} of {budget.calls} calls.", shown
        )
