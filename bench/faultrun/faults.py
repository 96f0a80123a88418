"""The faults: each brings one about, ends it, and logs when it was at work."""

import random
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import final

import msgspec
import trio

from bench.checker.records import Departure, Disturbance, Evidence, PlannedStop
from bench.faultrun.plan import TEAMS
from bench.faultrun.recorder import Recorder
from goldcrestvane_common.paths import (
    DRAIN_PATH,
)
from goldcrestvane_common.settings import build_settings_key
from goldcrestvane_common.transport import TransportError
from goldcrestvane_standins.deployment import Deployment, ManagedProcess

SETTLE_SECONDS = 6.0
STOP_SECONDS = 40.0
RACING_WRITERS = 3


@final
class Faults:
    """Brings faults about in a deployment.

    Attributes:
        counts: How often each fault was brought about.
        busy: Processes that a fault is at work on.
    """

    def __init__(
        self,
        deployment: Deployment,
        recorder: Recorder,
        evidence: Evidence,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._recorder = recorder
        self._evidence = evidence
        self._rng = rng
        self.counts: Counter[str] = Counter()
        self.busy: set[str] = set()

    def choose(self, *prefixes: str) -> str | None:
        """Returns a process that no fault is at work on; the last entry stays."""
        names = self._recorder.list_names(*prefixes)
        free = [name for name in names if name not in self.busy]
        if any(name.startswith("entry-") for name in free) and len(free) < 2:
            return None
        return self._rng.choice(free) if free else None

    @asynccontextmanager
    async def _disturb(self, what: str, *names: str) -> AsyncIterator[None]:
        """Logs an unplanned fault; what it does to calls may settle later."""
        self.counts[what.split(" ", 1)[0]] += 1
        self.busy.update(names)
        started = time.time()
        try:
            yield
        finally:
            self.busy.difference_update(names)
            ended = time.time() + SETTLE_SECONDS
            self._evidence.disturbances.append(
                Disturbance(what=what, started=started, ended=ended)
            )

    async def kill_daemon(self) -> None:
        """Kills an entry or a sidecar and starts it again."""
        name = self.choose(self._rng.choice(("sidecar-", "sidecar-", "entry-")))
        if name is None:
            return
        async with self._disturb(f"kill {name}", name):
            self._deployment.processes[name].kill()
            await trio.sleep(self._rng.uniform(0.5, 5.0))
            self._recorder.mark_up(name)
            await self._deployment.restart(name)
            self._recorder.mark_up(name)

    async def freeze_daemon(self) -> None:
        """Freezes an entry or a sidecar until others have taken its work over."""
        name = self.choose(self._rng.choice(("sidecar-", "sidecar-", "entry-")))
        if name is None:
            return
        async with self._disturb(f"freeze {name}", name):
            process = self._deployment.processes[name]
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(self._rng.uniform(0.5, 7.0))
            self._recorder.mark_up(name)
            process.send_signal(signal.SIGCONT)

    async def kill_target(self) -> None:
        """Kills an engine or a tool and starts it again."""
        name = self.choose("target-")
        if name is None:
            return
        async with self._disturb(f"kill-target {name}", name):
            await self._recorder.kill_target(name)
            await trio.sleep(self._rng.uniform(0.2, 4.0))
            await self._deployment.restart(name)

    async def disturb_tool(self) -> None:
        """Lets calls of a tool hang, end without an answer, or be slow."""
        name = self.choose("target-app-")
        if name is None:
            return
        fault = self._rng.choice(
            ("close_after_effect", "close_before_effect", "fail_before_effect", "hang")
        )
        values = {fault: self._rng.randint(1, 3), "delay": 0.2}
        async with self._disturb(f"{fault} {name}", name):
            await self._set_target_faults(name, values)

    async def disturb_engine(self) -> None:
        """Lets runs of an engine hang, be slow, or streams break off."""
        name = self.choose("target-llm-")
        if name is None:
            return
        values = self._rng.choice(
            ({"hang": 2}, {"delay": 0.5}, {"cut_streams_after": 5})
        )
        async with self._disturb(f"engine-{next(iter(values))} {name}", name):
            await self._set_target_faults(name, values)

    async def _set_target_faults(self, name: str, values: dict[str, float]) -> None:
        await self._deployment.request(name, "PUT", "/control/faults", values)
        await trio.sleep(self._rng.uniform(1.0, 4.0))
        await self._deployment.request(name, "PUT", "/control/faults", {})

    async def disturb_platform(self) -> None:
        """Lets the platform be down, slow, or lose answers of writes."""
        if "objectapi" in self.busy:
            return
        name, values = self._rng.choice(
            (
                ("outage", {"outage": True}),
                ("slow-platform", {"delay": self._rng.uniform(0.1, 1.0)}),
                ("lost-answers", {"lose_answers": self._rng.randint(1, 20)}),
            )
        )
        async with self._disturb(name, "objectapi"):
            await self._deployment.request(
                "objectapi", "PUT", "/control/faults", values
            )
            await trio.sleep(self._rng.uniform(0.5, 6.0))
            await self._deployment.request("objectapi", "PUT", "/control/faults", {})

    async def race_settings(self) -> None:
        """Lets operators change one team's settings at the same time."""
        self.counts["racing-settings"] += 1
        path = f"/v1/objects/{build_settings_key(self._rng.choice(TEAMS))}"
        transport = self._deployment.transport
        address = self._deployment.processes["objectapi"].address
        reply = await transport.send("GET", address, path)
        if reply.status != 200:
            return
        current = msgspec.json.decode(reply.body)

        async def write(number: int) -> None:
            value = current["value"]
            settings = {**value["settings"], "cache_weight": 0.4 + number / 10}
            body = {
                "value": {**value, "settings": settings},
                "expected_version": current["version"],
            }
            try:
                await transport.send("PUT", address, path, value=body)
            except TransportError:
                return  # The history of the object API tells whether it took effect.

        async with trio.open_nursery() as nursery:
            for number in range(RACING_WRITERS):
                nursery.start_soon(write, number)

    async def stop_daemon(self, name: str | None = None) -> None:
        """Brings a planned stop of an entry or a sidecar about, and a new start."""
        name = name or self.choose(self._rng.choice(("sidecar-", "entry-")))
        if name is None:
            return
        process = self._deployment.processes[name]
        order = self._rng.choice((self._send_sigterm, self._drain, self._delist))
        self.counts["planned-stop"] += 1
        self.busy.add(name)
        started = time.time()
        await order(process)
        with trio.move_on_after(STOP_SECONDS) as waiting:
            await process.wait_end()
        ended = time.time()
        process.kill()
        self._recorder.mark_up(name)
        await self._deployment.restart(name)
        self._recorder.mark_up(name)
        self.busy.discard(name)
        self._evidence.stops.append(
            PlannedStop(
                process=name,
                started=started,
                ended=ended,
                finished=not waiting.cancelled_caught,
            )
        )
        if name.startswith("sidecar-"):
            target = name.replace("sidecar-", "target-")
            self._evidence.departures.append(
                Departure(target=target, time=started, returned=ended)
            )

    async def _send_sigterm(self, process: ManagedProcess) -> None:
        process.send_signal(signal.SIGTERM)

    async def _drain(self, process: ManagedProcess) -> None:
        await self._deployment.request(process.name, "POST", DRAIN_PATH, {})

    async def _delist(self, process: ManagedProcess) -> None:
        await self._deployment.mark_leaving(process.name)

    def list_unplanned(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Returns the faults that a schedule draws from."""
        return (
            self.kill_daemon,
            self.kill_daemon,
            self.freeze_daemon,
            self.freeze_daemon,
            self.kill_target,
            self.disturb_tool,
            self.disturb_tool,
            self.disturb_engine,
            self.disturb_platform,
            self.disturb_platform,
            self.race_settings,
            self.stop_daemon,
        )
