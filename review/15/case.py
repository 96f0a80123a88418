"""Streams of no program are taken up again after the machine that served them is gone."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

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
from harness_3.clients import Attempt  # noqa: E402
from harness_3.machines import Machine  # noqa: E402

SETTLE_SECONDS = 4.0
"""More than stable_window_ms, so that all machines are in touch."""

STREAMS = 20
MIN_TAKEN_UP = 12
MAX_TRIES = 3
"""Tries of a client after the first."""

TIME_LIMIT_SECONDS = 3.0


async def play(world: World) -> None:
    """Kills one of four frontends while it serves streams."""
    for number in range(6):
        version = "1" if number < 3 else "2"
        server = world.add_server(f"i-{number}", "llm", version=version)
        await server.start()
    world.write_config(
        [build_route("advice", "llm", "streaming", resumable=True, sticky=True)],
        [build_service("llm", tokens_per_event=10)],
    )
    await world.deployment.start()
    await asyncio.sleep(SETTLE_SECONDS)
    killed, *others = world.frontends
    callers = [
        asyncio.create_task(run_stream(world, killed, others, number))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(0.55)
    if world.has_trouble:
        await killed.kill()
        world.note(f"{killed.name} is killed")
    new = [
        asyncio.create_task(send(world, others[number % len(others)]))
        for number in range(STREAMS)
    ]
    results = await asyncio.gather(*callers)
    begun = [attempt for attempt in await asyncio.gather(*new) if attempt.pieces]
    check(world, [each for each in results if each is not None], len(begun))


async def send(world: World, frontend: Machine, **options: Any) -> Attempt:
    """Sends one request for a stream and records its answer."""
    return world.keep(
        await clients.send(
            frontend, "POST", HOST, "/advice/stream/1", body=b"prompt", **options
        )
    )


async def run_stream(
    world: World, frontend: Machine, others: list[Machine], number: int
) -> bool | None:
    """Runs one client's stream.

    Returns:
        Whether the stream goes on after it was broken off; None if it was not.
    """
    began = asyncio.get_running_loop().time()
    first = attempt = await send(world, frontend, limit=TIME_LIMIT_SECONDS)
    if first.is_whole or not first.pieces:
        return None
    last = first.pieces[-1][0]
    for try_number in range(MAX_TRIES):
        left = began + TIME_LIMIT_SECONDS - asyncio.get_running_loop().time()
        if left <= 0:
            break
        attempt = await send(
            world,
            others[(number + try_number) % len(others)],
            headers={"Last-Event-Id": str(last)},
            resumes=first.request,
            limit=left,
        )
        if attempt.pieces:
            return True
        pause = float(attempt.headers.get("retry-after", "0.1"))
        await asyncio.sleep(min(pause, left / 3))
    return False


def check(world: World, taken_up: list[bool], begun: int) -> None:
    """Compares the share of streams that go on with that of new streams that begin."""
    share = sum(taken_up) / len(taken_up) if taken_up else 1.0
    world.note(
        f"{len(taken_up)} streams were taken up, {sum(taken_up)} go on; "
        f"{begun} of {STREAMS} new streams began"
    )
    if len(taken_up) >= MIN_TAKEN_UP and share < 0.5 * begun / STREAMS:
        world.problems.append(
            f"LOST: of {len(taken_up)} streams that clients took up again "
            f"{sum(taken_up)} go on, while {begun} of {STREAMS} new streams began"
        )


if __name__ == "__main__":
    run_case(play, FOLDER, frontends=4)
