import unittest
from pathlib import Path

from goldcrestvane_common.errors import (
    ERROR_KINDS,
    Outcome,
    Overloaded,
    ServiceError,
    decode_error,
    encode_error,
)

REFERENCE = Path(__file__).parents[3] / "docs/reference/errors.md"


class ErrorTests(unittest.TestCase):
    def test_error_keeps_its_kind_and_outcome_on_the_wire(self):
        error = Overloaded("full", retry_after=2.5, outcome=Outcome.UNKNOWN)
        decoded = decode_error(encode_error(error))
        self.assertIs(type(decoded), Overloaded)
        self.assertEqual(decoded.call_outcome, Outcome.UNKNOWN)
        self.assertEqual((decoded.message, decoded.retry_after), ("full", 2.5))

    def test_reference_lists_each_kind_with_status_and_outcome(self):
        rows = set()
        for line in REFERENCE.read_text().splitlines():
            cells = [cell.strip(" `") for cell in line.split("|")]
            if len(cells) == 7 and cells[2].isdigit():
                rows.add((cells[1], int(cells[2]), cells[3]))
        kinds = [*ERROR_KINDS.values(), ServiceError]
        self.assertEqual(
            rows, {(kind.kind, kind.status, kind.outcome.value) for kind in kinds}
        )
