"""What idle processes cost, what a settings change costs, and the control traffic."""

import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import final

import msgspec
import trio

from cost.forwarder import Forwarder
from cost.hops import PLAN, TEAM, TOOL_PLAN, PlatformCounts, count_platform, list_pids
from cost.report import Target, print_rows
from cost.usage import Meter, read_usage
from goldcrestvane_common.messages import (
    Instance,
    ProcessStatus,
    Role,
)
from goldcrestvane_common.settings import (
    AuditRecord,
    TeamDocument,
    build_settings_key,
)
from goldcrestvane_standins.deployment import (
    Deployment,
    ManagedProcess,
    Plan,
    find_free_port,
)

IDLE_SECONDS = 30.0
SETTLE_SECONDS = 20.0
CHANGES = 40
CHANGE_PAUSE_SECONDS = 0.1
MAX_IDLE_CORE_PERCENT = 1.5
MAX_MEMORY_MB = 64.0
MAX_CONTROL_KB_PER_SECOND = 8.0
MAX_CHANGE_SECONDS = 4.0
MB = 1e6
POLL_SECONDS = 0.01


@final
@dataclass(frozen=True, kw_only=True)
class Gauged:
    """A process whose control traffic passes through forwarders.

    Attributes:
        platform: In front of the object API.
        instances: In front of the instance list.
        peers: In front of the process; peers know this address alone.
    """

    platform: Forwarder
    instances: Forwarder
    peers: Forwarder

    def read_bytes(self) -> tuple[int, int, int]:
        """Returns the bytes passed so far, by forwarder."""
        parts = (self.platform, self.instances, self.peers)
        return (parts[0].bytes_passed, parts[1].bytes_passed, parts[2].bytes_passed)


async def start_gauged(
    deployment: Deployment,
    nursery: trio.Nursery,
    name: str,
    plan: Plan,
    *options: str,
    role: Role,
    service: str | None = None,
) -> Gauged:
    """Starts a daemon whose control traffic is counted."""
    processes = deployment.processes
    forwarders = [
        Forwarder(processes["objectapi"].address),
        Forwarder(processes["instances"].address),
        Forwarder("127.0.0.1:0"),
    ]
    for forwarder in forwarders:
        await nursery.start(forwarder.serve)
    gauged = Gauged(
        platform=forwarders[0], instances=forwarders[1], peers=forwarders[2]
    )
    command = [
        str(Path(sys.executable).with_name("goldcrestvaned")),
        f"--role={role.value}",
        f"--instance={name}",
        f"--domain={plan.domains[0]}",
        f"--platform={gauged.platform.address}",
        f"--instances={gauged.instances.address}",
        f"--shard_count={plan.shard_count}",
        f"--log_level={plan.log_level}",
        *options,
    ]
    process = ManagedProcess(name, command, Path(tempfile.gettempdir(), f"{name}.log"))
    process.address = gauged.peers.peer = f"127.0.0.1:{find_free_port()}"
    processes[name] = process
    process.start(f"--listen={process.address}")
    row = Instance(name, role, gauged.peers.address, plan.domains[0], service=service)
    await deployment.put_instance(row)
    await deployment.wait_ready()
    return gauged


async def run_idle(folder: Path) -> list[Target]:
    """Measures a small idle deployment, then settings changes in it."""
    plan = msgspec.structs.replace(
        PLAN, targets=(*PLAN.targets, TOOL_PLAN), shard_count=32
    )
    async with Deployment(plan, folder) as deployment, trio.open_nursery() as nursery:
        await deployment.start_standin("target-gauged", "engine")
        gauged = {
            "gauged-sidecar": await start_gauged(
                deployment,
                nursery,
                "gauged-sidecar",
                plan,
                "--service=spare",
                "--target_kind=model",
                f"--target_address={deployment.processes['target-gauged'].address}",
                role=Role.SIDECAR,
                service="spare",
            ),
            "gauged-entry": await start_gauged(
                deployment, nursery, "gauged-entry", plan, role=Role.ENTRY
            ),
        }
        await deployment.wait_ready()
        await trio.sleep(SETTLE_SECONDS)
        targets = await measure_idle(deployment, gauged)
        targets += await measure_changes(deployment)
        nursery.cancel_scope.cancel()
    return targets


async def measure_idle(
    deployment: Deployment, gauged: dict[str, Gauged]
) -> list[Target]:
    """Measures idle processes for `IDLE_SECONDS`."""
    pids = list_pids(deployment)
    pids |= {name: deployment.processes[name].pid for name in gauged}
    former = await count_platform(deployment)
    before = {name: item.read_bytes() for name, item in gauged.items()}
    meter = Meter(pids)
    await trio.sleep(IDLE_SECONDS)
    cpu = meter.read_cpu()
    after = {name: item.read_bytes() for name, item in gauged.items()}
    counts = (await count_platform(deployment)).subtract(former)
    rows, targets = [], []
    for name, pid in pids.items():
        percent = 100 * cpu[name] / IDLE_SECONDS
        memory = read_usage(pid).resident_bytes / MB
        row = [name, f"{percent:.2f}", f"{memory:.1f}"]
        targets.append(
            Target(
                name=f"idle CPU of {name}",
                value=percent,
                limit=MAX_IDLE_CORE_PERCENT,
                unit="% of a core",
            )
        )
        targets.append(
            Target(
                name=f"memory of {name}", value=memory, limit=MAX_MEMORY_MB, unit="MB"
            )
        )
        if name in gauged:
            rates = [
                (new - old) / IDLE_SECONDS / 1000
                for new, old in zip(after[name], before[name], strict=True)
            ]
            row += [f"{rate:.2f}" for rate in rates]
            targets.append(
                Target(
                    name=f"control traffic of {name}",
                    value=sum(rates),
                    limit=MAX_CONTROL_KB_PER_SECOND,
                    unit="KB/s",
                )
            )
        else:
            row += ["-", "-", "-"]
        rows.append(row)
    header = ["idle process", "% core", "MB"]
    header += ["platform KB/s", "list KB/s", "from peers KB/s"]
    print_rows(f"idle for {IDLE_SECONDS:.0f} s", header, rows)
    print_platform(counts, processes=len(pids))
    return targets


def print_platform(counts: PlatformCounts, *, processes: int) -> None:
    """Prints the calls of the object API in an idle second."""
    rates = [
        f"{number / IDLE_SECONDS / processes:.3f} {kind}"
        for kind, number in (
            ("reads", counts.reads),
            ("writes", counts.writes),
            ("watches", counts.watches),
        )
    ]
    print(f"  platform calls a process and idle second: {', '.join(rates)}")


async def measure_changes(deployment: Deployment) -> list[Target]:
    """Changes a team's settings some times; returns the slowest change as a target."""
    pids = list_pids(deployment)
    stored = await deployment.request(
        "objectapi", "GET", f"/v1/objects/{build_settings_key(TEAM)}"
    )
    version = msgspec.json.decode(stored.body)["version"]
    meter = Meter(pids)
    former = await count_platform(deployment)
    started = trio.current_time()
    for number in range(CHANGES):
        version = await write_change(deployment, version, number)
        await trio.sleep(CHANGE_PAUSE_SECONDS)
    seconds = trio.current_time() - started
    cpu = meter.read_cpu()
    counts = (await count_platform(deployment)).subtract(former)
    rows = [
        [name, f"{used / CHANGES * 1000:.2f}"] for name, used in sorted(cpu.items())
    ]
    title = f"{CHANGES} settings changes in {seconds:.1f} s"
    print_rows(title, ["process", "CPU ms a change, idle cost included"], rows)
    print(f"  platform calls a change: {counts.reads / CHANGES:.2f} reads,")
    print(f"  {counts.writes / CHANGES:.2f} writes, {counts.watches / CHANGES:.2f}")
    print(f"  watches of {len(pids) + 2} processes")
    delays = [await time_change(deployment, number) for number in range(5)]
    return [
        Target(
            name="slowest of 5 changes until in force in all",
            value=max(delays),
            limit=MAX_CHANGE_SECONDS,
            unit="s",
        )
    ]


async def write_change(deployment: Deployment, version: int, number: int) -> int:
    """Writes the team's settings with another weight; returns the new version."""
    settings = msgspec.structs.replace(
        PLAN.teams[TEAM], cache_weight=0.25 + 0.01 * (number % 50)
    )
    record = AuditRecord(0.0, "bench", "apply", f"bench-{version}")
    body = {"value": TeamDocument(settings, [record]), "expected_version": version}
    key = build_settings_key(TEAM)
    response = await deployment.request("objectapi", "PUT", f"/v1/objects/{key}", body)
    return msgspec.json.decode(response.body)["version"]


async def time_change(deployment: Deployment, number: int) -> float:
    """Returns the seconds until a change is in force in all processes."""
    key = build_settings_key(TEAM)
    stored = await deployment.request("objectapi", "GET", f"/v1/objects/{key}")
    version = await write_change(
        deployment, msgspec.json.decode(stored.body)["version"], number
    )
    started = trio.current_time()
    for name in list_pids(deployment):

        async def is_in_force(name: str = name) -> bool:
            response = await deployment.request(name, "GET", "/internal/status")
            status = response.decode(ProcessStatus)
            return status.settings_versions.get(TEAM, 0) >= version

        await deployment.wait_until(is_in_force, f"{name} has version {version}")
    return trio.current_time() - started
