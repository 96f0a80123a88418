"""Prints tables of measurements, and whether targets are met."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True)
class Target:
    """A measured value and the limit that it must not exceed.

    Attributes:
        name: Name of the measurement.
        value: Measured value.
        limit: Highest value that meets the target.
        unit: Unit of value and limit.
    """

    name: str
    value: float
    limit: float
    unit: str

    @property
    def met(self) -> bool:
        """Whether the value does not exceed its limit."""
        return self.value <= self.limit


def print_rows(
    title: str, header: Sequence[str], rows: Sequence[Sequence[str]]
) -> None:
    """Prints a table with aligned columns."""
    lines = [header, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    print(f"\n{title}")
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  " + "  ".join(cells).rstrip())


def print_targets(targets: Sequence[Target]) -> None:
    """Prints each target with its value and whether it is met."""
    rows = [
        [
            target.name,
            f"{target.value:.2f}",
            f"{target.limit:g}",
            target.unit,
            "met" if target.met else "NOT met",
        ]
        for target in targets
    ]
    print_rows("targets", ["figure", "measured", "limit", "unit", ""], rows)
