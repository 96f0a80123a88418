"""Messages between frontends and members of the ledger, and among members."""

import msgspec

from goldcrestvane_common.ids import (
    CallId,
    DomainId,
    Epoch,
    InstanceId,
    ProgramId,
)
from goldcrestvane_daemon.ledger.view import View


class TokenCharge(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one turn: the most that it may generate, or what it did generate."""

    call: CallId
    tokens: int
    is_final: bool = False


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """What was said in one turn.

    Attributes:
        call: Id of the client's attempt.
        previous: The turn that it continues, if any.
        input: Body of the client's request.
        output: Data of the answer's events, each followed by a line feed.
        retention_seconds: How long it is kept after its last use.
    """

    call: CallId
    previous: CallId | None
    input: bytes
    output: bytes
    retention_seconds: float


class TokenAccount(msgspec.Struct, frozen=True, array_like=True):
    """The tokens of a program, or the part of them that one entry adds."""

    program: ProgramId
    charges: list[TokenCharge]
    retention_seconds: float


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One durable entry; each part may be missing."""

    account: TokenAccount | None = None
    turn: Turn | None = None


class Write(msgspec.Struct, frozen=True, tag="write", array_like=True):
    """Makes an entry durable, and asks for what is known of its program.

    Attributes:
        epoch: Epoch of the writer's view; an older one than the member's is refused.
        entry: The entry.
        return_chain_of: A turn whose chain to return.
    """

    epoch: Epoch
    entry: Entry
    return_chain_of: CallId | None = None


class ForwardWrite(msgspec.Struct, frozen=True, tag="pass_on", array_like=True):
    """Asks a member to write an entry and to have other members write it.

    Attributes:
        write: What each of them is to write.
        others: Addresses of the other members.
        quorum: Voting members that must have written it before the answer.
    """

    write: Write
    others: list[str]
    quorum: int


class ReadChain(msgspec.Struct, frozen=True, tag="chain", array_like=True):
    """Asks for a turn and the turns before it, as far as the member has them."""

    call: CallId


class PullEntries(msgspec.Struct, frozen=True, tag="pull", array_like=True):
    """A new member's request for entries; the peer adopts the view first."""

    view: View
    position: int = 0


class PushEntries(msgspec.Struct, frozen=True, tag="merge", array_like=True):
    """Entries that a leaving member hands over; the peer adopts the view first."""

    view: View
    entries: list[Entry]


class Frontend(msgspec.Struct, frozen=True, array_like=True):
    """A frontend that other frontends can reach."""

    address: str
    domain: DomainId


class Announce(msgspec.Struct, frozen=True, tag="announce", array_like=True):
    """A frontend tells where it is, and asks for others."""

    frontend: Frontend


class GetMemberState(msgspec.Struct, frozen=True, tag="state", array_like=True):
    """Asks a member for its state."""


Request = (
    Write
    | ForwardWrite
    | ReadChain
    | PullEntries
    | PushEntries
    | GetMemberState
    | Announce
)


class Written(msgspec.Struct, frozen=True, tag="written", array_like=True):
    """The entry is on disk.

    Attributes:
        votes: Whether the member counts towards quorums.
        account: The program's tokens, those of the entry included.
        chain: Turns of the chain that was asked for, newest first.
    """

    votes: bool
    account: TokenAccount | None = None
    chain: list[Turn] = []


class StaleView(msgspec.Struct, frozen=True, tag="stale", array_like=True):
    """Nothing was written: the writer's view is older than this one."""

    view: View


class ForwardResult(msgspec.Struct, frozen=True, tag="passed_on", array_like=True):
    """Answers of the members that an entry was passed on to, as far as they came."""

    answers: list[Written | StaleView]


class TurnChain(msgspec.Struct, frozen=True, tag="turns", array_like=True):
    """Turns of a chain, newest first."""

    votes: bool
    turns: list[Turn]


class EntryPage(msgspec.Struct, frozen=True, tag="page", array_like=True):
    """Some entries of a member; `next_position` is None after the last ones.

    Attributes:
        epoch: Epoch that the member has adopted.
        entries: The entries.
        next_position: Position of the next page.
    """

    epoch: Epoch
    entries: list[Entry]
    next_position: int | None


class EntriesMerged(msgspec.Struct, frozen=True, tag="merged", array_like=True):
    """The entries of a `PushEntries` are on disk."""


class Frontends(msgspec.Struct, frozen=True, tag="frontends", array_like=True):
    """Frontends that announced themselves lately."""

    frontends: list[Frontend]


class MemberState(msgspec.Struct, frozen=True, tag="member", array_like=True):
    """State of a member.

    Attributes:
        instance: Its machine.
        epoch: Epoch that it has adopted.
        votes: Whether it counts towards quorums.
        unreachable: Members that it cannot reach.
    """

    instance: InstanceId
    epoch: Epoch
    votes: bool
    unreachable: list[InstanceId]


class Failed(msgspec.Struct, frozen=True, tag="failed", array_like=True):
    """The member could not do what was asked; `reason` says why."""

    reason: str


Response = (
    Written
    | StaleView
    | ForwardResult
    | TurnChain
    | EntryPage
    | EntriesMerged
    | MemberState
    | Frontends
    | Failed
)
