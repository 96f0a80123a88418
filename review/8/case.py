"""A client takes up a kept turn after its frontend was killed, then sends the next turn."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2.deployment import (  # noqa: E402
    Deployment,
    build_configuration,
    build_route,
    run_case,
    wait_until,
)
from harness_2.http import Answer, send_request  # noqa: E402
from harness_2.replicas import Replica  # noqa: E402

EVENTS = 12
EVENTS_BEFORE_KILL = 5
PROGRAMS = 3
REPLICAS = 3
CLIENT_SECONDS = 3.0


def build_headers(program: int, call: str, **more: str) -> dict[str, str]:
    """Returns the headers of a turn."""
    headers = {
        "Host": "agents.example",
        "Goldcrestvane-Request-Id": call,
        "Goldcrestvane-Model": "m",
        "Goldcrestvane-Program-Id": f"program-{program}",
        "Goldcrestvane-Session-Id": f"session-{program}",
        "Goldcrestvane-Program-Deadline-Ms": "20000",
        "Goldcrestvane-Token-Budget": "4576",
        "Goldcrestvane-Token-Usage": "1840,572",
        "Goldcrestvane-Deadline-Ms": str(int(CLIENT_SECONDS * 1000)),
    }
    return {**headers, **{k.replace("_", "-"): v for k, v in more.items()}}


async def play_program(
    deployment: Deployment, program: int, trouble: bool, killed: asyncio.Event
) -> tuple[bytes, str]:
    """Plays two turns; returns the body due at the second one, and its call."""
    record = deployment.record
    first, second = deployment.frontends[:2]
    source = f"client-{program}"
    began = asyncio.Event()

    def watch(answer: Answer) -> None:
        if len(answer.events) >= EVENTS_BEFORE_KILL:
            began.set()

    async def kill_later() -> None:
        await began.wait()
        if trouble and not killed.is_set():
            killed.set()
            await first.kill()

    body = b"question-%d-1\n" % program
    call = f"p{program}t1a1"
    killer = asyncio.create_task(kill_later())
    record.write(source, f"sends {call} to {first.name}")
    path = "/kept/turn"
    answer = await send_request(
        first.get_address("frontend"),
        "POST",
        path,
        build_headers(program, call),
        body,
        seconds=CLIENT_SECONDS,
        on_data=watch,
    )
    events = answer.events
    record.write(
        source,
        f"{call}: {answer.status} events={[n for n, _ in events]} "
        f"complete={answer.complete}",
    )
    killer.cancel()
    if not answer.complete:
        began_by, call = call, f"p{program}t1a2"
        last = events[-1][0] if events else 0
        record.write(source, f"takes up {began_by} as {call} after event {last}")
        more = {"Last_Event_Id": str(last), "Resumes": began_by} if events else {}
        answer = await send_request(
            second.get_address("frontend"),
            "POST",
            path,
            build_headers(program, call, **more),
            body,
            seconds=CLIENT_SECONDS,
        )
        events = events + answer.events
        record.write(
            source,
            f"{call}: {answer.status} events={[n for n, _ in answer.events]} "
            f"complete={answer.complete}",
        )
        if answer.status in (429, 503):
            # Not run: the client sends the turn again from its start.
            call = f"p{program}t1a3"
            answer = await send_request(
                second.get_address("frontend"),
                "POST",
                path,
                build_headers(program, call),
                body,
                seconds=CLIENT_SECONDS,
            )
            events = answer.events
            record.write(source, f"{call}: {answer.status}, sent from the start")
    if not answer.complete or answer.status != 200:
        return b"", ""
    record.write(source, f"has the whole turn, events={[n for n, _ in events]}")
    output = b"".join(data + b"\n" for _, data in events)
    following = b"question-%d-2\n" % program
    next_call = f"p{program}t2a1"
    record.write(source, f"sends {next_call}, which continues {call}")
    answer = await send_request(
        second.get_address("frontend"),
        "POST",
        path,
        build_headers(program, next_call, Goldcrestvane_Previous_Turn=call),
        following,
        seconds=CLIENT_SECONDS,
    )
    record.write(source, f"{next_call}: {answer.status} complete={answer.complete}")
    return body + output + following, next_call


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether every second turn ran with the whole chain."""
    record = deployment.record
    route = build_route("kept", retention_enabled=True, resumable=True)
    await deployment.start(build_configuration(route))
    replicas = [
        Replica(
            deployment.store,
            record,
            instance=f"i-{number}",
            service="engine",
            zone=machine.zone,
            address=(deployment.take_host(), deployment.ports["replica"]),
            events=EVENTS,
        )
        for number, machine in enumerate(deployment.ledgers[:REPLICAS])
    ]
    try:
        for replica in replicas:
            await replica.start()

        async def has_view() -> bool:
            return deployment.get_view() is not None

        await wait_until(has_view, 10, "the ledger has no view")
        await asyncio.sleep(2)
        killed = asyncio.Event()
        due = await asyncio.gather(
            *(play_program(deployment, n, trouble, killed) for n in range(PROGRAMS))
        )
        held = True
        for expected, call in due:
            for replica in replicas:
                for run in replica.runs:
                    if not call or run.call != call:
                        continue
                    is_whole = run.request.body == expected
                    record.write(
                        "check",
                        f"{call} at {run.instance}: "
                        + ("whole chain" if is_whole else "not the chain")
                        + f", due {expected!r}, got {run.request.body!r}",
                    )
                    held = held and is_whole
        return held
    finally:
        for replica in replicas:
            replica.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
