"""A faulty server sends bytes that are no event, and breaks off, in a turn that is kept."""

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
from harness_3.http import Head, encode_chunk  # noqa: E402
from harness_3.servers import Run, Server, abort  # noqa: E402

SETTLE_SECONDS = 3.0
CALLERS = 40
TURNS = 8
TRAFFIC_SECONDS = 8.0
SERVERS = 6
FAULTY = 2
SPOILED_OF_STREAMS = 50
SPOILED_SECONDS = 5.5
"""Dose of `garble`: a share of 0.33 of the servers, 0.02 of their streams, for 5.5 s."""

MIN_TURNS = 200
GARBAGE = b"\x15\x03\x01 no event\n\n"


async def play(world: World) -> None:
    """Runs programs on a route that keeps turns and lets streams be resumed."""
    for number in range(SERVERS):
        server = world.add_server(f"i-{number}", "llm")
        server.pieces, server.gap = 4, 0.03
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
    began = asyncio.get_running_loop().time()
    if world.has_trouble:
        for server in world.servers[:FAULTY]:
            spoil(world, server, began + SPOILED_SECONDS)
    turns: list[Turn] = []

    async def run_programs(number: int) -> None:
        while asyncio.get_running_loop().time() < began + TRAFFIC_SECONDS:
            turns.extend(await run_program(world, number))

    await asyncio.gather(*(run_programs(number) for number in range(CALLERS)))
    check(world, {each.request: each for each in turns})


def spoil(world: World, server: Server, end: float) -> None:
    """Makes a server spoil a share of its streams until a time, and then reset them."""
    send_sound = server._send_stream
    count = 0

    async def send_stream(
        head: Head, headers: dict[str, str], run: Run, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal count
        count += 1
        is_over = asyncio.get_running_loop().time() > end
        if is_over or count % SPOILED_OF_STREAMS:
            await send_sound(head, headers, run, writer)
            return
        headers["content-type"] = "text/event-stream"
        headers["transfer-encoding"] = "chunked"
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
        writer.write(encode_chunk(GARBAGE))
        await writer.drain()
        await asyncio.sleep(0.02)
        world.note(f"{server.name} spoiled and reset {run.request}")
        abort(writer)
        raise ConnectionError

    server._send_stream = send_stream


class Turn:
    """A turn that its client got whole."""

    def __init__(
        self,
        request: str,
        previous: Turn | None,
        body: bytes,
        pieces: list[tuple[int, bytes]],
    ) -> None:
        self.request = request
        self.previous = previous
        self.body = body
        self.pieces = pieces


async def run_program(world: World, number: int) -> list[Turn]:
    """Runs the turns of one program, one after another; returns those that were whole."""
    program = clients.create_id()
    turns = []
    for index in range(TURNS):
        body = f"input {index} of {program}. ".encode()
        headers = {
            "Goldcrestvane-Program-Id": program,
            "Goldcrestvane-Session-Id": program,
            "Goldcrestvane-Program-Deadline-Ms": "9000",
            "Goldcrestvane-Token-Budget": "5000",
            "Goldcrestvane-Token-Usage": "100,150",
        }
        if turns:
            headers["Goldcrestvane-Previous-Turn"] = turns[-1].request
        attempt = world.keep(
            await clients.send(
                world.frontends[(number + index) % len(world.frontends)],
                "POST",
                HOST,
                "/companion/stream/1",
                headers=headers,
                body=body,
            )
        )
        if attempt.status != 200 or not attempt.is_whole:
            break
        previous = turns[-1] if turns else None
        turns.append(Turn(attempt.request, previous, body, attempt.pieces))
    return turns


def check(world: World, turns: dict[str, Turn]) -> None:
    """Compares the bodies that servers ran with the chains that clients know."""
    wrong = 0
    for server in world.servers:
        for run in server.runs:
            turn = turns.get(run.request)
            if turn is None:
                continue
            expected = build_body(turn)
            if run.body != expected:
                wrong += 1
                world.note(f"{server.name} ran {run.request} with a wrong body")
                world.note(f"  expected {expected!r}")
                world.note(f"  got      {run.body!r}")
    world.note(f"{len(turns)} turns were whole, {wrong} ran with a wrong body")
    world.require(len(turns) >= MIN_TURNS, "too few turns were served")
    if wrong:
        world.problems.append(
            f"UNASKED: {wrong} turns ran whose body is not the chain's earlier inputs and "
            "outputs and then the new input"
        )


def build_body(turn: Turn | None) -> bytes:
    """Returns the body that a server is to get for a turn."""
    before = b""
    chain = []
    while turn is not None:
        chain.append(turn)
        turn = turn.previous
    for each in reversed(chain[1:]):
        before += each.body + b"".join(data + b"\n" for _, data in each.pieces)
    return before + chain[0].body


if __name__ == "__main__":
    run_case(play, FOLDER)
