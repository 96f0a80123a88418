"""What open programs cost their owner; run as a child process, in process on fakes."""

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

_PROGRAMS = flags.DEFINE_integer("programs", 1000, "Open programs in all.")
_TURNS = flags.DEFINE_integer("turns", 4, "Ended model calls of each program.")
_KEEP_HISTORY = flags.DEFINE_bool("history", False, "Whether the owner keeps it.")


class ProgramsCost(msgspec.Struct, frozen=True):
    """Figures of one size.

    Attributes:
        resident_bytes: Memory that the programs take.
        idle_percent: Share of a core for scanning the programs while nothing runs.
        record_bytes: Journal bytes of all records.
        snapshot_seconds: Processor time to build and encode a snapshot of all.
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
class NoDirectory:
    """A directory without targets."""

    def list_targets(self, service: str) -> list[Instance]:
        """Returns no target."""
        return []

    def find_instance(self, instance: InstanceId) -> Instance | None:
        """Finds none."""
        return None


def build_records(number: int, *, turns: int, history: bool) -> list[Record]:
    """Returns the records of one program."""
    program = ProgramId(f"program-{number:08d}")
    mode = HistoryMode.OWNER if history else HistoryMode.CALLER
    budget = Budget(tokens=10_000_000, calls=1000, seconds=86_400.0)
    found: list[Record] = [
        ProgramBegun(TEAM, program, "probe", time.time(), budget, history=mode)
    ]
    for turn in range(1, turns + 1):
        answer = f"{number}-{turn} ".ljust(ANSWER_CHARACTERS, "x")
        question = f"{turn} ".ljust(QUESTION_CHARACTERS, "q")
        turns_kept = [Message("user", question), Message("assistant", answer)]
        found.append(
            CallEnded(
                TEAM,
                program,
                turn,
                f"{number:016x}",
                f"1.1.{number:x}.{turn}.1",
                TARGET,
                msgspec.Raw(msgspec.json.encode(answer)),
                usage=TokenUsage(prompt_tokens=50, completion_tokens=200),
                messages=turns_kept if history else [],
                prompt_messages=2 * turn,
                prompt_hash=f"{number:016x}",
            )
        )
    return found


def fill_shards(programs: int, *, turns: int, history: bool) -> list[OwnedShard]:
    """Returns shards with open programs, as replay from a journal leaves them."""
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
        directory=NoDirectory(),
        list_shards=lambda: shards,
    )
    with trio.move_on_after(RUN_SECONDS):
        started = time.process_time()
        await releaser.run()
    return 100 * (time.process_time() - started) / RUN_SECONDS


def measure(programs: int, *, turns: int, history: bool) -> ProgramsCost:
    """Returns the figures of one size."""
    before = read_usage(os.getpid()).resident_bytes
    shards = fill_shards(programs, turns=turns, history=history)
    resident = read_usage(os.getpid()).resident_bytes - before
    idle = trio.run(measure_idle, shards)
    started = time.process_time()
    snapshots = [msgspec.json.encode(build_snapshot(shard.state)) for shard in shards]
    built = time.process_time()
    for snapshot in snapshots:
        state = type(shards[0].state)()
        for record in msgspec.json.decode(snapshot, type=list[Record]):
            apply_record(record, state)
    replayed = time.process_time()
    sample = build_records(1, turns=turns, history=history)
    return ProgramsCost(
        resident_bytes=resident,
        idle_percent=idle,
        record_bytes=programs * len(msgspec.json.encode(sample)),
        snapshot_seconds=built - started,
        snapshot_bytes=sum(len(snapshot) for snapshot in snapshots),
        replay_seconds=replayed - built,
    )


def main(arguments: list[str]) -> None:
    """Prints the figures of one size as JSON."""
    cost = measure(_PROGRAMS.value, turns=_TURNS.value, history=_KEEP_HISTORY.value)
    print(msgspec.json.encode(cost).decode())


if __name__ == "__main__":
    app.run(main)
