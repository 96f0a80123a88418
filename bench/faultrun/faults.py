"""Faults of a run: each is injected, ended and recorded in the evidence."""

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
"""Time after the end of an unplanned fault in which it may still affect calls."""
STOP_TIMEOUT_SECONDS = 40.0
CONCURRENT_WRITER_COUNT = 3


@final
class FaultInjector:
    """Injects faults into a deployment.

    Attributes:
        counts: Number of injections of each fault.
        affected: Names of the processes that a fault currently affects.
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
        self.affected: set[str] = set()

    def choose_process(self, *prefixes: str) -> str | None:
        """Returns a random process that no fault affects, or None if there is none.

        The last unaffected entry is never chosen, so that callers always have one.
        """
        names = self._recorder.list_names(*prefixes)
        free = [name for name in names if name not in self.affected]
        if any(name.startswith("entry-") for name in free) and len(free) < 2:
            return None
        return self._rng.choice(free) if free else None

    @asynccontextmanager
    async def _record_disturbance(self, what: str, *names: str) -> AsyncIterator[None]:
        """Records an unplanned fault that affects some processes.

        The disturbance ends `SETTLE_SECONDS` after the fault, because its effects on
        calls may outlast it.
        """
        self.counts[what.split(" ", 1)[0]] += 1
        self.affected.update(names)
        started = time.time()
        try:
            yield
        finally:
            self.affected.difference_update(names)
            ended = time.time() + SETTLE_SECONDS
            self._evidence.disturbances.append(
                Disturbance(what=what, started=started, ended=ended)
            )

    async def kill_daemon(self) -> None:
        """Kills an entry or a sidecar and restarts it."""
        name = self.choose_process(self._rng.choice(("sidecar-", "sidecar-", "entry-")))
        if name is None:
            return
        async with self._record_disturbance(f"kill {name}", name):
            self._deployment.processes[name].kill()
            await trio.sleep(self._rng.uniform(0.5, 5.0))
            self._recorder.record_start(name)
            await self._deployment.restart(name)
            self._recorder.record_start(name)

    async def freeze_daemon(self) -> None:
        """Suspends an entry or a sidecar and resumes it.

        The longer suspensions last until other processes have taken over its work.
        """
        name = self.choose_process(self._rng.choice(("sidecar-", "sidecar-", "entry-")))
        if name is None:
            return
        async with self._record_disturbance(f"freeze {name}", name):
            process = self._deployment.processes[name]
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(self._rng.uniform(0.5, 7.0))
            self._recorder.record_start(name)
            process.send_signal(signal.SIGCONT)

    async def kill_target(self) -> None:
        """Kills an engine or a tool and restarts it."""
        name = self.choose_process("target-")
        if name is None:
            return
        async with self._record_disturbance(f"kill-target {name}", name):
            await self._recorder.kill_target(name)
            await trio.sleep(self._rng.uniform(0.2, 4.0))
            await self._deployment.restart(name)

    async def inject_tool_fault(self) -> None:
        """Makes calls of a tool hang, fail or end without an answer."""
        name = self.choose_process("target-app-")
        if name is None:
            return
        fault = self._rng.choice(
            ("close_after_effect", "close_before_effect", "fail_before_effect", "hang")
        )
        values = {fault: self._rng.randint(1, 3), "delay": 0.2}
        async with self._record_disturbance(f"{fault} {name}", name):
            await self._set_target_faults(name, values)

    async def inject_engine_fault(self) -> None:
        """Makes runs of an engine slow, makes them hang, or cuts off its streams."""
        name = self.choose_process("target-llm-")
        if name is None:
            return
        values = self._rng.choice(
            ({"hang": 2}, {"delay": 0.5}, {"cut_streams_after": 5})
        )
        async with self._record_disturbance(
            f"engine-{next(iter(values))} {name}", name
        ):
            await self._set_target_faults(name, values)

    async def _set_target_faults(self, name: str, values: dict[str, float]) -> None:
        await self._deployment.request(name, "PUT", "/control/faults", values)
        await trio.sleep(self._rng.uniform(1.0, 4.0))
        await self._deployment.request(name, "PUT", "/control/faults", {})

    async def inject_platform_fault(self) -> None:
        """Makes the object API unavailable or slow, or loses its answers to writes."""
        if "objectapi" in self.affected:
            return
        name, values = self._rng.choice(
            (
                ("outage", {"outage": True}),
                ("slow-platform", {"delay": self._rng.uniform(0.1, 1.0)}),
                ("lost-answers", {"lose_answers": self._rng.randint(1, 20)}),
            )
        )
        async with self._record_disturbance(name, "objectapi"):
            await self._deployment.request(
                "objectapi", "PUT", "/control/faults", values
            )
            await trio.sleep(self._rng.uniform(0.5, 6.0))
            await self._deployment.request("objectapi", "PUT", "/control/faults", {})

    async def race_settings(self) -> None:
        """Changes the settings of one team from several writers at the same time."""
        self.counts["racing-settings"] += 1
        path = f"/v1/objects/{build_settings_key(self._rng.choice(TEAMS))}"
        transport = self._deployment.transport
        address = self._deployment.processes["objectapi"].address
        response = await transport.send("GET", address, path)
        if response.status != 200:
            return
        current = msgspec.json.decode(response.body)

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
                return  # The object API's history shows whether the write took effect.

        async with trio.open_nursery() as nursery:
            for number in range(CONCURRENT_WRITER_COUNT):
                nursery.start_soon(write, number)

    async def stop_daemon(self, name: str | None = None) -> None:
        """Stops an entry or a sidecar as planned and restarts it.

        Args:
            name: Name of the process, or None for a random one.
        """
        name = name or self.choose_process(self._rng.choice(("sidecar-", "entry-")))
        if name is None:
            return
        process = self._deployment.processes[name]
        request_stop = self._rng.choice(
            (self._send_sigterm, self._drain, self._mark_leaving)
        )
        self.counts["planned-stop"] += 1
        self.affected.add(name)
        started = time.time()
        await request_stop(process)
        with trio.move_on_after(STOP_TIMEOUT_SECONDS) as scope:
            await process.wait_for_exit()
        ended = time.time()
        process.kill()
        self._recorder.record_start(name)
        await self._deployment.restart(name)
        self._recorder.record_start(name)
        self.affected.discard(name)
        self._evidence.stops.append(
            PlannedStop(
                process=name,
                started=started,
                ended=ended,
                finished=not scope.cancelled_caught,
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

    async def _mark_leaving(self, process: ManagedProcess) -> None:
        await self._deployment.mark_leaving(process.name)

    def list_random_faults(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Returns the faults from which a schedule chooses.

        A fault that is listed twice is chosen twice as often.
        """
        return (
            self.kill_daemon,
            self.kill_daemon,
            self.freeze_daemon,
            self.freeze_daemon,
            self.kill_target,
            self.inject_tool_fault,
            self.inject_tool_fault,
            self.inject_engine_fault,
            self.inject_platform_fault,
            self.inject_platform_fault,
            self.race_settings,
            self.stop_daemon,
        )
