"""Runs calls with concurrent workers and records their latencies."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import final

import trio

from cost.usage import find_percentile

Call = Callable[[], Awaitable[None]]


@final
@dataclass(kw_only=True)
class LoadResult:
    """Durations of a run of calls.

    Attributes:
        seconds: Duration of the whole run.
        latencies: Latency of each call in seconds.
    """

    seconds: float = 0.0
    latencies: list[float] = field(default_factory=list)

    @property
    def count(self) -> int:
        """Number of calls."""
        return len(self.latencies)

    @property
    def calls_per_second(self) -> float:
        """Mean rate over the whole run."""
        return self.count / self.seconds

    def find_latency(self, share: float) -> float:
        """Returns a percentile of the latencies, in seconds."""
        return find_percentile(self.latencies, share)


async def run_load(workers: list[Call], *, calls_each: int) -> LoadResult:
    """Runs the call of each worker several times in sequence, workers concurrently."""
    result = LoadResult()

    async def work(call: Call) -> None:
        for _ in range(calls_each):
            started_at = trio.current_time()
            await call()
            result.latencies.append(trio.current_time() - started_at)

    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for call in workers:
            nursery.start_soon(work, call)
    result.seconds = trio.current_time() - started_at
    return result
