"""Reads processor time and memory of processes from the kernel."""

import os
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import final

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIB = 1024
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12


@final
@dataclass(frozen=True, kw_only=True)
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu_seconds: User and system time since its start, with a resolution of 10 ms.
        resident_bytes: Current resident memory.
    """

    cpu_seconds: float
    resident_bytes: int


def parse_cpu_seconds(stat: str) -> float:
    """Returns user and system time from the text of ``/proc/PID/stat``.

    The name of the command is in parentheses and may contain spaces.
    """
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ticks / TICKS_PER_SECOND


def parse_resident_bytes(status: str) -> int:
    """Returns ``VmRSS`` from the text of ``/proc/PID/status``.

    Raises:
        ValueError: The text has no such line because the process has ended.
    """
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    raise ValueError("Got no VmRSS line; the process has ended.")


def read_usage(pid: int) -> Usage:
    """Returns the resource usage of a running process."""
    folder = Path("/proc") / str(pid)
    return Usage(
        cpu_seconds=parse_cpu_seconds((folder / "stat").read_text()),
        resident_bytes=parse_resident_bytes((folder / "status").read_text()),
    )


@final
class Meter:
    """Measures the processor time of processes since the meter's creation."""

    def __init__(self, pids: Mapping[str, int]) -> None:
        self._pids = dict(pids)
        self._start = {name: read_usage(pid) for name, pid in self._pids.items()}

    def read_cpu(self) -> dict[str, float]:
        """Returns the processor seconds of each process so far."""
        return {
            name: read_usage(pid).cpu_seconds - self._start[name].cpu_seconds
            for name, pid in self._pids.items()
        }


def find_percentile(values: Iterable[float], share: float) -> float:
    """Returns the smallest value that at least a share of the values does not exceed.

    Raises:
        ValueError: There are no values.
    """
    sorted_values = sorted(values)
    if not sorted_values:
        raise ValueError("Got no values; run at least one call.")
    rank = max(1, -int(-share * len(sorted_values) // 1))
    return sorted_values[rank - 1]


def fit_slope(points: Iterable[tuple[float, float]]) -> tuple[float, float]:
    """Returns intercept and slope of the least-squares line through points.

    Raises:
        ValueError: All points have the same x coordinate, or there are none.
    """
    pairs = list(points)
    count = len(pairs)
    mean_x = sum(x for x, _ in pairs) / count if count else 0.0
    mean_y = sum(y for _, y in pairs) / count if count else 0.0
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    if not spread:
        raise ValueError(
            f"Got {count} points with one x coordinate; measure two sizes."
        )
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return mean_y - slope * mean_x, slope
