"""Index that assigns the records of targets to the calls that caused them."""

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
"""Record that a target made when it ran a call."""


@final
class EvidenceIndex:
    """Index of attempts and work by call.

    Attributes:
        attempts: Attempts of each call, in the order in which they were sent.
        work: Effects and engine runs of each call, ordered by time.
        untraced: Effects and engine runs whose marker belongs to no logged call.
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

    def group_work(self) -> dict[ProgramKey, list[tuple[CallKey, Work]]]:
        """Returns the work of each program, ordered by time."""
        groups: dict[ProgramKey, list[tuple[CallKey, Work]]] = defaultdict(list)
        for call, items in self.work.items():
            for item in items:
                groups[call.program_key].append((call, item))
        for entries in groups.values():
            entries.sort(key=lambda entry: entry[1].time)
        return groups

    def find_answered_attempt(self, call: CallKey) -> Attempt | None:
        """Returns the first answered attempt of a call, or None if it has none."""
        for attempt in self.attempts.get(call, []):
            if attempt.outcome is AttemptOutcome.ANSWERED:
                return attempt
        return None


def describe(item: Attempt | Work) -> str:
    """Returns a one-line description of a record."""
    if isinstance(item, Attempt):
        return (
            f"attempt {item.marker} at {item.entry} sent {item.sent:.3f} "
            f"ended {item.ended:.3f}: {item.outcome.value} {item.error}"
        )
    if isinstance(item, Effect):
        return f"effect {item.marker} at {item.target} {item.time:.3f}"
    return f"run {item.marker} at {item.target} {item.time:.3f} {item.state}"
