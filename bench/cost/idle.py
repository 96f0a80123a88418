"""Measures idle processes, their control traffic and changes of settings."""

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
class TrafficMeter:
    """Forwarders that count the control traffic of a process.

    Attributes:
        platform: Forwarder in front of the object API.
        instances: Forwarder in front of the instance list.
        peers: Forwarder in front of the process; peers know only its address.
    """

    platform: Forwarder
    instances: Forwarder
    peers: Forwarder

    def read_bytes(self) -> tuple[int, int, int]:
        """Returns the bytes that each forwarder has forwarded so far."""
        parts = (self.platform, self.instances, self.peers)
        return (
            parts[0].forwarded_bytes,
            parts[1].forwarded_bytes,
            parts[2].forwarded_bytes,
        )


async def start_metered(
    deployment: Deployment,
    nursery: trio.Nursery,
    name: str,
    plan: Plan,
    *options: str,
    role: Role,
    service: str | None = None,
) -> TrafficMeter:
    """Starts a daemon with forwarders that count its control traffic."""
    processes = deployment.processes
    forwarders = [
        Forwarder(processes["objectapi"].address),
        Forwarder(processes["instances"].address),
        Forwarder("127.0.0.1:0"),
    ]
    for forwarder in forwarders:
        await nursery.start(forwarder.serve)
    metered = TrafficMeter(
        platform=forwarders[0], instances=forwarders[1], peers=forwarders[2]
    )
    command = [
        str(Path(sys.executable).with_name("goldcrestvaned")),
        f"--role={role.value}",
        f"--instance={name}",
        f"--domain={plan.domains[0]}",
        f"--platform={metered.platform.address}",
        f"--instances={metered.instances.address}",
        f"--shard_count={plan.shard_count}",
        f"--log_level={plan.log_level}",
        *options,
    ]
    process = ManagedProcess(name, command, Path(tempfile.gettempdir(), f"{name}.log"))
    process.address = metered.peers.peer = deployment.reserve_address()
    processes[name] = process
    process.start(f"--listen={process.address}")
    row = Instance(name, role, metered.peers.address, plan.domains[0], service=service)
    await deployment.put_instance(row)
    await deployment.wait_ready()
    return metered


async def run_idle(folder: Path) -> list[Target]:
    """Measures a small deployment, first idle and then while settings change."""
    plan = msgspec.structs.replace(
        PLAN, targets=(*PLAN.targets, TOOL_PLAN), shard_count=32
    )
    async with Deployment(plan, folder) as deployment, trio.open_nursery() as nursery:
        await deployment.start_standin("target-gauged", "engine")
        metered = {
            "gauged-sidecar": await start_metered(
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
            "gauged-entry": await start_metered(
                deployment, nursery, "gauged-entry", plan, role=Role.ENTRY
            ),
        }
        await deployment.wait_ready()
        await trio.sleep(SETTLE_SECONDS)
        targets = await measure_idle(deployment, metered)
        targets += await measure_changes(deployment)
        nursery.cancel_scope.cancel()
    return targets


async def measure_idle(
    deployment: Deployment, metered: dict[str, TrafficMeter]
) -> list[Target]:
    """Measures idle processes for `IDLE_SECONDS` and returns the targets."""
    pids = list_pids(deployment)
    pids |= {name: deployment.processes[name].pid for name in metered}
    counts_before = await count_platform(deployment)
    bytes_before = {name: item.read_bytes() for name, item in metered.items()}
    meter = Meter(pids)
    await trio.sleep(IDLE_SECONDS)
    cpu = meter.read_cpu()
    bytes_after = {name: item.read_bytes() for name, item in metered.items()}
    counts = (await count_platform(deployment)).subtract(counts_before)
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
        if name in metered:
            rates = [
                (new - old) / IDLE_SECONDS / 1000
                for new, old in zip(bytes_after[name], bytes_before[name], strict=True)
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
    """Prints the calls to the object API per process and idle second."""
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
    """Changes a team's settings repeatedly; returns the slowest change as a target."""
    pids = list_pids(deployment)
    stored = await deployment.request(
        "objectapi", "GET", f"/v1/objects/{build_settings_key(TEAM)}"
    )
    version = msgspec.json.decode(stored.body)["version"]
    meter = Meter(pids)
    counts_before = await count_platform(deployment)
    started = trio.current_time()
    for number in range(CHANGES):
        version = await write_change(deployment, version, number)
        await trio.sleep(CHANGE_PAUSE_SECONDS)
    seconds = trio.current_time() - started
    cpu = meter.read_cpu()
    counts = (await count_platform(deployment)).subtract(counts_before)
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
    """Writes the team's settings with another cache weight; returns the version."""
    settings = msgspec.structs.replace(
        PLAN.teams[TEAM], cache_weight=0.25 + 0.01 * (number % 50)
    )
    record = AuditRecord(0.0, "bench", "apply", f"bench-{version}")
    body = {"value": TeamDocument(settings, [record]), "expected_version": version}
    key = build_settings_key(TEAM)
    response = await deployment.request("objectapi", "PUT", f"/v1/objects/{key}", body)
    return msgspec.json.decode(response.body)["version"]


async def time_change(deployment: Deployment, number: int) -> float:
    """Returns the seconds until a change is effective in all processes."""
    key = build_settings_key(TEAM)
    stored = await deployment.request("objectapi", "GET", f"/v1/objects/{key}")
    version = await write_change(
        deployment, msgspec.json.decode(stored.body)["version"], number
    )
    started = trio.current_time()
    for name in list_pids(deployment):

        async def is_effective(name: str = name) -> bool:
            reply = await deployment.request(name, "GET", "/internal/status")
            status = reply.decode(ProcessStatus)
            return status.settings_versions.get(TEAM, 0) >= version

        await deployment.wait_until(is_effective, f"{name} has version {version}")
    return trio.current_time() - started
