"""Output of the commands, as tables or as JSON."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TextIO, final

import msgspec

from goldcrestvane_client.options import OutputKind

COLUMN_GAP = "  "


@final
@dataclass(frozen=True, kw_only=True)
class Table:
    """Rows under a header; every row has a cell for each column."""

    columns: Sequence[str]
    rows: Sequence[Sequence[object]]


@final
@dataclass(frozen=True, kw_only=True)
class Report:
    """What a command has to say.

    Attributes:
        value: Whole result for JSON; any value that msgspec encodes.
        lines: Plain lines, shown before the tables.
        tables: The result for people.
    """

    value: Any
    lines: Sequence[str] = ()
    tables: Sequence[Table] = ()


def print_report(report: Report, kind: OutputKind, stream: TextIO) -> None:
    """Prints a report in the form asked for."""
    _PRINTERS[kind](report, stream)


def _print_json(report: Report, stream: TextIO) -> None:
    encoded = msgspec.json.format(msgspec.json.encode(report.value), indent=2)
    print(encoded.decode(), file=stream)


def _print_text(report: Report, stream: TextIO) -> None:
    for line in report.lines:
        print(line, file=stream)
    for place, table in enumerate(report.tables):
        if place or report.lines:
            print(file=stream)
        print("\n".join(format_table(table)), file=stream)


def format_table(table: Table) -> list[str]:
    """Returns the lines of a table with aligned columns."""
    rows = [[str(cell) for cell in row] for row in (table.columns, *table.rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


_PRINTERS = {OutputKind.JSON: _print_json, OutputKind.TABLE: _print_text}
