"""Records the metrics of a run by priority class."""

from typing import final

import msgspec
from hdrh.histogram import HdrHistogram

from goldcrestvane_common.settings import Priority

MAX_LATENCY_MS = 3_600_000
LATENCY_DIGITS = 3


class ClassMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """Metrics of one priority class in one run.

    Attributes:
        programs: Programs that arrived in the measured period.
        p50: Median program latency in seconds. A failed program counts with its
            deadline.
        p95: 95th percentile of the program latency.
        p99: 99th percentile of the program latency.
        in_time: Share of the programs that finished by their deadline.
        wasted_share: Prefix tokens that were computed again, as a share of all prompt
            tokens.
        useful_rate: New and generated tokens per second of programs that finished by
            their deadline within the measured period.
        attempts_per_call: Mean number of attempts per call.
        max_gap_seconds: Longest time in seconds without a completed model call.
    """

    programs: int
    p50: float
    p95: float
    p99: float
    in_time: float
    wasted_share: float
    useful_rate: float
    attempts_per_call: float
    max_gap_seconds: float


@final
class ClassRecorder:
    """Accumulates the measurements of one class of programs."""

    def __init__(self, *, warm_up_seconds: float) -> None:
        self._last_end = warm_up_seconds
        self.max_gap_seconds = 0.0
        self.latencies = HdrHistogram(1, MAX_LATENCY_MS, LATENCY_DIGITS)
        self.programs = 0
        self.in_time = 0
        self.useful_tokens = 0
        self.prompt_tokens = 0
        self.wasted_tokens = 0
        self.calls = 0
        self.attempts = 0

    def record_program(self, seconds: float, *, in_time: bool) -> None:
        """Records the end of a program."""
        self.programs += 1
        self.in_time += in_time
        self.latencies.record_value(max(1, round(seconds * 1000)))

    def record_prompt(
        self, *, prompt_tokens: int, wasted_tokens: int, time: float
    ) -> None:
        """Records the prompt of a model call.

        Args:
            prompt_tokens: Tokens of the prompt.
            wasted_tokens: Prefix tokens that were computed again.
            time: Time since the start of the run at which the call completed.
        """
        self.max_gap_seconds = max(self.max_gap_seconds, time - self._last_end)
        self._last_end = time
        self.prompt_tokens += prompt_tokens
        self.wasted_tokens += wasted_tokens

    def build_metrics(
        self, *, warm_up_seconds: float, run_seconds: float
    ) -> ClassMetrics:
        """Returns the metrics of the period between two times of the run."""
        measured_seconds = run_seconds - warm_up_seconds
        return ClassMetrics(
            programs=self.programs,
            p50=self._get_percentile(50),
            p95=self._get_percentile(95),
            p99=self._get_percentile(99),
            in_time=self.in_time / max(1, self.programs),
            wasted_share=self.wasted_tokens / max(1, self.prompt_tokens),
            useful_rate=self.useful_tokens / measured_seconds,
            attempts_per_call=self.attempts / max(1, self.calls),
            max_gap_seconds=max(self.max_gap_seconds, run_seconds - self._last_end),
        )

    def _get_percentile(self, percentile: float) -> float:
        return self.latencies.get_value_at_percentile(percentile) / 1000


@final
class RunRecorder:
    """Holds one recorder for each class; the key None stands for all programs."""

    def __init__(self, *, warm_up_seconds: float, run_seconds: float) -> None:
        self._warm_up_seconds = warm_up_seconds
        self._run_seconds = run_seconds
        self._recorders: dict[Priority | None, ClassRecorder] = {
            priority: ClassRecorder(warm_up_seconds=warm_up_seconds)
            for priority in (None, *Priority)
        }

    def is_measured(self, time: float) -> bool:
        """Returns whether a time since the start lies in the measured period."""
        return self._warm_up_seconds <= time < self._run_seconds

    def get_recorders(self, priority: Priority) -> tuple[ClassRecorder, ClassRecorder]:
        """Returns the recorder of a class and the recorder of all programs."""
        return self._recorders[priority], self._recorders[None]

    def build_metrics(self) -> dict[Priority | None, ClassMetrics]:
        """Returns the metrics of each class."""
        return {
            priority: recorder.build_metrics(
                warm_up_seconds=self._warm_up_seconds, run_seconds=self._run_seconds
            )
            for priority, recorder in self._recorders.items()
        }
