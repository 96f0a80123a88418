"""Leaving targets get no new work, and planned stops cut nothing off."""

from collections.abc import Iterator

from bench.checker.records import (
    Attempt,
    AttemptOutcome,
    Breach,
    Disturbance,
    Evidence,
    PlannedStop,
    Property,
)
from bench.checker.traces import Trace, describe

LEAVING_SECONDS = 3.0
CUT = frozenset(
    {AttemptOutcome.BROKEN, AttemptOutcome.UNKNOWN, AttemptOutcome.INCOMPLETE}
)


def check_leaving(evidence: Evidence, trace: Trace) -> Iterator[Breach]:
    """Yields work that began at a target `LEAVING_SECONDS` after it was to leave."""
    for departure in evidence.departures:
        begin = departure.time + LEAVING_SECONDS
        end = departure.returned or float("inf")
        for item in [*evidence.effects, *evidence.runs]:
            if item.target == departure.target and begin < item.time < end:
                yield Breach(
                    Property.LEAVING,
                    f"{item.target} got new work {item.time - departure.time:.1f} s "
                    "after it was to leave.",
                    (describe(item),),
                )


def check_planned_stops(evidence: Evidence, trace: Trace) -> Iterator[Breach]:
    """Yields stops without an end, and attempts cut off by planned stops.

    An attempt that ran into a time of unplanned faults is not judged.
    """
    for stop in evidence.stops:
        if not stop.finished:
            yield Breach(
                Property.PLANNED_STOP,
                f"The planned stop of {stop.process} had no end after "
                f"{stop.ended - stop.started:.0f} s.",
            )
    for attempt in evidence.attempts:
        if attempt.outcome not in CUT:
            continue
        stops = [stop for stop in evidence.stops if _overlaps(attempt, stop)]
        disturbed = any(_overlaps(attempt, item) for item in evidence.disturbances)
        if stops and not disturbed:
            names = ", ".join(stop.process for stop in stops)
            yield Breach(
                Property.PLANNED_STOP,
                f"The planned stop of {names} cut a request off.",
                (describe(attempt),),
            )


def _overlaps(attempt: Attempt, other: PlannedStop | Disturbance) -> bool:
    return attempt.sent <= other.ended and attempt.ended >= other.started
