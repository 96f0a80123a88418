"""Checks that a prompt has every earlier turn of its program and no other."""

from collections.abc import Iterator

from bench.checker.evidence_index import EvidenceIndex, describe
from bench.checker.records import (
    MARKER_PATTERN,
    Attempt,
    AttemptOutcome,
    Breach,
    CallKey,
    ChatMessage,
    EngineRun,
    Evidence,
    Property,
)


def check_history(evidence: Evidence, index: EvidenceIndex) -> Iterator[Breach]:
    """Yields engine runs whose prompt lacks turns or has turns of other programs.

    The prompt of a program whose caller sends the history must equal the messages that
    the caller sent.
    """
    programs = {item.key for item in evidence.programs if item.owner_history}
    calls_by_marker = {item.marker: item.call for item in evidence.attempts}
    for call, items in index.work.items():
        for run in items:
            if not isinstance(run, EngineRun):
                continue
            if call.program_key in programs:
                problems = _check_owner_history(call, run, index, calls_by_marker)
            else:
                problems = _compare_with_sent(run, index.attempts[call][0])
            for problem in problems:
                yield Breach(
                    Property.HISTORY,
                    f"Call {call.sequence} of {call.team}/{call.program}: {problem}",
                    (describe(run),),
                )


def _compare_with_sent(run: EngineRun, attempt: Attempt) -> Iterator[str]:
    if run.messages != attempt.messages:
        yield "the prompt differs from what the caller sent."


def _check_owner_history(
    call: CallKey,
    run: EngineRun,
    index: EvidenceIndex,
    calls_by_marker: dict[str, CallKey],
) -> Iterator[str]:
    sent = index.attempts[call][0].messages
    if run.messages[len(run.messages) - len(sent) :] != sent:
        yield "the prompt does not end with what the caller sent."
    seen: list[int] = []
    for message in run.messages:
        for marker in MARKER_PATTERN.findall(message.content):
            origin = calls_by_marker.get(marker)
            if origin is None or origin.program_key != call.program_key:
                yield f"the prompt contains {marker} of another program."
            else:
                seen.append(origin.sequence)
    if seen != sorted(set(seen)):
        yield f"the prompt has the turns {seen}, but each must occur once and in order."
    if not _is_subsequence(_list_acknowledged_turns(call, run, index), run.messages):
        yield f"the prompt lacks acknowledged turns; it has the turns {seen}."


def _list_acknowledged_turns(
    call: CallKey, run: EngineRun, index: EvidenceIndex
) -> list[ChatMessage]:
    """Returns the earlier turns that were answered before the run began."""
    turns: list[ChatMessage] = []
    for sequence in range(1, call.sequence):
        answer = index.find_answered_attempt(CallKey(call.team, call.program, sequence))
        if answer is None or not answer.messages or answer.ended > run.time:
            continue
        assert answer.outcome is AttemptOutcome.ANSWERED
        turns += [*answer.messages, ChatMessage("assistant", answer.text)]
    return turns


def _is_subsequence(
    expected: list[ChatMessage], messages: tuple[ChatMessage, ...]
) -> bool:
    # A membership test consumes the iterator up to the match, which keeps the order.
    remaining = iter(messages)
    return all(message in remaining for message in expected)
