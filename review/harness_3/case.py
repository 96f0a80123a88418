"""Runs a case, writes its record, and ends with the status that the issue asks for."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn, TextIO

from harness_3.clients import Attempt
from harness_3.machines import Deployment
from harness_3.servers import Server
from harness_3.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_SECONDS = 110
LAG_INTERVAL_SECONDS = 0.05
HOST = "shop.example"


Play = Callable[["World"], Awaitable[None]]


class World:
    """A deployment with its stand-ins, and the record of a case."""

    def __init__(self, folder: Path, record: TextIO, *, frontends: int) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.store = Store()
        self.deployment = Deployment(folder, frontends=frontends)
        self.frontends = self.deployment.frontends
        self.ledgers = self.deployment.ledgers
        self.servers = []
        self.attempts = []
        self.version = 0
        self.problems = []
        self.longest_lag = 0.0
        self._record = record

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        self._record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self._record.flush()

    async def measure_lag(self) -> None:
        """Measures until cancelled by how much this process itself is late."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_INTERVAL_SECONDS
            await asyncio.sleep(LAG_INTERVAL_SECONDS)
            self.longest_lag = max(self.longest_lag, loop.time() - due)

    def require(self, condition: bool, text: str) -> None:
        """Ends the case as one that could not run unless a condition holds."""
        if not condition:
            raise CannotRun(text)

    def add_server(
        self, name: str, service: str, *, version: str = "1", zone: str = "milano"
    ) -> Server:
        """Returns a new server of a service, not started yet."""
        number = len(self.servers) + 1
        host, port = f"127.0.3.{number}", self.deployment.ports.server
        server = Server(
            self.store, name, service, host, port, version=version, zone=zone
        )
        self.servers.append(server)
        return server

    def write_config(
        self, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Writes a new version of the config, as the operator."""
        self.version += 7
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("config", "main", config)

    def keep(self, attempt: Attempt) -> Attempt:
        """Records an attempt that has ended; returns it."""
        self.attempts.append(attempt)
        self.note(str(attempt))
        return attempt


class CannotRun(Exception):
    """The case could not be played as it should."""


def build_route(name: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the config; its path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "target_gap_ms": 250,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **fields,
    }


def build_service(name: str, *, tokens_per_event: int | None = None) -> dict[str, Any]:
    """Returns a service of the config; with an engine if tokens are stated."""
    service = {"name": name, "connection_limit": 170}
    if tokens_per_event is not None:
        service["inference_engine"] = {
            "slots": 16,
            "kv_cache_tokens": 484854,
            "tokens_per_event": tokens_per_event,
        }
    return service


def run_case(play: Play, folder: Path, *, frontends: int = 3) -> NoReturn:
    """Runs a case; exits with 1 if it found a broken rule, 0 if not, 2 if it could not run.

    Args:
        play: Coroutine function that plays the case in a `World`.
        folder: Folder of the case, for its record.
        frontends: Number of frontends.
    """
    with (Path(folder) / "record.txt").open("w") as record:
        sys.exit(asyncio.run(_run(play, record, frontends)))


async def _run(play: Play, record: TextIO, frontends: int) -> int:
    with tempfile.TemporaryDirectory() as temporary:
        world = World(Path(temporary), record, frontends=frontends)
        world.note(f"trouble: {world.has_trouble}")
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                await world.store.start("127.0.0.1", world.deployment.ports.store)
                lag = asyncio.create_task(world.measure_lag())
                await play(world)
                lag.cancel()
                world.note(f"the script itself was late by {world.longest_lag:.3f} s")
        except (Exception, asyncio.CancelledError) as error:
            world.note(f"could not run: {error!r}")
            if not isinstance(error, CannotRun):
                world.note(traceback.format_exc())
            print(f"could not run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            await world.deployment.end()
            if os.environ.get("KEEP_LOGS"):
                for machine in world.deployment.machines:
                    target = Path(os.environ["KEEP_LOGS"]) / f"{machine.name}.log"
                    target.write_bytes(machine.log.read_bytes())
        for problem in world.problems:
            world.note(f"BROKEN: {problem}")
            print(problem)
        world.note("broken" if world.problems else "held")
        return BROKEN if world.problems else HELD
