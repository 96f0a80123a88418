"""Messages for beginning, ending and showing programs."""

from enum import Enum

import msgspec

from goldcrestvane_common.ids import Epoch, InstanceId, ProgramId, ShardId, TeamId
from goldcrestvane_common.messages import Message
from goldcrestvane_common.settings import Budget


class ProgramBeginRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Begins a program of a kind that the team's settings declare.

    Attributes:
        team: Team of the program.
        program: Path id; the part before the last ``/`` is the parent.
        kind: Name of the program kind, which determines priority and budget.
        budget: Limits that are tighter than those of the kind, if any.
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
    """Requests the state of one program."""

    team: TeamId
    program: ProgramId


class ProgramState(Enum):
    """Whether a program accepts calls."""

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
