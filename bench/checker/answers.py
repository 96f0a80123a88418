"""Checks that each answer that a caller received is the whole answer of a target."""

from collections.abc import Iterator

from bench.checker.evidence_index import EvidenceIndex, Work, describe
from bench.checker.records import (
    Attempt,
    AttemptOutcome,
    Breach,
    Effect,
    EngineRun,
    Evidence,
    Property,
)
from goldcrestvane_standins.runs import Message, build_answer


def check_answers(evidence: Evidence, index: EvidenceIndex) -> Iterator[Breach]:
    """Yields answers that match no recorded effect or engine run of their call."""
    for call, attempts in index.attempts.items():
        for attempt in attempts:
            if attempt.outcome is not AttemptOutcome.ANSWERED:
                continue
            work = index.work[call]
            if not any(_matches(item, attempt) for item in work):
                yield Breach(
                    Property.WHOLE_ANSWERS,
                    f"The answer of call {call.sequence} of "
                    f"{call.team}/{call.program} matches no answer of a target.",
                    (
                        *(describe(record) for record in [attempt, *work]),
                        f"answer {attempt.text!r} {attempt.finish_reason}",
                    ),
                )


def _matches(item: Work, attempt: Attempt) -> bool:
    if isinstance(item, Effect):
        return attempt.result == item.marker and attempt.effect == item.effect
    return _matches_run(item, attempt)


def _matches_run(run: EngineRun, attempt: Attempt) -> bool:
    messages = tuple(Message(item.role, item.content) for item in run.messages)
    full_answer = build_answer(messages)
    words = attempt.text.split(" ") if attempt.text else []
    if attempt.finish_reason == "stop":
        return tuple(words) == full_answer
    if attempt.finish_reason != "length":
        return False
    # A token of the engine stand-in is one word.
    has_reported_length = len(words) == attempt.completion_tokens
    return (
        has_reported_length
        and 0 < len(words) < len(full_answer)
        and tuple(words) == full_answer[: len(words)]
    )
