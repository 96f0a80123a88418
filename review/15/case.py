"""Kept streams are taken up again after two machines that served them are gone."""

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
MAX_TRIES = 4
"""Tries of a client after the first."""

TIME_LIMIT_SECONDS = 6.0
READING_SECONDS = 0.5
FIRST_KILL_SECONDS = 0.95
SECOND_KILL_SECONDS = 0.3


async def play(world: World) -> None:
    """Kills a frontend that serves streams, and the next one when these have moved there."""
    for number in range(6):
        server = world.add_server(f"i-{number}", "llm")
        server.reading = READING_SECONDS
        await server.start()
    route = build_route(
        "companion",
        "llm",
        "streaming",
        resumable=True,
        sticky=True,
        retention_enabled=True,
        retention_s=60,
    )
    world.write_config([route], [build_service("llm", tokens_per_event=10)])
    await world.deployment.start()
    await asyncio.sleep(SETTLE_SECONDS)
    first, second, *others = world.frontends
    callers = [
        asyncio.create_task(run_stream(world, number)) for number in range(STREAMS)
    ]
    await asyncio.sleep(FIRST_KILL_SECONDS)
    if world.has_trouble:
        await first.kill()
        world.note(f"{first.name} is killed")
        await asyncio.sleep(SECOND_KILL_SECONDS)
        await second.kill()
        world.note(f"{second.name} is killed")
    new = [
        asyncio.create_task(send(world, others[number % len(others)], create_program()))
        for number in range(STREAMS)
    ]
    results = await asyncio.gather(*callers)
    begun = [attempt for attempt in await asyncio.gather(*new) if attempt.pieces]
    check(world, [each for each in results if each is not None], len(begun))


def create_program() -> dict[str, str]:
    """Returns the headers of the first turn of a program."""
    program = clients.create_id()
    return {
        "Goldcrestvane-Program-Id": program,
        "Goldcrestvane-Session-Id": program,
        "Goldcrestvane-Program-Deadline-Ms": "9000",
        "Goldcrestvane-Token-Budget": "5000",
        "Goldcrestvane-Token-Usage": "100,150",
    }


async def send(
    world: World, frontend: Machine, headers: dict[str, str] | None, **options: Any
) -> Attempt:
    """Sends one request for a stream and records its answer."""
    return world.keep(
        await clients.send(
            frontend,
            "POST",
            HOST,
            "/companion/stream/1",
            body=b"prompt",
            headers=headers,
            **options,
        )
    )


async def run_stream(world: World, number: int) -> bool | None:
    """Runs one client's stream; each try goes to the next frontend.

    Returns:
        Whether the stream goes on at a machine in touch after it was broken off; None if
        it was not, or not taken up there.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + TIME_LIMIT_SECONDS
    program = create_program()
    frontends = iter((world.frontends + world.frontends[2:])[: MAX_TRIES + 1])
    first = await send(world, next(frontends), program, limit=TIME_LIMIT_SECONDS)
    if first.is_whole or not first.pieces:
        return None
    last = first.pieces[-1][0]
    taken_up = None
    for frontend in frontends:
        left = end - loop.time()
        if left <= 0:
            break
        attempt = await send(
            world,
            frontend,
            {**program, "Last-Event-Id": str(last)},
            resumes=first.request,
            limit=left,
        )
        if frontend in world.frontends[2:]:
            taken_up = bool(attempt.pieces)
        if attempt.is_whole and attempt.pieces:
            return taken_up
        if attempt.pieces:
            last = attempt.pieces[-1][0]
        pause = float(attempt.headers.get("retry-after", "0.02"))
        await asyncio.sleep(min(pause, left / 3))
    return taken_up


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
