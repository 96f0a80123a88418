"""A frontend is killed, and clients take up its streams while two versions serve."""

import asyncio
import itertools
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2.deployment import (  # noqa: E402
    CaseUnusable,
    Deployment,
    Machine,
    build_configuration,
    build_route,
    run_case,
)
from harness_2.http import Answer, send_request  # noqa: E402
from harness_2.replicas import Replica  # noqa: E402

VERSIONS = ("v1", "v1", "v2", "v2")
STREAMS = 20
EVENTS = 12
EVENT_SECONDS = 0.2
EVENTS_BEFORE_KILL = 4
NEW_STREAMS = 20
MIN_TAKEN_UP = 12
CLIENT_SECONDS = 6.0
TAKE_UP_TRIES = 2

numbers = itertools.count()


@dataclass
class Stream:
    """A client's stream.

    Attributes:
        number: Its number.
        call: Attempt that brought its first event.
        events: Ids of the events that the client has.
        complete: Whether the stream has ended as complete.
    """

    number: int
    call: str
    events: list[int]
    complete: bool = False


async def send_stream(
    deployment: Deployment,
    frontend: Machine,
    stream: Stream,
    *,
    taken_up: bool,
    began: asyncio.Event | None = None,
) -> Answer:
    """Begins a stream, or takes it up after the last event that the client has."""
    call = f"s{stream.number}-{next(numbers)}"
    headers = {
        "Host": "agents.example",
        "Goldcrestvane-Request-Id": call,
        "Goldcrestvane-Model": "m",
        "Goldcrestvane-Token-Usage": "1460,300",
        "Goldcrestvane-Prompt-Prefix": f"5c1e07a2:800,{stream.number:08x}:660",
        "Goldcrestvane-Deadline-Ms": str(int(CLIENT_SECONDS * 1000)),
    }
    if taken_up:
        headers["Last-Event-Id"] = str(stream.events[-1])
        headers["Resumes"] = stream.call
    else:
        stream.call = call

    def watch(answer: Answer) -> None:
        if began is not None and len(answer.events) >= EVENTS_BEFORE_KILL:
            began.set()

    answer = await send_request(
        frontend.get_address("frontend"),
        "POST",
        f"/chat/{stream.number}",
        headers,
        b"question %d" % stream.number,
        seconds=CLIENT_SECONDS,
        on_data=watch,
    )
    got = [number for number, _ in answer.events]
    stream.events += got
    stream.complete = answer.complete and answer.status == 200
    deployment.record.write(
        "client",
        f"{call} to {frontend.name}"
        + (
            f" takes up {stream.call} after {headers['Last-Event-Id']}"
            if taken_up
            else ""
        )
        + f": {answer.status} events={got} complete={answer.complete}"
        + (f" {answer.body[:200]!r}" if answer.status not in (0, 200) else ""),
    )
    return answer


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether streams could be taken up about as well as begun."""
    record = deployment.record
    route = build_route("chat", resumable=True, timeout_ms=6000)
    await deployment.start(build_configuration(route))
    first, second = deployment.frontends[:2]
    replicas = [
        Replica(
            deployment.store,
            record,
            instance=f"i-{number}",
            service="engine",
            zone=deployment.ledgers[number % 3].zone,
            address=(deployment.take_host(), deployment.ports["replica"]),
            events=EVENTS,
            event_seconds=EVENT_SECONDS,
            version=version,
        )
        for number, version in enumerate(VERSIONS)
    ]
    try:
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(2)
        return await play_streams(deployment, first, second, trouble)
    finally:
        for replica in replicas:
            replica.close()


async def play_streams(
    deployment: Deployment, first: Machine, second: Machine, trouble: bool
) -> bool:
    """Plays the streams; returns whether the rule held."""
    began = [asyncio.Event() for _ in range(STREAMS)]
    streams = [Stream(number, "", []) for number in range(STREAMS)]
    fresh = [Stream(STREAMS + number, "", []) for number in range(NEW_STREAMS)]
    taken_up = gone_on = 0

    async def run_stream(stream: Stream, started: asyncio.Event) -> None:
        nonlocal taken_up, gone_on
        await send_stream(deployment, first, stream, taken_up=False, began=started)
        if stream.complete or not stream.events:
            return
        taken_up += 1
        before = len(stream.events)
        for _ in range(TAKE_UP_TRIES):
            answer = await send_stream(deployment, second, stream, taken_up=True)
            if len(stream.events) > before:
                gone_on += 1
                return
            # The client honours `Retry-After`.
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))

    async def run_fresh(stream: Stream) -> None:
        await send_stream(deployment, second, stream, taken_up=False)

    async with asyncio.TaskGroup() as group:
        for stream, started in zip(streams, began, strict=True):
            group.create_task(run_stream(stream, started))
        for started in began:
            await started.wait()
        if trouble:
            await first.kill()
        for stream in fresh:
            group.create_task(run_fresh(stream))
            await asyncio.sleep(0.05)
    begun = sum(bool(stream.events) for stream in fresh)
    deployment.record.write(
        "check",
        f"{gone_on} of {taken_up} streams that were taken up went on; "
        f"{begun} of {NEW_STREAMS} new streams began at the same time",
    )
    if not trouble:
        return all(stream.complete for stream in streams)
    if taken_up < MIN_TAKEN_UP:
        raise CaseUnusable("too few streams were taken up")
    return gone_on / taken_up >= 0.5 * begun / NEW_STREAMS


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
