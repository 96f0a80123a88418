"""What the settings of many teams cost each process; run as a child process."""

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
    """Figures of one size.

    Attributes:
        resident_bytes: Memory that the settings take.
        list_bytes: Size of the whole list.
        load_seconds: Processor time to take the whole list in.
        change_seconds: Processor time of one change, decoding included.
        digest_seconds: Processor time of one digest of the copy.
    """

    resident_bytes: int
    list_bytes: int
    load_seconds: float
    change_seconds: float
    digest_seconds: float


def build_document(number: int) -> TeamDocument:
    """Returns settings of a middling team: two kinds, three services, five audits."""
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
    """Returns the stored settings of one team."""
    value = msgspec.Raw(msgspec.json.encode(build_document(number)))
    return StoredObject(build_settings_key(f"team-{number}"), Version(version), value)


def measure(teams: int) -> TeamsCost:
    """Returns the figures of one size."""
    data = msgspec.json.encode(
        ObjectList(
            Version(teams), [encode_team(number, number + 1) for number in range(teams)]
        )
    )
    before = read_usage(os.getpid()).resident_bytes
    replica, cache = ControlReplica(), TeamCache()
    started = time.process_time()
    for stored in replica.merge_snapshot(msgspec.json.decode(data, type=ObjectList)):
        cache.update(stored)
    loaded = time.process_time()
    resident = read_usage(os.getpid()).resident_bytes - before
    for change in range(CHANGES):
        encoded = msgspec.json.encode([encode_team(change % teams, teams + change + 2)])
        changes = msgspec.json.decode(encoded, type=list[StoredObject])
        for stored in replica.merge(changes):
            cache.update(stored)
    changed = time.process_time()
    for _ in range(CHANGES):
        _ = replica.digest
    return TeamsCost(
        resident_bytes=resident,
        list_bytes=len(data),
        load_seconds=loaded - started,
        change_seconds=(changed - loaded) / CHANGES,
        digest_seconds=(time.process_time() - changed) / CHANGES,
    )


def main(arguments: list[str]) -> None:
    """Prints the figures of one size as JSON."""
    print(msgspec.json.encode(measure(_TEAMS.value)).decode())


if __name__ == "__main__":
    app.run(main)
