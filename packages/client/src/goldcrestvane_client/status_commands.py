"""``goldcrestvane status`` and ``goldcrestvane drain``: commands for processes."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import final

import msgspec
import trio

from goldcrestvane_client.context import Command, CommandContext
from goldcrestvane_client.output import CommandResult, Table
from goldcrestvane_client.processes import list_instances
from goldcrestvane_common.errors import NotFound, ServiceError
from goldcrestvane_common.ids import TeamId, Version
from goldcrestvane_common.messages import (
    Accepted,
    Instance,
    ProcessStatus,
    ShardMap,
)
from goldcrestvane_common.objects import ObjectStoreUnavailable
from goldcrestvane_common.paths import (
    DRAIN_PATH,
    SHARD_MAP_KEY,
    STATUS_PATH,
)
from goldcrestvane_common.transport import TransportError

STATUS_TIMEOUT_SECONDS = 2.0
MAX_CONCURRENT_REQUESTS = 32
UNOWNED = "(none)"
PROCESS_COLUMNS = (
    "INSTANCE",
    "ROLE",
    "DOMAIN",
    "SERVICE",
    "STATE",
    "SHARDS",
    "PROGRAMS",
    "IN FLIGHT",
    "RUNNING",
    "QUEUED",
    "SLOTS",
    "TEAMS BEHIND",
)


class ProcessReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """One process: its entry in the instance list and its own status.

    Attributes:
        listed: Entry of the platform's instance list.
        status: Status from the process itself; None if it did not respond.
        error: Why the process did not respond.
    """

    listed: Instance
    status: ProcessStatus | None = None
    error: str = ""


@final
@dataclass(frozen=True, kw_only=True)
class SystemReport:
    """Status of the system; `shard_map` is None if it cannot be read."""

    processes: list[ProcessReport]
    shard_map: ShardMap | None


async def show_status(context: CommandContext, arguments: list[str]) -> CommandResult:
    """Shows every process and the number of shards that each process owns."""
    instances = await list_instances(context)
    reports = await _query_processes(context, instances)
    shard_map = await _read_shard_map(context)
    tables = [_build_process_table(reports)]
    if shard_map is not None:
        tables.append(_build_shard_table(shard_map))
    value = SystemReport(processes=reports, shard_map=shard_map)
    return CommandResult(value=value, tables=tables)


async def _query_processes(
    context: CommandContext, instances: Sequence[Instance]
) -> list[ProcessReport]:
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)
    reports: dict[str, ProcessReport] = {}

    async def query(instance: Instance) -> None:
        async with limiter:
            reports[instance.instance] = await _query_process(context, instance)

    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(query, instance)
    return [reports[instance.instance] for instance in instances]


async def _query_process(context: CommandContext, instance: Instance) -> ProcessReport:
    try:
        response = await context.transport.send(
            "GET", instance.address, STATUS_PATH, timeout=STATUS_TIMEOUT_SECONDS
        )
        status = response.decode(ProcessStatus)
    except (TransportError, ServiceError) as error:
        return ProcessReport(listed=instance, error=str(error))
    return ProcessReport(listed=instance, status=status)


async def _read_shard_map(context: CommandContext) -> ShardMap | None:
    try:
        stored = await context.objects.read(SHARD_MAP_KEY)
    except ObjectStoreUnavailable as error:
        context.print_note(f"the shard map is not available: {error}")
        return None
    return None if stored is None else stored.decode(ShardMap)


def _build_process_table(reports: Sequence[ProcessReport]) -> Table:
    newest_versions = _get_newest_versions(reports)
    rows = [
        (
            *_build_listed_cells(report.listed),
            *_build_status_cells(report, newest_versions),
        )
        for report in reports
    ]
    return Table(columns=PROCESS_COLUMNS, rows=rows)


def _get_newest_versions(reports: Sequence[ProcessReport]) -> dict[TeamId, Version]:
    newest_versions: dict[TeamId, Version] = {}
    for report in reports:
        versions = report.status.settings_versions if report.status else {}
        for team, version in versions.items():
            newest_versions[team] = max(version, newest_versions.get(team, Version(0)))
    return newest_versions


def _build_listed_cells(listed: Instance) -> tuple[object, ...]:
    return listed.instance, listed.role.value, listed.domain, listed.service or "-"


def _build_status_cells(
    report: ProcessReport, newest_versions: dict[TeamId, Version]
) -> tuple[object, ...]:
    status = report.status
    if status is None:
        return ("no answer", *["-"] * 7)
    load = status.load
    target = (load.running, load.queued, load.slots) if load else ("-", "-", "-")
    outdated_teams = sum(
        status.settings_versions.get(team, 0) < version
        for team, version in newest_versions.items()
    )
    return (
        status.instance.state.value,
        len(status.shards),
        status.open_programs,
        status.in_flight,
        *target,
        outdated_teams,
    )


def _build_shard_table(shard_map: ShardMap) -> Table:
    counts = Counter(
        entry.owner if entry is not None else UNOWNED for entry in shard_map.shards
    )
    return Table(columns=("OWNER", "SHARDS"), rows=sorted(counts.items()))


async def drain_instance(
    context: CommandContext, arguments: list[str]
) -> CommandResult:
    """Tells a process to finish its work and leave."""
    name = arguments[0]
    for instance in await list_instances(context):
        if instance.instance == name:
            reply = await context.transport.send("POST", instance.address, DRAIN_PATH)
            response = reply.decode(Accepted)
            return CommandResult(value=response, lines=[f"{name} is {response.state}"])
    raise NotFound(
        f"Got instance {name}, which is not in the list; see: goldcrestvane status"
    )


COMMANDS = (
    Command(
        usage="status",
        summary="Shows every process and the owners of the shards.",
        run=show_status,
    ),
    Command(
        usage="drain INSTANCE",
        summary="Tells a process to finish its work and leave.",
        run=drain_instance,
    ),
)
