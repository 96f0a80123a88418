"""Joins what targets recorded to the calls that led to it."""

from collections import defaultdict
from typing import final

from bench.checker.records import (
    Attempt,
    AttemptOutcome,
    CallKey,
    Effect,
    EngineRun,
    Evidence,
    ProgramKey,
)

Work = Effect | EngineRun


@final
class Trace:
    """Index of the evidence by call.

    Attributes:
        attempts: Attempts of each call, in the order they were sent.
        work: Effects and engine runs of each call, in the order of their times.
        untraced: Work whose marker belongs to no call of the log.
    """

    def __init__(self, evidence: Evidence) -> None:
        self.attempts: dict[CallKey, list[Attempt]] = defaultdict(list)
        self.work: dict[CallKey, list[Work]] = defaultdict(list)
        self.untraced: list[Work] = []
        calls: dict[str, CallKey] = {}
        for attempt in sorted(evidence.attempts, key=lambda item: item.sent):
            self.attempts[attempt.call].append(attempt)
            calls[attempt.marker] = attempt.call
        work: list[Work] = [*evidence.effects, *evidence.runs]
        for item in sorted(work, key=lambda item: item.time):
            call = calls.get(item.marker)
            if call is None:
                self.untraced.append(item)
            else:
                self.work[call].append(item)

    def list_work(self) -> dict[ProgramKey, list[tuple[CallKey, Work]]]:
        """Returns each program's work in the order of its times."""
        found: dict[ProgramKey, list[tuple[CallKey, Work]]] = defaultdict(list)
        for call, items in self.work.items():
            for item in items:
                found[call.owner].append((call, item))
        for entries in found.values():
            entries.sort(key=lambda entry: entry[1].time)
        return found

    def find_answer(self, call: CallKey) -> Attempt | None:
        """Returns the first attempt of a call that was answered."""
        for attempt in self.attempts.get(call, []):
            if attempt.outcome is AttemptOutcome.ANSWERED:
                return attempt
        return None


def describe(item: Attempt | Work) -> str:
    """Returns a record as one line."""
    if isinstance(item, Attempt):
        return (
            f"attempt {item.marker} at {item.entry} sent {item.sent:.3f} "
            f"ended {item.ended:.3f}: {item.outcome.value} {item.error}"
        )
    if isinstance(item, Effect):
        return f"effect {item.marker} at {item.target} {item.time:.3f}"
    return f"run {item.marker} at {item.target} {item.time:.3f} {item.state}"
