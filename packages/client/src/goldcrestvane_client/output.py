"""Output of the commands, as tables or as JSON."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TextIO, final

import msgspec

from goldcrestvane_client.options import OutputFormat

COLUMN_GAP = "  "


@final
@dataclass(frozen=True, kw_only=True)
class Table:
    """Rows under a header; every row has a cell for each column."""

    columns: Sequence[str]
    rows: Sequence[Sequence[object]]


@final
@dataclass(frozen=True, kw_only=True)
class CommandResult:
    """What a command has to say.

    Attributes:
        value: Whole result for JSON; any value that msgspec encodes.
        lines: Plain lines, shown before the tables.
        tables: The result for people.
    """

    value: Any
    lines: Sequence[str] = ()
    tables: Sequence[Table] = ()


def print_result(report: CommandResult, kind: OutputFormat, stream: TextIO) -> None:
    """Prints a report in the form asked for."""
    _PRINTERS[kind](report, stream)


def _print_json(report: CommandResult, stream: TextIO) -> None:
    encoded = msgspec.json.format(msgspec.json.encode(report.value), indent=2)
    print(encoded.decode(), file=stream)


def _print_text(report: CommandResult, stream: TextIO) -> None:
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


_PRINTERS = {OutputFormat.JSON: _print_json, OutputFormat.TABLE: _print_text}
