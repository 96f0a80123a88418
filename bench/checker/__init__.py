"""Checks the properties of a run against the records of stand-ins and callers.

The checks use no data that the product reports about itself, except the settings
versions that each process reports as in force.
"""

from collections.abc import Callable, Iterator

from bench.checker.answers import check_answers
from bench.checker.budget import check_budget
from bench.checker.departures import check_leaving, check_planned_stops
from bench.checker.evidence_index import EvidenceIndex
from bench.checker.history import check_history
from bench.checker.memory import check_engine_memory
from bench.checker.order import check_order
from bench.checker.records import Breach, Evidence, Property
from bench.checker.repeats import check_at_most_once, check_not_run
from bench.checker.settings import check_settings

Check = Callable[[Evidence, EvidenceIndex], Iterator[Breach]]

CHECKS: dict[Property, Check] = {
    Property.ORDER: check_order,
    Property.HISTORY: check_history,
    Property.BUDGET: check_budget,
    Property.ENGINE_MEMORY: check_engine_memory,
    Property.WHOLE_ANSWERS: check_answers,
    Property.NOT_RUN: check_not_run,
    Property.AT_MOST_ONCE: check_at_most_once,
    Property.LEAVING: check_leaving,
    Property.PLANNED_STOP: check_planned_stops,
    Property.SETTINGS: check_settings,
}


def check_evidence(evidence: Evidence) -> list[Breach]:
    """Returns all breaches of the ten properties."""
    index = EvidenceIndex(evidence)
    return [breach for check in CHECKS.values() for breach in check(evidence, index)]
