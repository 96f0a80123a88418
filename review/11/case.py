"""All processes are killed while one entry of a server cannot be read."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import clients  # noqa: E402
from harness_3.case import (  # noqa: E402
    HOST,
    World,
    build_route,
    build_service,
    run_case,
)
from harness_3.store import BEAT_SECONDS  # noqa: E402

SETTLE_SECONDS = 3.0
DOWN_SECONDS = 0.6
RECOVERY_SECONDS = 12.0
"""recovery_s of the deployment."""

REQUESTS = 40
PAUSE_SECONDS = 0.1

UNREADABLE = {"service": "\ud800", "address": "\ud800", "state": "ready"}
"""Half of a surrogate pair. In JSON it is written as an escape, six ASCII characters that the
grammar allows, but it is no text."""


async def play(world: World) -> None:
    """Compares the share of requests that are served before and after the fault."""
    for number in range(5):
        await world.add_server(f"i-{number}", "shop").start()
    world.write_config(
        [build_route("lookup", "shop", "idempotent", timeout_ms=1200)],
        [build_service("shop")],
    )
    await world.deployment.start()
    await asyncio.sleep(SETTLE_SECONDS)
    writer = asyncio.create_task(write_entry(world))
    await asyncio.sleep(1.0)
    before = await count_served(world)
    world.note(f"before the fault: {before} of {REQUESTS} served")
    world.require(before >= REQUESTS / 4, "the system served too little before")
    await asyncio.gather(*(each.kill() for each in world.deployment.machines))
    world.note("all processes are killed")
    await asyncio.sleep(DOWN_SECONDS)
    await asyncio.gather(*(each.start() for each in world.deployment.machines))
    world.note("all machines are back")
    await asyncio.sleep(RECOVERY_SECONDS)
    after = await count_served(world)
    writer.cancel()
    world.note(f"later than recovery_s: {after} of {REQUESTS} served")
    if after < REQUESTS / 4:
        world.problems.append(
            f"RECOVER: {after} of {REQUESTS} requests that were sent later than "
            f"recovery_s were served, {before} of {REQUESTS} before the fault"
        )


async def write_entry(world: World) -> None:
    """Writes the entry as often as a server does, so that it does not lapse."""
    while world.has_trouble:
        world.store.beat("i-other-writer", UNREADABLE)
        world.note("another writer writes an entry that cannot be read")
        await asyncio.sleep(BEAT_SECONDS)


async def count_served(world: World) -> int:
    """Sends requests to all frontends in turn; returns how many are served."""
    served = 0
    for number in range(REQUESTS):
        attempt = world.keep(
            await clients.send(
                world.frontends[number % len(world.frontends)],
                "GET",
                HOST,
                "/lookup/1",
                limit=1.2,
            )
        )
        served += attempt.status == 200 and attempt.is_signed and attempt.is_whole
        await asyncio.sleep(PAUSE_SECONDS)
    return served


if __name__ == "__main__":
    run_case(play, FOLDER)
