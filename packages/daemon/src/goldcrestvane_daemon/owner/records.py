"""Journal records: what must survive the owner of a shard.

Replaying the records of a shard in order gives its state (`owner.state`).
"""

import msgspec

from goldcrestvane_common.errors import ErrorBody
from goldcrestvane_common.ids import CallId, InstanceId, ProgramId, TeamId
from goldcrestvane_common.messages import (
    Message,
    TokenUsage,
)
from goldcrestvane_common.settings import Budget, HistoryMode, Priority


class ProgramBegun(msgspec.Struct, frozen=True, omit_defaults=True, tag="begun"):
    """A program takes calls from now on.

    Attributes:
        team: Team of the program.
        program: Path id of the program.
        kind: Kind declared in the team's settings.
        time: Seconds since the epoch, UTC.
        budget: Limits in force for this program.
        priority: Scheduling class.
        history: Who sends the earlier turns.
    """

    team: TeamId
    program: ProgramId
    kind: str
    time: float
    budget: Budget = Budget()
    priority: Priority = Priority.STANDARD
    history: HistoryMode = HistoryMode.CALLER


class CallStarted(msgspec.Struct, frozen=True, omit_defaults=True, tag="started"):
    """A call is about to be sent to a target; the claim of one that may run once.

    Attributes:
        team: Team of the program.
        program: Program that issued the call.
        sequence: Position among the program's calls.
        request_hash: Hash of the request; a repeated call must have the same.
        call: Id of the attempt.
        target: Instance beside the chosen target.
        incarnation: Incarnation of that instance.
        reserved_tokens: Tokens held against the budgets until the call ends.
        once: Whether the call must not be run again when its outcome is lost.
    """

    team: TeamId
    program: ProgramId
    sequence: int
    request_hash: str
    call: CallId
    target: InstanceId
    incarnation: str
    reserved_tokens: int = 0
    once: bool = False


class CallRolledBack(msgspec.Struct, frozen=True, omit_defaults=True, tag="released"):
    """A started call provably did not run, or may run again; its number is free.

    Attributes:
        team: Team of the program.
        program: Program that issued the call.
        sequence: Position among the program's calls.
        spent_tokens: Tokens charged for the attempt.
    """

    team: TeamId
    program: ProgramId
    sequence: int
    spent_tokens: int = 0


class CallEnded(msgspec.Struct, frozen=True, omit_defaults=True, tag="ended"):
    """A call has an answer, or is known to stay without one.

    Attributes:
        team: Team of the program.
        program: Program that issued the call.
        sequence: Position among the program's calls.
        request_hash: Hash of the request.
        call: Id of the attempt that gave the answer.
        target: Instance beside the target that ran it.
        answer: The answer's JSON; absent when the outcome is unknown.
        error: Why there is no answer.
        usage: Tokens taken.
        finish_reason: Why the answer ended.
        messages: The caller's messages and the answer, when the owner keeps the history.
        prompt_messages: Number of messages that `usage` covers, the answer included.
        prompt_hash: Hash of these messages.
    """

    team: TeamId
    program: ProgramId
    sequence: int
    request_hash: str
    call: CallId
    target: InstanceId
    answer: msgspec.Raw = msgspec.Raw(b"null")
    error: ErrorBody | None = None
    usage: TokenUsage = TokenUsage()
    finish_reason: str = "stop"
    messages: list[Message] = []
    prompt_messages: int = 0
    prompt_hash: str = ""


class ProgramEnded(msgspec.Struct, frozen=True, omit_defaults=True, tag="closed"):
    """A program and its sub-agents take no more calls.

    Attributes:
        team: Team of the program.
        program: The program.
        time: Seconds since the epoch, UTC.
        reason: ``caller``, or the budget that ended it.
    """

    team: TeamId
    program: ProgramId
    time: float
    reason: str = ""


class SessionsReleased(msgspec.Struct, frozen=True, tag="freed"):
    """The engines hold no memory of an ended program any more."""

    team: TeamId
    program: ProgramId


class TeamAllotted(msgspec.Struct, frozen=True, omit_defaults=True, tag="allotted"):
    """The shard may spend this much more of a team's budget."""

    team: TeamId
    tokens: int = 0
    calls: int = 0


class ProgramSnapshot(msgspec.Struct, frozen=True, omit_defaults=True, tag="program"):
    """All of a program but its history and its calls; written by a compaction.

    Attributes:
        begun: How the program began.
        ended: When it ended; None while it is open.
        next_sequence: The only call that may start.
        spent_tokens: Tokens taken by the program and its sub-agents.
        spent_calls: Calls ended by the program and its sub-agents.
        sessions: Instances beside engines that may hold its prefixes.
        prompt_tokens: Tokens of the latest prompt with its answer.
        prompt_messages: Number of messages that these tokens cover.
        prompt_hash: Hash of these messages.
    """

    begun: ProgramBegun
    ended: float | None = None
    next_sequence: int = 1
    spent_tokens: int = 0
    spent_calls: int = 0
    sessions: list[InstanceId] = []
    prompt_tokens: int = 0
    prompt_messages: int = 0
    prompt_hash: str = ""


class HistorySnapshot(msgspec.Struct, frozen=True, tag="history"):
    """Some messages of a program's history, in order; written by a compaction."""

    team: TeamId
    program: ProgramId
    messages: list[Message]


class AnswerSnapshot(msgspec.Struct, frozen=True, tag="answer"):
    """The end of a call that may be asked for again; written by a compaction."""

    ended: CallEnded


class AllotmentSnapshot(msgspec.Struct, frozen=True, omit_defaults=True, tag="account"):
    """A team's account in the shard; written by a compaction."""

    team: TeamId
    allotted_tokens: int = 0
    allotted_calls: int = 0
    spent_tokens: int = 0
    spent_calls: int = 0


Record = (
    ProgramBegun
    | CallStarted
    | CallRolledBack
    | CallEnded
    | ProgramEnded
    | SessionsReleased
    | TeamAllotted
    | ProgramSnapshot
    | HistorySnapshot
    | AnswerSnapshot
    | AllotmentSnapshot
)
