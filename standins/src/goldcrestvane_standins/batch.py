"""Continuous batching of the model engine stand-in.

Runs wait in a priority queue for a slot and generate tokens at a fixed rate.
"""

import itertools
import os
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import final

import msgspec
import trio

from goldcrestvane_standins.prefixes import PrefixCache
from goldcrestvane_standins.runs import Run, RunState

CRASH_MARKER = "CRASH-ENGINE"


class BatchSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Size and speed of a batch.

    Attributes:
        slots: Number of runs that generate at the same time.
        token_seconds: Time to generate one token, in seconds.
        prefill_token_seconds: Time to process one uncached prompt token, in seconds.
        stream_retention_seconds: Time for which a finished stream stays readable, in
            seconds.
    """

    slots: int
    token_seconds: float
    prefill_token_seconds: float
    stream_retention_seconds: float


@final
class SlotQueue:
    """Grants slots by priority, and in order of arrival within a priority.

    Attributes:
        free: Number of unoccupied slots.
    """

    def __init__(self, slots: int) -> None:
        self.free = slots
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._arrival_numbers = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Waits for a slot; a lower priority number is served first."""
        if self.free:
            self.free -= 1
            return
        entry = (priority, next(self._arrival_numbers), trio.Event())
        heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except trio.Cancelled:
            self._remove_waiter(entry)
            raise

    def release(self) -> None:
        """Passes the slot to the first waiter, or frees it."""
        if self._waiting:
            heappop(self._waiting)[2].set()
        else:
            self.free += 1

    def _remove_waiter(self, entry: tuple[int, int, trio.Event]) -> None:
        if entry[2].is_set():
            self.release()
            return
        self._waiting.remove(entry)
        heapify(self._waiting)


@final
class Batch:
    """Executes runs concurrently, up to the number of slots.

    Attributes:
        runs: Every run in order of arrival.
        streams: Runs that can still be read, by stream id. A later run with the same
            stream id replaces the earlier one.
    """

    def __init__(
        self,
        settings: BatchSettings,
        cache: PrefixCache,
        *,
        nursery: trio.Nursery,
        on_change: Callable[[], None],
    ) -> None:
        self.runs: list[Run] = []
        self.streams: dict[str, Run] = {}
        self._settings = settings
        self._cache = cache
        self._nursery = nursery
        self._slots = SlotQueue(settings.slots)
        self._on_change = on_change
        self._counts = dict.fromkeys(RunState, 0)

    def start(self, run: Run) -> None:
        """Queues a run, which continues to its end even if nobody reads it."""
        self.runs.append(run)
        self.streams[run.stream_id] = run
        self._counts[run.state] += 1
        self._on_change()
        self._nursery.start_soon(self._run_to_end, run)

    def count(self, state: RunState) -> int:
        """Returns the number of runs in a state."""
        return self._counts[state]

    async def _run_to_end(self, run: Run) -> None:
        with run.cancel_scope:
            await self._slots.acquire(run.priority)
            try:
                await self._generate(run)
            finally:
                self._slots.release()
        cancelled = run.cancel_scope.cancelled_caught
        self._set_state(run, RunState.CANCELLED if cancelled else RunState.DONE)
        await trio.sleep(self._settings.stream_retention_seconds)
        if self.streams.get(run.stream_id) is run:
            del self.streams[run.stream_id]

    async def _generate(self, run: Run) -> None:
        self._set_state(run, RunState.RUNNING)
        if any(CRASH_MARKER in (message.content or "") for message in run.messages):
            os._exit(1)
        run.cached_tokens = self._cache.match(run.prompt)
        uncached = len(run.prompt) - run.cached_tokens
        deadline = trio.current_time() + uncached * self._settings.prefill_token_seconds
        await trio.sleep_until(deadline)
        self._store_prefix(run)
        for word in run.answer:
            deadline += self._settings.token_seconds
            await trio.sleep_until(deadline)
            run.add_word(word)
        self._store_prefix(run)

    def _store_prefix(self, run: Run) -> None:
        if run.session is not None:
            self._cache.store(run.session, run.prompt + tuple(run.words))

    def _set_state(self, run: Run, state: RunState) -> None:
        self._counts[run.state] -= 1
        self._counts[state] += 1
        run.set_state(state)
        self._on_change()
