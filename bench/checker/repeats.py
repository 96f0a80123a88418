"""At most once, and the truth of "not run"."""

from collections.abc import Iterator

from bench.checker.records import (
    Attempt,
    AttemptOutcome,
    Breach,
    Effect,
    Evidence,
    Property,
)
from bench.checker.traces import Trace, Work, describe

DENIALS = frozenset(
    {
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.REFUSED_FINAL,
        AttemptOutcome.NOT_CONNECTED,
    }
)


def check_at_most_once(evidence: Evidence, trace: Trace) -> Iterator[Breach]:
    """Yields each call that must not be repeated and has more than one effect."""
    for call, attempts in trace.attempts.items():
        effects = [item for item in trace.work[call] if isinstance(item, Effect)]
        if attempts[0].once and len(effects) > 1:
            yield Breach(
                Property.AT_MOST_ONCE,
                f"Call {call.sequence} of {call.team}/{call.program} had "
                f"{len(effects)} effects.",
                tuple(describe(item) for item in [*attempts, *effects]),
            )


def check_not_run(evidence: Evidence, trace: Trace) -> Iterator[Breach]:
    """Yields work that every attempt which could have led to it denies.

    An attempt can have led to the work when it was sent before it. An attempt whose
    connection broke tells nothing, so it explains any later work of its call.
    """
    for call, attempts in trace.attempts.items():
        for item in trace.work[call]:
            if _is_denied(attempts, item):
                yield Breach(
                    Property.NOT_RUN,
                    f"Call {call.sequence} of {call.team}/{call.program} ran although "
                    "its caller was told that it did not.",
                    tuple(describe(record) for record in [*attempts, item]),
                )


def _is_denied(attempts: list[Attempt], item: Work) -> bool:
    before = [attempt for attempt in attempts if attempt.sent <= item.time]
    return all(attempt.outcome in DENIALS for attempt in before)
