"""Draws outages of several processes, lost disks, and signals at awkward moments.

They are drawn apart from the other faults, beside which they occur.
"""

import random
import signal
from collections.abc import Awaitable, Callable
from typing import final

import trio

from bench.soak.links import LinkState
from bench.soak.machines import Machine, SignalAfter
from bench.soak.records import Evidence
from bench.soak.target_faults import TargetFaults

MIN_INTERVAL_SECONDS = 0.5
MAX_INTERVAL_SECONDS = 3.0
MAX_DOWN_SECONDS = 1.0
MAX_START_SECONDS = 1.0
"""Time after a start within which signals are drawn; half of them within a tenth."""

MAX_STOP_SECONDS = 2.0
"""Time after SIGTERM within which further signals are drawn."""

RELEASE_SECONDS = (0.3, 5.0)
"""Times after the begin of a release within which all frontends are killed."""

ALL_FRONTENDS = "kill of all frontends"
"""Kind of disturbance in which no frontend is left."""

Outage = Callable[[], Awaitable[None]]


@final
class SoakOutages:
    """Injects outages into frontends and ledger members."""

    def __init__(
        self,
        *,
        frontends: list[Machine],
        members: list[Machine],
        evidence: Evidence,
        rng: random.Random,
        nursery: trio.Nursery,
        targets: TargetFaults,
    ) -> None:
        self._frontends = frontends
        self._members = members
        self._evidence = evidence
        self._rng = rng
        self._nursery = nursery
        self._targets = targets
        self._has_lost_disk = False

    async def run(self, seconds: float) -> None:
        """Injects outages for some seconds."""
        outages: tuple[Outage, ...] = (
            self._kill_frontends,
            self._kill_frontends_beside_release,
            self._kill_frontends_beside_release,
            self._kill_all,
            self._kill_members,
            self._lose_disk,
            self._stop_with_further_signals,
            self._stop_with_further_signals,
            self._interrupt_start,
            self._interrupt_start,
            self._hang_up,
            self._disturb_link,
            self._disturb_link,
        )
        with trio.move_on_after(seconds):
            while True:
                self._nursery.start_soon(self._rng.choice(outages))
                await trio.sleep(
                    self._rng.uniform(MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS)
                )

    async def _kill_frontends(self) -> None:
        with self._evidence.record(ALL_FRONTENDS, "frontends"):
            await self._kill(self._frontends)

    async def _kill_all(self) -> None:
        with self._evidence.record(ALL_FRONTENDS, "frontends"):
            await self._kill([*self._members, *self._frontends])

    async def _kill_frontends_beside_release(self) -> None:
        """Kills all frontends while targets of one version replace all others."""
        self._nursery.start_soon(self._targets.release)
        await trio.sleep(self._rng.uniform(0, self._rng.choice(RELEASE_SECONDS)))
        await self._kill_frontends()

    async def _kill_members(self) -> None:
        """Kills some members; mostly more than may be lost at once."""
        count = self._rng.randint(1, len(self._members))
        await self._kill(self._rng.sample(self._members, count))

    async def _kill(self, machines: list[Machine]) -> None:
        """Kills processes at once; some are killed again while they start."""
        async with trio.open_nursery() as nursery:
            for machine in machines:
                signals = self._draw_start_signals() if self._rng.random() < 0.3 else ()
                down_seconds = self._rng.uniform(0, MAX_DOWN_SECONDS)
                nursery.start_soon(machine.kill, down_seconds, signals)

    async def _lose_disk(self) -> None:
        """Empties the disk of one member, at most once in a run."""
        machine = self._draw(self._members)
        if machine is None or self._has_lost_disk:
            return
        self._has_lost_disk = True
        down_seconds = self._rng.uniform(0, MAX_DOWN_SECONDS)
        await machine.kill(down_seconds, loses_disk=True)

    async def _stop_with_further_signals(self) -> None:
        """Stops a process and sends it SIGHUP and SIGTERM again while it stops."""
        machine = self._draw([*self._frontends, *self._members])
        if machine is not None:
            numbers = self._rng.choices((signal.SIGHUP, signal.SIGTERM), k=2)
            await machine.terminate(
                [
                    SignalAfter(number, self._rng.uniform(0, MAX_STOP_SECONDS))
                    for number in numbers
                ]
            )

    async def _interrupt_start(self) -> None:
        """Kills a process, and sends signals to it while it starts."""
        machine = self._draw([*self._frontends, *self._members])
        if machine is not None:
            await machine.kill(0, self._draw_start_signals())

    async def _hang_up(self) -> None:
        machine = self._draw([*self._frontends, *self._members])
        if machine is not None:
            await machine.hang_up()

    async def _disturb_link(self) -> None:
        state = self._rng.choice(list(LinkState)[1:])
        await self._targets.disturb_link(state, self._rng.uniform(0.5, 4))

    def _draw(self, machines: list[Machine]) -> Machine | None:
        """Returns a machine whose process is not being disturbed, if any."""
        running = [each for each in machines if not each.stopping]
        return self._rng.choice(running) if running else None

    def _draw_start_signals(self) -> tuple[SignalAfter, ...]:
        numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGKILL)
        count = self._rng.randint(1, 3)
        return tuple(
            SignalAfter(
                self._rng.choice(numbers),
                self._rng.choice((0.1, 1.0)) * self._rng.uniform(0, MAX_START_SECONDS),
            )
            for _ in range(count)
        )
