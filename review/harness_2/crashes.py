"""Plays a request that crashes each replica that runs it, and counts its runs."""

import asyncio

from harness_2.deployment import (
    BOUNDS,
    Deployment,
    build_configuration,
    build_route,
)
from harness_2.http import Request, send_request
from harness_2.replicas import Replica

CRASHES = 3
MAX_RETRIES = 3
CLIENT_SECONDS = 3.0
STABLE_SECONDS = BOUNDS["stable_window_ms"] / 1000
CRASHING_BODY = b"the request that crashes its replica"
SETTLE_SECONDS = 2.0


def build_headers(call: str, key: str) -> dict[str, str]:
    """Returns the headers of a request that belongs to no program."""
    return {
        "Host": "agents.example",
        "Goldcrestvane-Request-Id": call,
        "Goldcrestvane-Model": "m",
        "Goldcrestvane-Token-Usage": "1460,264",
        "Goldcrestvane-Prompt-Prefix": f"5c1e07a2:800,{key}:660",
        "Goldcrestvane-Deadline-Ms": str(int(CLIENT_SECONDS * 1000)),
    }


async def play_crashes(
    deployment: Deployment,
    *,
    trouble: bool,
    replica_count: int,
    events_before_crash: int,
    keeps_id: bool,
    pause_seconds: float,
    sends: int,
) -> bool:
    """Sends a request again and again; returns whether BUDGET held.

    Args:
        deployment: The deployment, not started yet.
        trouble: Whether the request crashes replicas.
        replica_count: Number of replicas.
        events_before_crash: Number of events that a replica sends before it crashes.
        keeps_id: Whether replicas start again under the ids that they had.
        pause_seconds: Time between an answer and the next time the request is sent.
        sends: Number of times that the request is sent.
    """
    record = deployment.record
    await deployment.start(build_configuration(build_route("chat", attempts=1)))

    def crashes_on(request: Request, events: int) -> bool:
        is_due = events == events_before_crash
        return trouble and is_due and request.body == CRASHING_BODY

    replicas = [
        Replica(
            deployment.store,
            record,
            instance=f"i-{number}",
            service="engine",
            zone=deployment.ledgers[number % 3].zone,
            address=(deployment.take_host(), deployment.ports["replica"]),
            crashes_on=crashes_on,
            keeps_id=keeps_id,
        )
        for number in range(replica_count)
    ]
    neighbours = asyncio.Event()
    try:
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(SETTLE_SECONDS)
        others = asyncio.create_task(send_others(deployment, neighbours))
        for number in range(sends):
            await send_crashing(deployment, number)
            await asyncio.sleep(pause_seconds)
        neighbours.set()
        await others
    finally:
        for replica in replicas:
            replica.close()
    return check_retries(deployment, replicas)


async def send_crashing(deployment: Deployment, number: int) -> None:
    """Sends the request once, through the frontends in turn."""
    record = deployment.record
    frontend = deployment.frontends[number % len(deployment.frontends)]
    call = f"crash-{number}"
    record.write("client", f"sends {call} to {frontend.name}")
    answer = await send_request(
        frontend.get_address("frontend"),
        "POST",
        "/chat/crash",
        build_headers(call, "e4402b7d"),
        CRASHING_BODY,
        seconds=CLIENT_SECONDS,
    )
    record.write(
        "client",
        f"{call}: {answer.status} events={len(answer.events)} "
        f"complete={answer.complete} {answer.body[:120] if answer.status > 200 else ''}",
    )


async def send_others(deployment: Deployment, ended: asyncio.Event) -> None:
    """Sends sound requests, and records how many of them broke off."""
    counts = {"whole": 0, "broken": 0, "refused": 0}
    number = 0

    async def send(number: int) -> None:
        frontend = deployment.frontends[number % len(deployment.frontends)]
        answer = await send_request(
            frontend.get_address("frontend"),
            "POST",
            f"/chat/sound-{number}",
            build_headers(f"sound-{number}", f"{number:08x}"),
            b"sound",
            seconds=CLIENT_SECONDS,
        )
        is_whole = answer.status == 200 and answer.complete
        is_refused = answer.status in (429, 503)
        counts["whole" if is_whole else "refused" if is_refused else "broken"] += 1

    async with asyncio.TaskGroup() as group:
        while not ended.is_set():
            group.create_task(send(number))
            number += 1
            await asyncio.sleep(0.15)
    deployment.record.write("check", f"sound requests beside it: {counts}")


def check_retries(deployment: Deployment, replicas: list[Replica]) -> bool:
    """Returns whether the request reached replicas in at most three late retries."""
    runs = sorted(
        (
            run
            for each in replicas
            for run in each.runs
            if run.call.startswith("crash-")
        ),
        key=lambda run: run.at,
    )
    crashes = sum(each.crash_count for each in replicas)
    deployment.record.write("check", f"{len(runs)} runs, {crashes} crashes")
    if crashes < CRASHES:
        return True
    after = runs[CRASHES - 1].at + STABLE_SECONDS
    late = [run for run in runs[CRASHES:] if run.at > after]
    deployment.record.write(
        "check",
        f"the third crash was at {runs[CRASHES - 1].at:.3f}; {len(late)} retries reached "
        f"replicas later than {STABLE_SECONDS} s after it, {MAX_RETRIES} are allowed: "
        + ", ".join(f"{run.call} at {run.instance}" for run in late),
    )
    return len({run.call for run in late}) <= MAX_RETRIES
