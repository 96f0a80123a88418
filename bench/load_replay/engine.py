"""Model of one engine: batches, prefill in chunks, a cache of what was read."""

from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from typing import final

import msgspec
import trio

from goldcrestvane_daemon.targets import ReportedLoad

STEPS_TOGETHER = 5
"""Steps that are played as one, a fifth of an event."""


class EngineSheet(msgspec.Struct, frozen=True, kw_only=True):
    """Size and speed of an engine, as an installation states them.

    Attributes:
        slots: Requests that run at a time.
        step_seconds: Time of a step that makes one token for each request.
        slot_seconds: Time that each running request adds to a step.
        context_seconds: Time that each 1,000 tokens in memory add to a step.
        prefill_tokens: Prompt tokens read a second.
        chunk_tokens: Prompt tokens read between two steps.
        event_tokens: Tokens of an event.
        memory_tokens: Tokens that fit into the memory.
    """

    slots: int = 16
    step_seconds: float = 0.00118
    slot_seconds: float = 0.0000154
    context_seconds: float = 0.000000383
    prefill_tokens: float = 471_000.0
    chunk_tokens: int = 4096
    event_tokens: int = 25
    memory_tokens: int = 653_766


class Prompt(msgspec.Struct, frozen=True):
    """A prompt by its parts, each with its tokens; the order tells what is shared."""

    parts: tuple[tuple[str, int], ...]

    @property
    def tokens(self) -> int:
        """Tokens of all parts."""
        return sum(tokens for _, tokens in self.parts)


@final
class _Run:
    def __init__(self, prompt: Prompt, events: int, priority: int) -> None:
        self.prompt = prompt
        self.priority = priority
        self.unread = 0
        self.tokens_left = events * STEPS_TOGETHER
        self.made, self.made_events = trio.open_memory_channel[None](events)
        self.progress = 0


@final
class Engine:
    """Runs requests one step after another.

    Attributes:
        alive: Whether it takes requests.
        slow_factor: Multiple of its usual time that each step takes.
        busy_seconds: Time that it worked.
    """

    def __init__(self, sheet: EngineSheet) -> None:
        self._sheet = sheet
        self._running: list[_Run] = []
        self._waiting: deque[_Run] = deque()
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._wakeup = trio.Event()
        self.alive = True
        self.slow_factor = 1.0
        self.busy_seconds = 0.0

    def report(self) -> ReportedLoad:
        """Returns the load that the engine states with an answer."""
        return ReportedLoad(
            running=len(self._running),
            waiting=len(self._waiting),
            slots=self._sheet.slots,
        )

    async def generate(
        self, prompt: Prompt, *, events: int, priority: int
    ) -> AsyncIterator[None]:
        """Yields once for each event, as it is made."""
        run = _Run(prompt, events, priority)
        self._waiting.append(run)
        self._wakeup.set()
        try:
            async for _ in run.made_events:
                yield
        finally:
            run.tokens_left = 0

    async def run(self) -> None:
        """Works until cancelled."""
        while True:
            self._running = [run for run in self._running if run.tokens_left > 0]
            self._admit()
            if not self._running:
                await self._wakeup.wait()
                self._wakeup = trio.Event()
                continue
            seconds = self._measure_steps() * self.slow_factor
            self.busy_seconds += seconds
            await trio.sleep(seconds)
            self._advance()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._sheet.slots:
            run = min(self._waiting, key=lambda each: each.priority)
            self._waiting.remove(run)
            if run.tokens_left > 0:
                run.unread = run.prompt.tokens - self._count_cached(run.prompt)
                self._running.append(run)

    def _count_cached(self, prompt: Prompt) -> int:
        cached = 0
        for name, tokens in prompt.parts:
            if name not in self._cache:
                break
            self._cache.move_to_end(name)
            cached += tokens
        return cached

    def _measure_steps(self) -> float:
        sheet = self._sheet
        context = sum(run.prompt.tokens for run in self._running) / 1000
        step = (
            sheet.step_seconds
            + sheet.slot_seconds * len(self._running)
            + sheet.context_seconds * context
        )
        room = sheet.chunk_tokens * STEPS_TOGETHER
        self._reads: list[tuple[_Run, int]] = []
        for run in self._running:
            read = min(run.unread, room)
            room -= read
            self._reads.append((run, read))
        tokens = sum(read for _, read in self._reads)
        return STEPS_TOGETHER * step + tokens / sheet.prefill_tokens

    def _advance(self) -> None:
        for run, read in self._reads:
            if run.unread > 0:
                run.unread -= read
                if run.unread <= 0:
                    self._remember(run.prompt)
                continue
            run.progress += STEPS_TOGETHER
            if run.progress % self._sheet.event_tokens == 0 and run.tokens_left > 0:
                run.made.send_nowait(None)
                run.tokens_left -= STEPS_TOGETHER
                if run.tokens_left <= 0:
                    run.made.close()

    def _remember(self, prompt: Prompt) -> None:
        for name, tokens in prompt.parts:
            self._cache[name] = tokens
            self._cache.move_to_end(name)
        while sum(self._cache.values()) > self._sheet.memory_tokens:
            self._cache.popitem(last=False)
