"""Checks that calls run at most once, and that calls reported as not run did not."""

from collections.abc import Iterator

from bench.checker.evidence_index import EvidenceIndex, Work, describe
from bench.checker.records import (
    Attempt,
    AttemptOutcome,
    Breach,
    Effect,
    Evidence,
    Property,
)

NOT_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.REFUSED_FINAL,
        AttemptOutcome.NOT_CONNECTED,
    }
)


def check_at_most_once(evidence: Evidence, index: EvidenceIndex) -> Iterator[Breach]:
    """Yields calls that must not be repeated but have more than one effect."""
    for call, attempts in index.attempts.items():
        effects = [item for item in index.work[call] if isinstance(item, Effect)]
        if attempts[0].once and len(effects) > 1:
            yield Breach(
                Property.AT_MOST_ONCE,
                f"Call {call.sequence} of {call.team}/{call.program} had "
                f"{len(effects)} effects.",
                tuple(describe(item) for item in [*attempts, *effects]),
            )


def check_not_run(evidence: Evidence, index: EvidenceIndex) -> Iterator[Breach]:
    """Yields work that no attempt of its call explains.

    An attempt explains later work unless its caller knows that it did not run. The
    caller of an attempt whose connection broke does not know the outcome, so that such
    an attempt explains any later work of its call.
    """
    for call, attempts in index.attempts.items():
        for item in index.work[call]:
            if _is_unexplained(attempts, item):
                yield Breach(
                    Property.NOT_RUN,
                    f"Call {call.sequence} of {call.team}/{call.program} ran although "
                    "it was reported as not run.",
                    tuple(describe(record) for record in [*attempts, item]),
                )


def _is_unexplained(attempts: list[Attempt], item: Work) -> bool:
    earlier = [attempt for attempt in attempts if attempt.sent <= item.time]
    return all(attempt.outcome in NOT_RUN_OUTCOMES for attempt in earlier)
