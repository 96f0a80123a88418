"""Measures the processor time of one admission decision in the frontend's queue.

The service has 64 targets; the queue is either empty or full.
"""

import sys
import time

import trio
import trio.testing

from cost.report import Target as Bound
from cost.report import print_targets
from goldcrestvane_common.ids import DomainId, InstanceId, ServiceId
from goldcrestvane_daemon.frontend.affinity import Affinity
from goldcrestvane_daemon.frontend.queue import ServiceQueue
from goldcrestvane_daemon.frontend.rate_limits import TargetRateLimits
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.placement.inputs import PlacementOptions
from goldcrestvane_daemon.targets import Target, TargetState, TargetTable

SERVICES = 17
TARGETS = 64
SLOTS = 16
WAITING_CALLS = 990
MEASURED_CALLS = 2000
MAX_DECISION_MS = 0.2


def build_table() -> TargetTable:
    """Returns a table with the targets of all services."""
    table = TargetTable()
    for service in range(SERVICES):
        for number in range(TARGETS):
            table.put(
                Target(
                    instance=InstanceId(f"i-{service}-{number}"),
                    service=ServiceId(f"s{service}"),
                    host="10.0.0.1",
                    port=80,
                    domain=DomainId(f"d{number % 3}"),
                    slots=SLOTS,
                    state=TargetState.READY,
                )
            )
    return table


async def measure(*, waiting: int) -> float:
    """Returns the processor time in milliseconds to admit and release a call.

    Args:
        waiting: Calls that wait in the queue during the measurement.
    """
    queue = ServiceQueue(
        ServiceId("s0"),
        table=build_table(),
        health=HealthTracker(PlacementOptions()),
        rate_limits=TargetRateLimits(),
        domain=DomainId("d0"),
    )

    async def acquire(number: int) -> Target:
        return await queue.acquire(
            affinity=Affinity(key=f"p{number}"),
            priority=0,
            arrived=trio.current_time(),
            seconds_left=1e6,
        )

    held = [await acquire(number) for number in range(TARGETS * SLOTS)]
    async with trio.open_nursery() as nursery:
        for number in range(waiting):
            nursery.start_soon(acquire, number)
        await trio.testing.wait_all_tasks_blocked()
        if not waiting:
            for target in held[: TARGETS * SLOTS // 2]:
                queue.release(target)
        started_at = time.process_time()
        for number in range(MEASURED_CALLS):
            if waiting:
                # Each release admits a waiting call, and a new call joins the queue.
                nursery.start_soon(acquire, number)
                queue.release(held[number % len(held)], run_seconds=0.3)
            else:
                queue.release(await acquire(number), run_seconds=0.3)
            await trio.lowlevel.checkpoint()
        cpu_seconds = time.process_time() - started_at
        nursery.cancel_scope.cancel()
    return cpu_seconds / MEASURED_CALLS * 1000


def main() -> int:
    """Prints the results; a value above its limit does not change the exit code."""
    bounds = [
        Bound(
            name=f"decision beside {waiting} waiting calls",
            value=trio.run(lambda count=waiting: measure(waiting=count)),
            limit=MAX_DECISION_MS,
            unit="ms",
        )
        for waiting in (0, WAITING_CALLS)
    ]
    print_targets(bounds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
