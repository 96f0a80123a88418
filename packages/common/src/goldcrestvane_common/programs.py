"""Messages about programs: begin, end and state."""

from enum import Enum

import msgspec

from goldcrestvane_common.ids import Epoch, InstanceId, ProgramId, ShardId, TeamId
from goldcrestvane_common.messages import Message
from goldcrestvane_common.settings import Budget


class ProgramBeginRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Begins a program; the team's declared kind gives priority and budget.

    Attributes:
        team: Team of the program.
        program: Path id; the part before the last ``/`` is the parent.
        kind: Name of a program kind in the team's settings.
        budget: Tighter limits than the kind's, if any.
    """

    team: TeamId
    program: ProgramId
    kind: str
    budget: Budget = Budget()


class ProgramEndRequest(msgspec.Struct, frozen=True):
    """Ends a program and its sub-agents."""

    team: TeamId
    program: ProgramId


class ProgramShowRequest(msgspec.Struct, frozen=True):
    """Asks for the state of one program."""

    team: TeamId
    program: ProgramId


class ProgramState(Enum):
    """Whether a program takes calls."""

    OPEN = "open"
    ENDED = "ended"


class ProgramView(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of one program, for callers and operators."""

    team: TeamId
    program: ProgramId
    kind: str
    state: ProgramState
    owner: InstanceId
    shard: ShardId
    epoch: Epoch
    next_sequence: int
    budget: Budget = Budget()
    spent_tokens: int = 0
    spent_calls: int = 0
    turns: int = 0
    history: list[Message] = []
