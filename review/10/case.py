"""Twice as many programs as usual come at once, and frontends exceed their memory."""

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2.deployment import (  # noqa: E402
    RESTART_SECONDS,
    CaseUnusable,
    Deployment,
    Machine,
    build_configuration,
    build_route,
    run_case,
)
from harness_2.http import Request  # noqa: E402
from harness_2.replicas import Replica  # noqa: E402
from harness_2.turns import is_served, send_turn  # noqa: E402

PROGRAMS = 60
CHAIN_TURNS = 11
INPUT_BYTES = 200_000
BUILDERS = 8
USUAL = 30
BURSTS = 3
BURST_PAUSE_SECONDS = 6.0
TRIES = 3
ENDS = 3
MACHINES = 2
CLIENT_SECONDS = 6.0
LONG = b"long "
POLL_SECONDS = 0.01
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def measure_memory(machine: Machine) -> int:
    """Returns the resident memory of a machine's process; 0 if it has ended."""
    assert machine.process is not None
    try:
        statm = Path(f"/proc/{machine.process.pid}/statm").read_text()
    except OSError:
        return 0
    return int(statm.split()[1]) * PAGE_BYTES if statm.split() else 0


class Platform:
    """Kills processes that use more than their memory, and starts them again.

    Attributes:
        ends: Number of ends by machine.
        peaks: Largest memory seen by machine, in bytes.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Creates the guard of the deployment's machines."""
        self._deployment = deployment
        self.ends: Counter[str] = Counter()
        self.peaks: Counter[str] = Counter()

    async def guard(self) -> None:
        """Guards the machines until cancelled."""
        async with asyncio.TaskGroup() as group:
            machines = [*self._deployment.frontends, *self._deployment.ledgers]
            for machine in machines:
                group.create_task(self._guard_machine(machine))

    async def _guard_machine(self, machine: Machine) -> None:
        limit = machine.memory_mb * 1024 * 1024
        while True:
            used = measure_memory(machine)
            self.peaks[machine.name] = max(self.peaks[machine.name], used)
            if used > limit:
                self._deployment.record.write(
                    "platform",
                    f"{machine.name} uses {used / 2**20:.0f} MB of {machine.memory_mb}",
                )
                await machine.kill()
                self.ends[machine.name] += 1
                await asyncio.sleep(RESTART_SECONDS)
                machine.start()
            await asyncio.sleep(POLL_SECONDS)


async def build_chains(deployment: Deployment) -> dict[str, str]:
    """Returns the last turn of each program."""
    last: dict[str, str] = {}
    numbers = iter(range(PROGRAMS))

    async def build() -> None:
        for number in numbers:
            program, call = f"program-{number}", None
            for turn in range(CHAIN_TURNS):
                frontend = deployment.frontends[(number + turn) % MACHINES]
                body = LONG * (INPUT_BYTES // len(LONG))
                call, answer = await send_turn(
                    deployment, frontend, "kept", program, body, call
                )
                if not is_served(answer):
                    return
            assert call is not None
            last[program] = call

    await asyncio.gather(*(build() for _ in range(BUILDERS)))
    return last


async def continue_program(
    deployment: Deployment, number: int, program: str, call: str
) -> bool:
    """Sends the next turn of a program, again after a failure; returns if served."""
    for attempt in range(TRIES):
        frontend = deployment.frontends[(number + attempt) % MACHINES]
        _, answer = await send_turn(
            deployment,
            frontend,
            "kept",
            program,
            b"and then",
            call,
            seconds=CLIENT_SECONDS,
        )
        if is_served(answer):
            return True
        await asyncio.sleep(0.3)
    return False


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether no two machines ended three times by their memory."""
    record = deployment.record
    route = build_route("kept", retention_enabled=True, timeout_ms=6000)
    await deployment.start(build_configuration(route), frontends=MACHINES)

    def is_quick(request: Request) -> bool:
        return request.body.endswith(LONG)

    replicas = [
        Replica(
            deployment.store,
            record,
            instance=f"i-{number}",
            service="engine",
            zone=machine.zone,
            address=(deployment.take_host(), deployment.ports["replica"]),
            event_seconds=0.2,
            is_quick=is_quick,
        )
        for number, machine in enumerate(deployment.ledgers)
    ]
    platform = Platform(deployment)
    guard = asyncio.create_task(platform.guard())
    try:
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(2)
        last = await build_chains(deployment)
        record.write("check", f"{len(last)} of {PROGRAMS} programs have their chains")
        if len(last) < PROGRAMS / 2 or platform.ends:
            raise CaseUnusable("the chains could not be built")
        for burst in range(BURSTS):
            served = 0
            programs = list(enumerate(last.items()))
            width = len(programs) if trouble else USUAL
            for start in range(0, len(programs), width):
                served += sum(
                    await asyncio.gather(
                        *(
                            continue_program(deployment, number, *each)
                            for number, each in programs[start : start + width]
                        )
                    )
                )
            record.write("check", f"burst {burst}: {served} of {len(last)} were served")
            await asyncio.sleep(BURST_PAUSE_SECONDS)
    finally:
        guard.cancel()
        for replica in replicas:
            replica.close()
    peaks = {name: f"{used / 2**20:.0f} MB" for name, used in platform.peaks.items()}
    record.write("check", f"largest memory: {peaks}")
    record.write("check", f"ends by memory: {dict(platform.ends)}")
    return sum(count >= ENDS for count in platform.ends.values()) < MACHINES


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
