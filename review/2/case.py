"""Two store machines are replaced at once, and later two others lose their disks.

The deployment bears the loss of two machines with disks. The successors of the first two
have far more than `catch_up_s` before the final fault. With TROUBLE=final only the final
fault takes place.
"""

import asyncio
import os

from harness.clients import Line, TurnSender
from harness.deployment import TURN_PATH, Deployment, run_case
from harness.machines import CannotRun

LINES = 8
TURNS_OF_A_PROGRAM = 11
TURN_SECONDS = 0.5
TOLERATED = 2
CATCH_UP_SECONDS = 6.0
STABLE_SECONDS = 4.0
RECOVERY_SECONDS = 15.0
LAST_SECONDS = 4.0
DOWN_SECONDS = 1.0

REPLACED = ("storage-torino-1", "storage-verona-1")
SUCCESSORS = (("torino", 3), ("verona", 3))
WIPED = ("storage-milano-1", "storage-torino-2")

BOUNDS = {
    "stable_window_ms": 4000,
    "acknowledge_ms": 6000,
    "catch_up_s": CATCH_UP_SECONDS,
    "drain_ms": 3000,
    "config_propagation_ms": 3000,
    "max_extension_ms": 6000,
    "recovery_s": RECOVERY_SECONDS,
    "delivery_lag_ms": 200,
}
"""Bounds of the site passolungo-hq-grown that differ from those of the smaller one."""


class Traffic:
    """Sends turns of several lines until it is stopped."""

    def __init__(self, deployment: Deployment) -> None:
        self.label = "before"
        self.lines = [Line(f"p{number}", TURN_PATH) for number in range(LINES)]
        self._deployment = deployment
        self._sender = TurnSender(deployment.client)
        self._end = float("inf")
        self._programs = LINES

    async def run(self) -> None:
        """Runs all lines."""
        await asyncio.gather(*map(self._run_line, range(LINES)))

    def stop(self) -> None:
        """Begins no further turn."""
        self._end = 0.0

    async def _run_line(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self._end:
            began = loop.time()
            if self.lines[number].turns >= TURNS_OF_A_PROGRAM:
                self._programs += 1
                self.lines[number] = Line(f"p{self._programs}", TURN_PATH)
            frontends = self._deployment.balancer.ready or self._deployment.frontends
            first = number % len(frontends)
            order = [*frontends[first:], *frontends[:first]]
            answer = await self._sender.send(self.lines[number], order, self.label)
            if not answer.served:
                # The program has failed; a new one continues from the same turn.
                self._programs += 1
                self.lines[number].program = f"p{self._programs}"
            await asyncio.sleep(max(0.0, began + TURN_SECONDS - loop.time()))


async def replace_two(deployment: Deployment) -> None:
    """Removes two store machines for good; empty ones come at other addresses."""
    for name in REPLACED:
        deployment.kill(deployment.machines[name])
    await asyncio.sleep(DOWN_SECONDS)
    for zone, number in SUCCESSORS:
        machine = deployment.add_store_machine(number, zone, bootstrap=False)
        deployment.start_machine(machine)


async def wipe_two(deployment: Deployment) -> None:
    """Lets two other store machines lose their disks; they start again at once."""
    machines = [deployment.machines[name] for name in WIPED]
    for machine in machines:
        deployment.kill(machine)
    for machine in machines:
        deployment.wipe(machine)
    await asyncio.sleep(DOWN_SECONDS)
    for machine in machines:
        deployment.start_machine(machine)


async def check(deployment: Deployment) -> bool:
    """Returns whether kept turns reach replicas again after the final fault."""
    record, mode = deployment.record, os.environ.get("TROUBLE", "1")
    deployment.bounds.update(BOUNDS)
    await deployment.start(stores_in_zone=2, frontends=3, models=7, tools=2)
    await asyncio.sleep(3.0)
    traffic = Traffic(deployment)
    running = asyncio.ensure_future(traffic.run())
    await asyncio.sleep(6.0)
    if mode not in ("0", "final"):
        traffic.label = "replaced"
        await replace_two(deployment)
    await asyncio.sleep(CATCH_UP_SECONDS + 2 * STABLE_SECONDS + 6.0)
    traffic.label = "final fault"
    if mode != "0":
        await wipe_two(deployment)
    await asyncio.sleep(RECOVERY_SECONDS)
    began = record.now
    await asyncio.sleep(LAST_SECONDS)
    ended = record.now
    traffic.stop()
    await running
    sent = [
        each
        for each in record.events
        if each["kind"] == "sent" and began <= float(str(each["t"])) <= ended
    ]
    if not sent:
        raise CannotRun("no turn was sent in the last seconds")
    ran = [each for each in sent if record.list_runs(str(each["call"]))]
    record.add("verdict", since=round(began, 1), tries=len(sent), reached=len(ran))
    deployment.report_unexpected_ends()
    return bool(ran)


if __name__ == "__main__":
    run_case(__file__, check, tolerated=TOLERATED)
