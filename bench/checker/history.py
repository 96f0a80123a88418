"""History: never lost, never mixed."""

from collections.abc import Iterator

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
from bench.checker.traces import Trace, describe


def check_history(evidence: Evidence, trace: Trace) -> Iterator[Breach]:
    """Yields engine runs whose prompt lacks turns or has foreign ones."""
    owners = {item.key for item in evidence.programs if item.owner_history}
    markers = {item.marker: item.call for item in evidence.attempts}
    for call, items in trace.work.items():
        for run in items:
            if not isinstance(run, EngineRun):
                continue
            if call.owner in owners:
                problems = _find_problems(call, run, trace, markers)
            else:
                problems = _compare_with_sent(run, trace.attempts[call][0])
            for problem in problems:
                yield Breach(
                    Property.HISTORY,
                    f"Call {call.sequence} of {call.team}/{call.program}: {problem}",
                    (describe(run),),
                )


def _compare_with_sent(run: EngineRun, attempt: Attempt) -> Iterator[str]:
    if run.messages != attempt.messages:
        yield "the prompt differs from what the caller sent."


def _find_problems(
    call: CallKey, run: EngineRun, trace: Trace, markers: dict[str, CallKey]
) -> Iterator[str]:
    sent = trace.attempts[call][0].messages
    if run.messages[len(run.messages) - len(sent) :] != sent:
        yield "the prompt does not end with what the caller sent."
    seen: list[int] = []
    for message in run.messages:
        for marker in MARKER_PATTERN.findall(message.content):
            origin = markers.get(marker)
            if origin is None or origin.owner != call.owner:
                yield f"the prompt holds {marker} of another program."
            else:
                seen.append(origin.sequence)
    if seen != sorted(set(seen)):
        yield f"the turns of the prompt are {seen}, not each once and in order."
    if not _is_subsequence(_list_turns(call, run, trace), run.messages):
        yield f"the prompt lacks acknowledged turns; it has the turns {seen}."


def _list_turns(call: CallKey, run: EngineRun, trace: Trace) -> list[ChatMessage]:
    """Returns the earlier turns whose answers the caller had when the run began."""
    turns: list[ChatMessage] = []
    for sequence in range(1, call.sequence):
        answer = trace.find_answer(CallKey(call.team, call.program, sequence))
        if answer is None or not answer.messages or answer.ended > run.time:
            continue
        assert answer.outcome is AttemptOutcome.ANSWERED
        turns += [*answer.messages, ChatMessage("assistant", answer.text)]
    return turns


def _is_subsequence(
    wanted: list[ChatMessage], messages: tuple[ChatMessage, ...]
) -> bool:
    rest = iter(messages)
    return all(message in rest for message in wanted)
