"""Checks that the calls of a program run in the order in which they were issued."""

from collections.abc import Iterator

from bench.checker.evidence_index import EvidenceIndex, describe
from bench.checker.records import Breach, Evidence, Property


def check_order(evidence: Evidence, index: EvidenceIndex) -> Iterator[Breach]:
    """Yields work of a call that began after work of a later call.

    A repeatable call may run several times before the next call begins.
    """
    for key, entries in index.group_work().items():
        latest_call, latest = entries[0]
        for call, item in entries:
            if call.sequence < latest_call.sequence:
                yield Breach(
                    Property.ORDER,
                    f"Call {call.sequence} of {key.team}/{key.program} ran after "
                    f"call {latest_call.sequence} had begun.",
                    (describe(latest), describe(item)),
                )
            else:
                latest_call, latest = call, item
