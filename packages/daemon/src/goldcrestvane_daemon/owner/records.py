"""Journal records: the data of a shard that must survive the loss of its owner.

Replaying the records of a shard in order restores its state (`owner.state`).
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
    """A program has begun and accepts calls.

    Attributes:
        team: Team of the program.
        program: Path ID of the program.
        kind: Kind declared in the team's settings.
        time: Seconds since the epoch, UTC.
        budget: Limits that apply to this program.
        priority: Scheduling class.
        history: Whether the caller or the owner supplies the earlier turns.
    """

    team: TeamId
    program: ProgramId
    kind: str
    time: float
    budget: Budget = Budget()
    priority: Priority = Priority.STANDARD
    history: HistoryMode = HistoryMode.CALLER


class CallStarted(msgspec.Struct, frozen=True, omit_defaults=True, tag="started"):
    """A call is about to be sent to a target.

    For an at-most-once call, this record must be durable before the call is sent.

    Attributes:
        team: Team of the program.
        program: Program that issued the call.
        sequence: Position among the program's calls.
        request_hash: Hash of the request. A repeated call must have the same hash.
        call: ID of the attempt.
        target: Instance beside the chosen target.
        incarnation: Incarnation of that instance.
        reserved_tokens: Tokens reserved in the budgets until the call ends.
        once: Whether the call must not be run again if its outcome is unknown.
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
    """The start of a call was undone, and its sequence number is free again.

    Either the call certainly did not run, or it is repeatable.

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
    """A call has ended, with or without an answer.

    Attributes:
        team: Team of the program.
        program: Program that issued the call.
        sequence: Position among the program's calls.
        request_hash: Hash of the request.
        call: ID of the attempt that returned the answer.
        target: Instance beside the target that ran it.
        answer: Answer as JSON; null if there is none.
        error: Why there is no answer.
        usage: Tokens used.
        finish_reason: Why the answer ended.
        messages: The caller's messages and the answer, if the owner stores the history.
        prompt_messages: Number of messages that `usage` covers, including the answer.
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
    """A program and its sub-agents have ended and accept no more calls.

    Attributes:
        team: Team of the program.
        program: The program.
        time: Seconds since the epoch, UTC.
        reason: ``caller``, or the name of the exhausted budget.
    """

    team: TeamId
    program: ProgramId
    time: float
    reason: str = ""


class SessionsReleased(msgspec.Struct, frozen=True, tag="freed"):
    """The engines have freed their memory of an ended program."""

    team: TeamId
    program: ProgramId


class TeamAllotted(msgspec.Struct, frozen=True, omit_defaults=True, tag="allotted"):
    """The shard may spend this additional amount of a team's budget."""

    team: TeamId
    tokens: int = 0
    calls: int = 0


class ProgramSnapshot(msgspec.Struct, frozen=True, omit_defaults=True, tag="program"):
    """State of a program without its history and calls, written by a compaction.

    Attributes:
        begun: Record of the beginning of the program.
        ended: End time in seconds since the epoch, UTC; None while it is open.
        next_sequence: Sequence number of the only call that may start.
        spent_tokens: Tokens used by the program and its sub-agents.
        spent_calls: Ended calls of the program and its sub-agents.
        sessions: Instances beside engines that may have cached its prefixes.
        prompt_tokens: Number of tokens of the latest prompt and its answer.
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
    """Consecutive messages of a program's history, written by a compaction."""

    team: TeamId
    program: ProgramId
    messages: list[Message]


class AnswerSnapshot(msgspec.Struct, frozen=True, tag="answer"):
    """End of a call that may be repeated by its caller, written by a compaction."""

    ended: CallEnded


class AllotmentSnapshot(msgspec.Struct, frozen=True, omit_defaults=True, tag="account"):
    """A team's allotment in the shard, written by a compaction."""

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
