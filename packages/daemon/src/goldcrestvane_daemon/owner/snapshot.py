"""Snapshots of a shard's state as records, for the compaction of its journal."""

from collections.abc import Iterator

import msgspec

from goldcrestvane_common.ids import get_program_depth
from goldcrestvane_common.messages import (
    Message,
)
from goldcrestvane_daemon.owner.records import (
    AllotmentSnapshot,
    AnswerSnapshot,
    HistorySnapshot,
    ProgramBegun,
    ProgramSnapshot,
    Record,
)
from goldcrestvane_daemon.owner.state import Program, ShardState

MAX_HISTORY_PART_BYTES = 128 * 1024


def prune_ended_programs(state: ShardState, *, before: float) -> None:
    """Removes program trees that have ended and whose engine memory is free.

    Args:
        state: State from which the programs are removed.
        before: Only programs that ended before this time are removed, in seconds since
            the epoch, UTC.
    """
    for key in list(state.programs):
        if get_program_depth(key[1]) > 0 or key not in state.programs:
            continue
        tree = state.list_tree(key)
        if all(_is_prunable(item, before) for item in tree):
            for item in tree:
                del state.programs[item.key]


def _is_prunable(program: Program, before: float) -> bool:
    return (
        program.ended_at is not None
        and program.ended_at < before
        and not program.sessions
        and not program.started_calls
    )


def build_snapshot(state: ShardState) -> list[Record]:
    """Returns records whose replay restores the state, with parents before children."""
    snapshot: list[Record] = []
    for program in sorted(state.programs.values(), key=lambda item: item.key):
        snapshot.append(_build_program(program))
        snapshot.extend(_split_history(program))
        snapshot.extend(AnswerSnapshot(ended) for ended in program.ended_calls.values())
        snapshot.extend(program.started_calls.values())
    for team, allotment in state.team_allotments.items():
        snapshot.append(
            AllotmentSnapshot(
                team=team,
                allotted_tokens=allotment.allotted_tokens,
                allotted_calls=allotment.allotted_calls,
                spent_tokens=allotment.spent_tokens,
                spent_calls=allotment.spent_calls,
            )
        )
    return snapshot


def _build_program(program: Program) -> ProgramSnapshot:
    team, program_id = program.key
    return ProgramSnapshot(
        begun=ProgramBegun(
            team=team,
            program=program_id,
            kind=program.kind,
            time=program.begun_at,
            budget=program.budget,
            priority=program.priority,
            history=program.history_mode,
        ),
        ended=program.ended_at,
        next_sequence=program.next_sequence,
        spent_tokens=program.spent_tokens,
        spent_calls=program.spent_calls,
        sessions=sorted(program.sessions),
        prompt_tokens=program.prompt_tokens,
        prompt_messages=program.prompt_messages,
        prompt_hash=program.prompt_hash,
    )


def _split_history(program: Program) -> Iterator[HistorySnapshot]:
    part: list[Message] = []
    size = 0
    for message in program.history:
        length = len(msgspec.json.encode(message))
        if part and size + length > MAX_HISTORY_PART_BYTES:
            yield HistorySnapshot(*program.key, part)
            part, size = [], 0
        part.append(message)
        size += length
    if part:
        yield HistorySnapshot(*program.key, part)
