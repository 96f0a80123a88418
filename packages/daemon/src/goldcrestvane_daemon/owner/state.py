"""State of the programs of one shard, built by applying journal records."""

from collections import OrderedDict
from dataclasses import dataclass, field
from functools import singledispatch
from typing import NamedTuple, final

from goldcrestvane_common.ids import InstanceId, ProgramId, TeamId, get_parent_program
from goldcrestvane_common.messages import (
    Message,
)
from goldcrestvane_common.programs import (
    ProgramState,
)
from goldcrestvane_common.settings import Budget, HistoryMode, Priority
from goldcrestvane_daemon.owner.records import (
    AllotmentSnapshot,
    AnswerSnapshot,
    CallEnded,
    CallRolledBack,
    CallStarted,
    HistorySnapshot,
    ProgramBegun,
    ProgramEnded,
    ProgramSnapshot,
    Record,
    SessionsReleased,
    TeamAllotted,
)

MAX_STORED_ENDED_CALLS = 64

ProgramKey = tuple[TeamId, ProgramId]


class CachedPrefix(NamedTuple):
    """Location of the cached prefix of a program's latest prompt.

    Attributes:
        instance: Instance beside the engine that processed the prompt.
        tokens: Number of tokens of the prompt and its answer.
    """

    instance: InstanceId
    tokens: int


@final
@dataclass
class Program:
    """State of one program.

    Attributes:
        key: Team and path ID.
        kind: Kind declared by the team.
        begun_at: Start time in seconds since the epoch, UTC.
        budget: Limits of the program including its sub-agents.
        priority: Scheduling class.
        history_mode: Whether the caller or the owner supplies the earlier turns.
        state: Whether the program is open or ended.
        ended_at: End time in seconds since the epoch, UTC; None while it is open.
        next_sequence: Sequence number of the only call that may start now.
        started_calls: Calls that have started and not ended, by sequence.
        ended_calls: Most recently ended calls, by sequence.
        history: Messages of all turns, including the answers.
        spent_tokens: Tokens used by the program and its sub-agents.
        spent_calls: Ended calls of the program and its sub-agents.
        reserved_tokens: Tokens that their started calls have reserved.
        reserved_calls: Number of their started calls.
        children: IDs of the direct sub-agents.
        sessions: Instances beside engines that may have cached its prefixes.
        prompt_tokens: Number of tokens of the latest prompt and its answer.
        prompt_messages: Number of messages that these tokens cover.
        prompt_hash: Hash of these messages.
        cached_prefix: Location of their cached prefix. Snapshots do not contain it, so
            it is None after a compaction and takeover.
    """

    key: ProgramKey
    kind: str
    begun_at: float
    budget: Budget = field(default_factory=Budget)
    priority: Priority = Priority.STANDARD
    history_mode: HistoryMode = HistoryMode.CALLER
    state: ProgramState = ProgramState.OPEN
    ended_at: float | None = None
    next_sequence: int = 1
    started_calls: dict[int, CallStarted] = field(default_factory=dict)
    ended_calls: OrderedDict[int, CallEnded] = field(default_factory=OrderedDict)
    history: list[Message] = field(default_factory=list)
    spent_tokens: int = 0
    spent_calls: int = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0
    children: set[ProgramId] = field(default_factory=set)
    sessions: set[InstanceId] = field(default_factory=set)
    prompt_tokens: int = 0
    prompt_messages: int = 0
    prompt_hash: str = ""
    cached_prefix: CachedPrefix | None = None

    @property
    def is_open(self) -> bool:
        """Whether the program accepts calls."""
        return self.state is ProgramState.OPEN


@final
@dataclass
class TeamAllotment:
    """A shard's share of the budget of one team, and its use of that share."""

    allotted_tokens: int = 0
    allotted_calls: int = 0
    spent_tokens: int = 0
    spent_calls: int = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0


@final
@dataclass
class ShardState:
    """Programs and team allotments of one shard."""

    programs: dict[ProgramKey, Program] = field(default_factory=dict)
    team_allotments: dict[TeamId, TeamAllotment] = field(default_factory=dict)

    def get_team_allotment(self, team: TeamId) -> TeamAllotment:
        """Returns the allotment of a team and creates it if it does not exist."""
        return self.team_allotments.setdefault(team, TeamAllotment())

    def count_open(self) -> int:
        """Returns the number of open programs."""
        return sum(program.is_open for program in self.programs.values())

    def list_tree(self, key: ProgramKey) -> list[Program]:
        """Returns a program and all its sub-agents, parents first."""
        team, _ = key
        found = [self.programs[key]] if key in self.programs else []
        for program in found:
            found.extend(self.programs[team, child] for child in program.children)
        return found

    def list_ancestors(self, key: ProgramKey) -> list[Program]:
        """Returns a program and its ancestors, starting with the program."""
        team, program = key
        found: list[Program] = []
        current: ProgramId | None = program
        while current is not None:
            item = self.programs.get((team, current))
            if item is not None:
                found.append(item)
            current = get_parent_program(current)
        return found


@singledispatch
def apply_record(record: Record, state: ShardState) -> None:
    """Applies a journal record to the state of a shard."""
    raise TypeError(f"Expected a journal record, but got {type(record).__name__}.")


@apply_record.register
def _(record: ProgramBegun, state: ShardState) -> None:
    key = (record.team, record.program)
    state.programs[key] = Program(
        key=key,
        kind=record.kind,
        begun_at=record.time,
        budget=record.budget,
        priority=record.priority,
        history_mode=record.history,
    )
    parent = get_parent_program(record.program)
    if parent is not None:
        state.programs[record.team, parent].children.add(record.program)


@apply_record.register
def _(record: CallStarted, state: ShardState) -> None:
    program = state.programs[record.team, record.program]
    _release_reservation(state, program, record.sequence)
    program.started_calls[record.sequence] = record
    if record.reserved_tokens:
        program.sessions.add(record.target)
    _reserve(state, program, tokens=record.reserved_tokens, calls=1)


@apply_record.register
def _(record: CallRolledBack, state: ShardState) -> None:
    program = state.programs[record.team, record.program]
    _release_reservation(state, program, record.sequence)
    _charge(state, program, tokens=record.spent_tokens, calls=0)


@apply_record.register
def _(record: CallEnded, state: ShardState) -> None:
    program = state.programs[record.team, record.program]
    _release_reservation(state, program, record.sequence)
    program.ended_calls[record.sequence] = record
    while len(program.ended_calls) > MAX_STORED_ENDED_CALLS:
        program.ended_calls.popitem(last=False)
    program.next_sequence = max(program.next_sequence, record.sequence + 1)
    _extend_history(program, record)
    _charge(state, program, tokens=record.usage.total, calls=1 if record.call else 0)


def _extend_history(program: Program, record: CallEnded) -> None:
    if record.prompt_messages == 0:
        return
    program.history.extend(record.messages)
    program.prompt_tokens = record.usage.total
    program.prompt_messages = record.prompt_messages
    program.prompt_hash = record.prompt_hash
    program.cached_prefix = CachedPrefix(record.target, record.usage.total)


def _reserve(state: ShardState, program: Program, *, tokens: int, calls: int) -> None:
    for item in state.list_ancestors(program.key):
        item.reserved_tokens += tokens
        item.reserved_calls += calls
    allotment = state.get_team_allotment(program.key[0])
    allotment.reserved_tokens += tokens
    allotment.reserved_calls += calls


def _release_reservation(state: ShardState, program: Program, sequence: int) -> None:
    started = program.started_calls.pop(sequence, None)
    if started is not None:
        _reserve(state, program, tokens=-started.reserved_tokens, calls=-1)


def _charge(state: ShardState, program: Program, *, tokens: int, calls: int) -> None:
    for item in state.list_ancestors(program.key):
        item.spent_tokens += tokens
        item.spent_calls += calls
    allotment = state.get_team_allotment(program.key[0])
    allotment.spent_tokens += tokens
    allotment.spent_calls += calls


@apply_record.register
def _(record: ProgramEnded, state: ShardState) -> None:
    for program in state.list_tree((record.team, record.program)):
        program.state = ProgramState.ENDED
        program.ended_at = record.time if program.ended_at is None else program.ended_at


@apply_record.register
def _(record: SessionsReleased, state: ShardState) -> None:
    program = state.programs[record.team, record.program]
    program.sessions.clear()


@apply_record.register
def _(record: TeamAllotted, state: ShardState) -> None:
    allotment = state.get_team_allotment(record.team)
    allotment.allotted_tokens += record.tokens
    allotment.allotted_calls += record.calls


@apply_record.register
def _(record: ProgramSnapshot, state: ShardState) -> None:
    apply_record(record.begun, state)
    program = state.programs[record.begun.team, record.begun.program]
    program.ended_at = record.ended
    if record.ended is not None:
        program.state = ProgramState.ENDED
    program.next_sequence = record.next_sequence
    program.spent_tokens = record.spent_tokens
    program.spent_calls = record.spent_calls
    program.sessions = set(record.sessions)
    program.prompt_tokens = record.prompt_tokens
    program.prompt_messages = record.prompt_messages
    program.prompt_hash = record.prompt_hash


@apply_record.register
def _(record: HistorySnapshot, state: ShardState) -> None:
    state.programs[record.team, record.program].history.extend(record.messages)


@apply_record.register
def _(record: AnswerSnapshot, state: ShardState) -> None:
    ended = record.ended
    program = state.programs[ended.team, ended.program]
    program.ended_calls[ended.sequence] = ended


@apply_record.register
def _(record: AllotmentSnapshot, state: ShardState) -> None:
    allotment = state.get_team_allotment(record.team)
    allotment.allotted_tokens = record.allotted_tokens
    allotment.allotted_calls = record.allotted_calls
    allotment.spent_tokens = record.spent_tokens
    allotment.spent_calls = record.spent_calls
