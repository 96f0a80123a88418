"""Measures what tracking many sidecars and shards costs one sidecar.

Runs as a child process. Membership and shard manager are those of the product. A fake
transport answers the instance list and probes immediately, so the costs exclude HTTP.
"""

import os
import random
import time
from typing import Any, final

import msgspec
import trio
from absl import app, flags

from cost.usage import read_usage
from goldcrestvane_common.messages import (
    Instance,
    InstanceList,
    InstanceState,
    PingResponse,
    Role,
    ShardMap,
    ShardOwner,
)
from goldcrestvane_common.objects import ObjectClient
from goldcrestvane_common.paths import (
    PING_PATH,
)
from goldcrestvane_common.transport import ClientResponse
from goldcrestvane_daemon.membership import Membership
from goldcrestvane_daemon.owner.manager import ShardManager
from goldcrestvane_daemon.owner.recovery import CallRecovery
from goldcrestvane_daemon.owner.target_connector import TargetConnector

DOMAINS = 8
RUN_SECONDS = 10.0
START_SECONDS = 4.0

_SIDECARS = flags.DEFINE_integer("sidecars", 8, "Sidecars in the list.")
_SHARDS = flags.DEFINE_integer("shards", 64, "Total number of shards.")


class MembersCost(msgspec.Struct, frozen=True):
    """Costs for one number of sidecars and shards.

    Attributes:
        start_cpu: Processor seconds during `START_SECONDS`, in which the sidecar
            processes the first list and map.
        core_percent: Share of a core after the start, excluding HTTP.
        list_bytes: Size of the instance list.
        map_bytes: Size of the shard map.
        resident_bytes: Memory of the process.
        probes_per_second: Probes sent per second.
    """

    start_cpu: float
    core_percent: float
    list_bytes: int
    map_bytes: int
    resident_bytes: int
    probes_per_second: float


@final
class FakeTransport:
    """Answers requests for the instance list and probes immediately."""

    def __init__(self, instance_list: bytes) -> None:
        self._instance_list = instance_list
        self.pings = 0

    async def send(
        self, method: str, peer: str, path: str, **options: Any
    ) -> ClientResponse:
        """Returns the instance list, or the response of a live peer to a probe."""
        await trio.lowlevel.checkpoint()
        if path != PING_PATH:
            return ClientResponse(status=200, headers={}, body=self._instance_list)
        self.pings += 1
        ping = PingResponse(peer, "1", InstanceState.LIVE)
        return ClientResponse(status=200, headers={}, body=msgspec.json.encode(ping))


def build_instances(count: int) -> list[Instance]:
    """Returns sidecars spread over the domains."""
    return [
        Instance(
            f"sidecar-engine-{number}",
            Role.SIDECAR,
            f"10.{number >> 8}.{number & 255}.1:9000",
            f"domain-{number % DOMAINS}",
            service="engine",
        )
        for number in range(count)
    ]


def build_map(instances: list[Instance], shards: int) -> ShardMap:
    """Returns a shard map without shards for the first, measured instance."""
    others = instances[1:] or instances
    owners = [others[number % len(others)] for number in range(shards)]
    return ShardMap([ShardOwner(item.instance, item.address, 1) for item in owners])


async def measure(sidecars: int, shards: int) -> MembersCost:
    """Runs membership and shard manager of one sidecar and returns their costs."""
    instances = build_instances(sidecars)
    shard_map = build_map(instances, shards)
    transport = FakeTransport(msgspec.json.encode(InstanceList(instances)))
    membership = Membership(
        transport=transport,
        instance_list_address="list",
        local_instance=instances[0],
        incarnation="1",
        rng=random.Random(1),
    )
    connector = TargetConnector(transport)
    manager = ShardManager(
        objects=ObjectClient(transport, "platform"),
        transport=transport,
        membership=membership,
        recovery=CallRecovery(connector=connector, directory=membership),
        get_map=lambda: shard_map,
        shard_count=shards,
        rng=random.Random(1),
    )
    started_at = time.process_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(membership.run)
        nursery.start_soon(manager.run)
        await trio.sleep(START_SECONDS)
        start_cpu = time.process_time() - started_at
        cpu_before, measured_at, pings = (
            time.process_time(),
            trio.current_time(),
            transport.pings,
        )
        await trio.sleep(RUN_SECONDS)
        seconds = trio.current_time() - measured_at
        cost = MembersCost(
            start_cpu=start_cpu,
            core_percent=100 * (time.process_time() - cpu_before) / seconds,
            list_bytes=len(msgspec.json.encode(InstanceList(instances))),
            map_bytes=len(msgspec.json.encode(shard_map)),
            resident_bytes=read_usage(os.getpid()).resident_bytes,
            probes_per_second=(transport.pings - pings) / seconds,
        )
        nursery.cancel_scope.cancel()
    return cost


def main(arguments: list[str]) -> None:
    """Prints the costs for one number of sidecars and shards as JSON."""
    cost = trio.run(measure, _SIDECARS.value, _SHARDS.value)
    print(msgspec.json.encode(cost).decode())


if __name__ == "__main__":
    app.run(main)
