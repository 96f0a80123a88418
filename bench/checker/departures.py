"""Checks that leaving targets get no new work and planned stops cut off no request."""

from collections.abc import Iterator

from bench.checker.evidence_index import EvidenceIndex, describe
from bench.checker.records import (
    Attempt,
    AttemptOutcome,
    Breach,
    Disturbance,
    Evidence,
    PlannedStop,
    Property,
)

LEAVING_GRACE_SECONDS = 3.0
"""Time after the start of a departure in which the target may still get new work."""
CUT_OFF_OUTCOMES = frozenset(
    {AttemptOutcome.BROKEN, AttemptOutcome.UNKNOWN, AttemptOutcome.INCOMPLETE}
)


def check_leaving(evidence: Evidence, index: EvidenceIndex) -> Iterator[Breach]:
    """Yields work that a leaving target began after `LEAVING_GRACE_SECONDS`."""
    for departure in evidence.departures:
        begin = departure.time + LEAVING_GRACE_SECONDS
        end = departure.returned or float("inf")
        for item in [*evidence.effects, *evidence.runs]:
            if item.target == departure.target and begin < item.time < end:
                yield Breach(
                    Property.LEAVING,
                    f"{item.target} got new work {item.time - departure.time:.1f} s "
                    "after the start of its departure.",
                    (describe(item),),
                )


def check_planned_stops(evidence: Evidence, index: EvidenceIndex) -> Iterator[Breach]:
    """Yields planned stops that did not finish, and attempts that they cut off.

    An attempt that overlaps a disturbance is not checked, because the unplanned fault
    may have cut it off.
    """
    for stop in evidence.stops:
        if not stop.finished:
            yield Breach(
                Property.PLANNED_STOP,
                f"The planned stop of {stop.process} did not finish within "
                f"{stop.ended - stop.started:.0f} s.",
            )
    for attempt in evidence.attempts:
        if attempt.outcome not in CUT_OFF_OUTCOMES:
            continue
        stops = [stop for stop in evidence.stops if _overlaps(attempt, stop)]
        disturbed = any(_overlaps(attempt, item) for item in evidence.disturbances)
        if stops and not disturbed:
            names = ", ".join(stop.process for stop in stops)
            yield Breach(
                Property.PLANNED_STOP,
                f"The planned stop of {names} cut off a request.",
                (describe(attempt),),
            )


def _overlaps(attempt: Attempt, other: PlannedStop | Disturbance) -> bool:
    return attempt.sent <= other.ended and attempt.ended >= other.started
