"""Measures what open programs cost their owner.

Runs as a child process, without other processes or network connections.
"""

import os
import time
from typing import final

import msgspec
import trio
from absl import app, flags

from cost.usage import read_usage
from goldcrestvane_common.ids import InstanceId, ProgramId, ShardId, TeamId
from goldcrestvane_common.messages import (
    Instance,
    Message,
    TokenUsage,
)
from goldcrestvane_common.objects import ObjectClient
from goldcrestvane_common.settings import Budget, HistoryMode
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.owner.journal import Journal
from goldcrestvane_daemon.owner.records import CallEnded, ProgramBegun, Record
from goldcrestvane_daemon.owner.session_release import SessionReleaser
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)
from goldcrestvane_daemon.owner.snapshot import build_snapshot
from goldcrestvane_daemon.owner.state import apply_record
from goldcrestvane_daemon.owner.target_connector import TargetConnector

SHARDS = 8
QUESTION_CHARACTERS = 200
ANSWER_CHARACTERS = 800
RUN_SECONDS = 6.0
TEAM = TeamId("cost")
OWNER = InstanceId("owner")
TARGET = InstanceId("sidecar-engine-0")

_PROGRAMS = flags.DEFINE_integer("programs", 1000, "Total number of open programs.")
_TURNS = flags.DEFINE_integer("turns", 4, "Ended model calls of each program.")
_KEEP_HISTORY = flags.DEFINE_bool(
    "history", False, "Whether the owner keeps the history."
)


class ProgramsCost(msgspec.Struct, frozen=True):
    """Costs for one number of programs.

    Attributes:
        resident_bytes: Memory that the programs occupy.
        idle_percent: Share of a core for scanning the programs while nothing runs.
        record_bytes: Journal bytes of all records.
        snapshot_seconds: Processor time to build and encode a snapshot of all
            programs.
        snapshot_bytes: Size of that snapshot.
        replay_seconds: Processor time to decode and apply that snapshot.
    """

    resident_bytes: int
    idle_percent: float
    record_bytes: int
    snapshot_seconds: float
    snapshot_bytes: int
    replay_seconds: float


@final
class EmptyDirectory:
    """A directory that contains no targets."""

    def list_targets(self, service: str) -> list[Instance]:
        """Returns an empty list."""
        return []

    def find_instance(self, instance: InstanceId) -> Instance | None:
        """Returns None for every instance."""
        return None


def build_records(number: int, *, turns: int, history: bool) -> list[Record]:
    """Returns the journal records of one program."""
    program = ProgramId(f"program-{number:08d}")
    mode = HistoryMode.OWNER if history else HistoryMode.CALLER
    budget = Budget(tokens=10_000_000, calls=1000, seconds=86_400.0)
    records: list[Record] = [
        ProgramBegun(TEAM, program, "probe", time.time(), budget, history=mode)
    ]
    for turn in range(1, turns + 1):
        answer = f"{number}-{turn} ".ljust(ANSWER_CHARACTERS, "x")
        question = f"{turn} ".ljust(QUESTION_CHARACTERS, "q")
        messages = [Message("user", question), Message("assistant", answer)]
        records.append(
            CallEnded(
                TEAM,
                program,
                turn,
                f"{number:016x}",
                f"1.1.{number:x}.{turn}.1",
                TARGET,
                msgspec.Raw(msgspec.json.encode(answer)),
                usage=TokenUsage(prompt_tokens=50, completion_tokens=200),
                messages=messages if history else [],
                prompt_messages=2 * turn,
                prompt_hash=f"{number:016x}",
            )
        )
    return records


def fill_shards(programs: int, *, turns: int, history: bool) -> list[OwnedShard]:
    """Returns shards with open programs in the state after a journal replay."""
    transport = Transport()
    shards = [
        OwnedShard(
            ShardId(shard),
            OWNER,
            Journal(ObjectClient(transport, "127.0.0.1:1"), ShardId(shard), OWNER),
        )
        for shard in range(SHARDS)
    ]
    for number in range(programs):
        data = msgspec.json.encode(build_records(number, turns=turns, history=history))
        for record in msgspec.json.decode(data, type=list[Record]):
            apply_record(record, shards[number % SHARDS].state)
    return shards


async def measure_idle(shards: list[OwnedShard]) -> float:
    """Returns the share of a core that the scan for overdue programs takes."""
    releaser = SessionReleaser(
        connector=TargetConnector(Transport()),
        directory=EmptyDirectory(),
        list_shards=lambda: shards,
        forget_program=lambda team, program: None,
    )
    with trio.move_on_after(RUN_SECONDS):
        started_at = time.process_time()
        await releaser.run()
    return 100 * (time.process_time() - started_at) / RUN_SECONDS


def measure(programs: int, *, turns: int, history: bool) -> ProgramsCost:
    """Returns the costs for a number of programs."""
    bytes_before = read_usage(os.getpid()).resident_bytes
    shards = fill_shards(programs, turns=turns, history=history)
    resident_bytes = read_usage(os.getpid()).resident_bytes - bytes_before
    idle = trio.run(measure_idle, shards)
    started_at = time.process_time()
    snapshots = [msgspec.json.encode(build_snapshot(shard.state)) for shard in shards]
    built_at = time.process_time()
    for snapshot in snapshots:
        state = type(shards[0].state)()
        for record in msgspec.json.decode(snapshot, type=list[Record]):
            apply_record(record, state)
    replayed_at = time.process_time()
    sample = build_records(1, turns=turns, history=history)
    return ProgramsCost(
        resident_bytes=resident_bytes,
        idle_percent=idle,
        record_bytes=programs * len(msgspec.json.encode(sample)),
        snapshot_seconds=built_at - started_at,
        snapshot_bytes=sum(len(snapshot) for snapshot in snapshots),
        replay_seconds=replayed_at - built_at,
    )


def main(arguments: list[str]) -> None:
    """Prints the costs for one number of programs as JSON."""
    cost = measure(_PROGRAMS.value, turns=_TURNS.value, history=_KEEP_HISTORY.value)
    print(msgspec.json.encode(cost).decode())


if __name__ == "__main__":
    app.run(main)
