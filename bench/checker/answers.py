"""Whole answers: what a caller took as an answer is one that a target gave."""

from collections.abc import Iterator

from bench.checker.records import (
    Attempt,
    AttemptOutcome,
    Breach,
    Effect,
    EngineRun,
    Evidence,
    Property,
)
from bench.checker.traces import Trace, Work, describe
from goldcrestvane_standins.runs import Message, build_answer


def check_answers(evidence: Evidence, trace: Trace) -> Iterator[Breach]:
    """Yields answers that no recorded run or effect of the call explains."""
    for call, attempts in trace.attempts.items():
        for attempt in attempts:
            if attempt.outcome is not AttemptOutcome.ANSWERED:
                continue
            work = trace.work[call]
            if not any(_explains(item, attempt) for item in work):
                yield Breach(
                    Property.WHOLE_ANSWERS,
                    f"The answer of call {call.sequence} of "
                    f"{call.team}/{call.program} is none that a target gave.",
                    (
                        *(describe(record) for record in [attempt, *work]),
                        f"answer {attempt.text!r} {attempt.finish_reason}",
                    ),
                )


def _explains(item: Work, attempt: Attempt) -> bool:
    if isinstance(item, Effect):
        return attempt.result == item.marker and attempt.effect == item.effect
    return _is_answer_of(item, attempt)


def _is_answer_of(run: EngineRun, attempt: Attempt) -> bool:
    messages = tuple(Message(item.role, item.content) for item in run.messages)
    whole = build_answer(messages)
    words = attempt.text.split(" ") if attempt.text else []
    if attempt.finish_reason == "stop":
        return tuple(words) == whole
    if attempt.finish_reason != "length":
        return False
    told = len(words) == attempt.completion_tokens
    return told and 0 < len(words) < len(whole) and tuple(words) == whole[: len(words)]
