"""Output of commands as tables or JSON."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TextIO, final

import msgspec

from goldcrestvane_client.options import OutputFormat

COLUMN_GAP = "  "


@final
@dataclass(frozen=True, kw_only=True)
class Table:
    """A table with a header; every row has one cell per column."""

    columns: Sequence[str]
    rows: Sequence[Sequence[object]]


@final
@dataclass(frozen=True, kw_only=True)
class CommandResult:
    """The result of a command.

    Attributes:
        value: The complete result for JSON output; any value that msgspec encodes.
        lines: Lines of text shown before the tables.
        tables: The result for table output.
    """

    value: Any
    lines: Sequence[str] = ()
    tables: Sequence[Table] = ()


def print_result(
    result: CommandResult, output_format: OutputFormat, stream: TextIO
) -> None:
    """Prints a result in the requested format."""
    _PRINTERS[output_format](result, stream)


def _print_json(result: CommandResult, stream: TextIO) -> None:
    encoded = msgspec.json.format(msgspec.json.encode(result.value), indent=2)
    print(encoded.decode(), file=stream)


def _print_text(result: CommandResult, stream: TextIO) -> None:
    for line in result.lines:
        print(line, file=stream)
    for index, table in enumerate(result.tables):
        if index or result.lines:
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
