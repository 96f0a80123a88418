"""Continuous batch of the model engine: slots, a priority queue and speed."""

import itertools
import os
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import final

import msgspec
import trio

from goldcrestvane_standins.prefixes import PrefixCache
from goldcrestvane_standins.runs import Run, RunState

CRASH_WORD = "CRASH-ENGINE"


class BatchSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Size and speed of a batch; times are in seconds."""

    slots: int
    token_seconds: float
    prefill_token_seconds: float
    stream_keep_seconds: float


@final
class SlotQueue:
    """Slots given by priority, then in the order of arrival.

    Attributes:
        free: Slots that no one holds.
    """

    def __init__(self, slots: int) -> None:
        self.free = slots
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._numbers = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Waits for a slot; the lowest priority number goes first."""
        if self.free:
            self.free -= 1
            return
        entry = (priority, next(self._numbers), trio.Event())
        heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except trio.Cancelled:
            self._withdraw(entry)
            raise

    def release(self) -> None:
        """Gives a slot to the next in the queue."""
        if self._waiting:
            heappop(self._waiting)[2].set()
        else:
            self.free += 1

    def _withdraw(self, entry: tuple[int, int, trio.Event]) -> None:
        if entry[2].is_set():
            self.release()
            return
        self._waiting.remove(entry)
        heapify(self._waiting)


@final
class Batch:
    """Runs prompts at once up to the number of slots.

    Attributes:
        runs: Every run in the order of arrival.
        streams: Runs that can still be read, by stream; a later run of the same
            stream takes its place.
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
        """Queues a run; it goes on without readers until its end."""
        self.runs.append(run)
        self.streams[run.stream_id] = run
        self._counts[run.state] += 1
        self._on_change()
        self._nursery.start_soon(self._keep, run)

    def count(self, state: RunState) -> int:
        """Returns how many runs are in a state."""
        return self._counts[state]

    async def _keep(self, run: Run) -> None:
        with run.scope:
            await self._slots.acquire(run.priority)
            try:
                await self._generate(run)
            finally:
                self._slots.release()
        cancelled = run.scope.cancelled_caught
        self._move(run, RunState.CANCELLED if cancelled else RunState.DONE)
        await trio.sleep(self._settings.stream_keep_seconds)
        if self.streams.get(run.stream_id) is run:
            del self.streams[run.stream_id]

    async def _generate(self, run: Run) -> None:
        self._move(run, RunState.RUNNING)
        if any(CRASH_WORD in (message.content or "") for message in run.messages):
            os._exit(1)
        run.cached_tokens = self._cache.match(run.prompt)
        uncached = len(run.prompt) - run.cached_tokens
        deadline = trio.current_time() + uncached * self._settings.prefill_token_seconds
        await trio.sleep_until(deadline)
        self._store(run)
        for word in run.answer:
            deadline += self._settings.token_seconds
            await trio.sleep_until(deadline)
            run.add_word(word)
        self._store(run)

    def _store(self, run: Run) -> None:
        if run.session is not None:
            self._cache.store(run.session, run.prompt + tuple(run.words))

    def _move(self, run: Run, state: RunState) -> None:
        self._counts[run.state] -= 1
        self._counts[state] += 1
        run.set_state(state)
        self._on_change()
