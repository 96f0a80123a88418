"""What a run measures, by priority class."""

from typing import final

import msgspec
from hdrh.histogram import HdrHistogram

from goldcrestvane_common.settings import Priority

MAX_LATENCY_MS = 3_600_000
LATENCY_DIGITS = 3


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run and one class of programs.

    Attributes:
        programs: Programs that arrived in the measured time.
        p50: Program latency in seconds; a failed program counts with its deadline.
        p95: The same.
        p99: The same.
        in_time: Share of programs finished by their deadline.
        wasted: Prefix tokens computed again against tokens needed.
        useful: Tokens a second, new and generated ones, of programs that ended in
            time within the measured time.
        attempts: Attempts a call.
        longest_gap: Longest time in seconds without an ended model call.
    """

    programs: int
    p50: float
    p95: float
    p99: float
    in_time: float
    wasted: float
    useful: float
    attempts: float
    longest_gap: float


@final
class Recorder:
    """Sums of one class of programs."""

    def __init__(self, *, warm_seconds: float) -> None:
        self._last_end = warm_seconds
        self.longest_gap = 0.0
        self.latencies = HdrHistogram(1, MAX_LATENCY_MS, LATENCY_DIGITS)
        self.programs = 0
        self.in_time = 0
        self.useful_tokens = 0
        self.prompt_tokens = 0
        self.wasted_tokens = 0
        self.calls = 0
        self.attempts = 0

    def record_program(self, seconds: float, *, in_time: bool) -> None:
        """Takes in the end of a program."""
        self.programs += 1
        self.in_time += in_time
        self.latencies.record_value(max(1, round(seconds * 1000)))

    def record_prompt(
        self, *, prompt_tokens: int, wasted_tokens: int, time: float
    ) -> None:
        """Takes in the prompt of a model call that ended at a time of the run."""
        self.longest_gap = max(self.longest_gap, time - self._last_end)
        self._last_end = time
        self.prompt_tokens += prompt_tokens
        self.wasted_tokens += wasted_tokens

    def build_figures(self, *, warm_seconds: float, run_seconds: float) -> Figures:
        """Returns the figures of the time between two times of the run."""
        measured_seconds = run_seconds - warm_seconds
        return Figures(
            programs=self.programs,
            p50=self._get_percentile(50),
            p95=self._get_percentile(95),
            p99=self._get_percentile(99),
            in_time=self.in_time / max(1, self.programs),
            wasted=self.wasted_tokens / max(1, self.prompt_tokens),
            useful=self.useful_tokens / measured_seconds,
            attempts=self.attempts / max(1, self.calls),
            longest_gap=max(self.longest_gap, run_seconds - self._last_end),
        )

    def _get_percentile(self, percentile: float) -> float:
        return self.latencies.get_value_at_percentile(percentile) / 1000


@final
class Measures:
    """Recorders of all classes; None stands for all programs together."""

    def __init__(self, *, warm_seconds: float, run_seconds: float) -> None:
        self._warm_seconds = warm_seconds
        self._run_seconds = run_seconds
        self._recorders: dict[Priority | None, Recorder] = {
            priority: Recorder(warm_seconds=warm_seconds)
            for priority in (None, *Priority)
        }

    def covers(self, time: float) -> bool:
        """Tells whether a time since the start is measured."""
        return self._warm_seconds <= time < self._run_seconds

    def get(self, priority: Priority) -> tuple[Recorder, Recorder]:
        """Returns the recorder of a class and that of all classes."""
        return self._recorders[priority], self._recorders[None]

    def build_figures(self) -> dict[Priority | None, Figures]:
        """Returns the figures of each class."""
        return {
            priority: recorder.build_figures(
                warm_seconds=self._warm_seconds, run_seconds=self._run_seconds
            )
            for priority, recorder in self._recorders.items()
        }
