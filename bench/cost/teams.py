"""Measures what the settings of many teams cost a process.

Runs as a child process.
"""

import os
import time

import msgspec
from absl import app, flags

from cost.usage import read_usage
from goldcrestvane_common.control_replica import ControlReplica
from goldcrestvane_common.ids import Version
from goldcrestvane_common.objects import ObjectList, StoredObject
from goldcrestvane_common.settings import (
    AuditRecord,
    Budget,
    OperationSettings,
    ProgramSettings,
    ServiceKind,
    ServiceSettings,
    TeamDocument,
    TeamSettings,
    build_settings_key,
)
from goldcrestvane_common.team_cache import TeamCache

AUDIT_RECORDS = 5
CHANGES = 200

_TEAMS = flags.DEFINE_integer("teams", 100, "Teams in the settings tree.")


class TeamsCost(msgspec.Struct, frozen=True):
    """Costs for one number of teams.

    Attributes:
        resident_bytes: Memory that the settings occupy.
        list_bytes: Size of the encoded list of all settings.
        load_seconds: Processor time to decode and apply the whole list.
        change_seconds: Processor time of one change, including decoding.
        digest_seconds: Processor time to compute the digest of the replica once.
    """

    resident_bytes: int
    list_bytes: int
    load_seconds: float
    change_seconds: float
    digest_seconds: float


def build_document(number: int) -> TeamDocument:
    """Returns the settings of a typical team.

    The team has two kinds of programs, three services and five audit records.
    """
    settings = TeamSettings(
        programs={
            "short": ProgramSettings(budget=Budget(tokens=20_000, calls=40 + number)),
            "long": ProgramSettings(budget=Budget(tokens=800_000, calls=440)),
        },
        services={
            "engine-a": ServiceSettings(kind=ServiceKind.MODEL),
            "engine-b": ServiceSettings(kind=ServiceKind.MODEL),
            "tool": ServiceSettings(
                kind=ServiceKind.TOOL,
                operations={
                    name: OperationSettings(idempotent=name == "read")
                    for name in ("read", "write", "book")
                },
            ),
        },
        token_sha256="0" * 64,
    )
    audit = [
        AuditRecord(
            1.0e9, "operator", "apply", f"{number}-{step}", "reason", ["a: 1 -> 2"]
        )
        for step in range(AUDIT_RECORDS)
    ]
    return TeamDocument(settings, audit)


def encode_team(number: int, version: int) -> StoredObject:
    """Returns the settings of a team as a stored object."""
    value = msgspec.Raw(msgspec.json.encode(build_document(number)))
    return StoredObject(build_settings_key(f"team-{number}"), Version(version), value)


def measure(teams: int) -> TeamsCost:
    """Returns the costs for a number of teams."""
    data = msgspec.json.encode(
        ObjectList(
            Version(teams), [encode_team(number, number + 1) for number in range(teams)]
        )
    )
    bytes_before = read_usage(os.getpid()).resident_bytes
    replica, cache = ControlReplica(), TeamCache()
    started_at = time.process_time()
    for stored in replica.merge_snapshot(msgspec.json.decode(data, type=ObjectList)):
        cache.update(stored)
    loaded_at = time.process_time()
    resident_bytes = read_usage(os.getpid()).resident_bytes - bytes_before
    for change in range(CHANGES):
        encoded = msgspec.json.encode([encode_team(change % teams, teams + change + 2)])
        changes = msgspec.json.decode(encoded, type=list[StoredObject])
        for stored in replica.merge(changes):
            cache.update(stored)
    changed_at = time.process_time()
    for _ in range(CHANGES):
        _ = replica.digest
    return TeamsCost(
        resident_bytes=resident_bytes,
        list_bytes=len(data),
        load_seconds=loaded_at - started_at,
        change_seconds=(changed_at - loaded_at) / CHANGES,
        digest_seconds=(time.process_time() - changed_at) / CHANGES,
    )


def main(arguments: list[str]) -> None:
    """Prints the costs for one number of teams as JSON."""
    print(msgspec.json.encode(measure(_TEAMS.value)).decode())


if __name__ == "__main__":
    app.run(main)
