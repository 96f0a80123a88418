"""Messages between frontends and ledger members, and between members."""

from typing import Annotated
from urllib.parse import quote

import msgspec

from goldcrestvane_common.ids import (
    AccountId,
    CallId,
    DomainId,
    Epoch,
    InstanceId,
    ProgramId,
    ServiceId,
    StreamOrigin,
)
from goldcrestvane_daemon.accounts.quota_items import QuotaGrant, QuotaItem
from goldcrestvane_daemon.ledger.observations import TargetObservation
from goldcrestvane_daemon.ledger.stream_outputs import Mark
from goldcrestvane_daemon.ledger.view import PartitionId, View, get_partition

ENTRY_BYTES = 100
CHARGE_BYTES = 60
"""Typical sizes of an encoded entry without its turn, and of a charge."""

NO_EVENT = -1
"""Stands for the id of an event where there is none; ids are not negative."""

Retention = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
"""Seconds for which an entry is kept. A message with another value cannot be decoded: NaN or
infinity on the disk would end its member, also at each start."""


class TokenCharge(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that one turn charges to its program.

    Attributes:
        call: Id of the client's attempt.
        tokens: Tokens that the turn generated, or may generate at most until then.
        is_final: Whether `tokens` is the number that the turn generated.
        origin: Origin of the turn's stream; empty if unknown.
        origin_changes: Number of times that the origin was replaced, because a target
            failed before the first event.
        resumes: Attempt that brought the first event of the stream that the turn continues;
            empty if it continues none, or does not need to be known.
        takeover: Number of this attempt among those that continued the stream, from 1; 0
            until it is known.
        continues_after: Id of the event after which this attempt continued the stream;
            `NO_EVENT` until it is known, and in charges of earlier versions.
    """

    call: CallId
    tokens: int
    is_final: bool = False
    origin: StreamOrigin = StreamOrigin("")
    origin_changes: int = 0
    resumes: CallId = CallId("")
    takeover: int = 0
    continues_after: int = NO_EVENT

    def supersedes(self, known: "TokenCharge | None") -> bool:
        """Returns whether this charge replaces a known one, in any order of arrival."""
        if known is None:
            return True
        if known.is_final or self.is_final:
            return not known.is_final
        changes = self.origin_changes, self.takeover
        return changes >= (known.origin_changes, known.takeover)


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """Request and response of one turn.

    Attributes:
        call: Id of the client's attempt.
        previous: Preceding turn; None for the first one.
        input: Body of the client's request.
        output: Data of the response's events, each followed by a line feed.
        retention_seconds: Time for which the turn is kept after its last use.
        account: Account that sent the turn; empty if it had none.
        target: Target that ran the turn; empty if unknown.
    """

    call: CallId
    previous: CallId | None
    input: bytes
    output: bytes
    retention_seconds: Retention
    account: AccountId = AccountId("")
    target: InstanceId = InstanceId("")


def build_program_key(account: AccountId | None, program: ProgramId) -> ProgramId:
    """Returns the id under which the ledger has the tokens of an account's program.

    Two accounts never share an id, nor do an account and a caller without one: the part
    before the first slash is the encoded name of the account, or empty without an account.
    """
    if account is not None:
        return ProgramId(f"{quote(account, safe='')}/{program}")
    return ProgramId(f"/{program}") if "/" in program else program


class TokenAccount(msgspec.Struct, frozen=True, array_like=True):
    """Token charges of a program, either all of them or those of one entry.

    Attributes:
        program: Id of the program in the ledger, see `build_program_key`.
        charges: The charges.
        retention_seconds: Time for which they are kept after the last one.
    """

    program: ProgramId
    charges: list[TokenCharge]
    retention_seconds: Retention


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One durable entry, with an account, a turn or both."""

    account: TokenAccount | None = None
    turn: Turn | None = None

    @property
    def size(self) -> int:
        """Approximate size in bytes."""
        charges = self.account.charges if self.account else ()
        size = ENTRY_BYTES + CHARGE_BYTES * len(charges)
        return size + (len(self.turn.input) + len(self.turn.output) if self.turn else 0)

    def list_partitions(self) -> list[PartitionId]:
        """Returns the partitions of the account and of the turn."""
        keys = (
            self.account.program if self.account else None,
            self.turn.call if self.turn else None,
        )
        return [get_partition(key) for key in keys if key is not None]


class ViewStamp(msgspec.Struct, frozen=True, array_like=True):
    """Identifies the view of the sender of a request.

    Attributes:
        epoch: Epoch of the view. Members with a newer view reject the request.
        resizes: Number of changes up to the view that added or removed a slot.
    """

    epoch: Epoch
    resizes: int


def get_stamp(view: View) -> ViewStamp:
    """Returns the stamp of a view."""
    return ViewStamp(view.epoch, view.resizes)


class Write(msgspec.Struct, frozen=True, tag="write", array_like=True):
    """Writes an entry and requests the token account of its program.

    Attributes:
        stamp: View of the writer.
        entry: Entry to write.
        return_chain_of: Turn whose chain the response includes, if any.
    """

    stamp: ViewStamp
    entry: Entry
    return_chain_of: CallId | None = None


class ForwardWrite(msgspec.Struct, frozen=True, tag="pass_on", array_like=True):
    """Asks a member to write an entry and forward the write to other members.

    Attributes:
        write: Write for each of the members.
        others: Addresses of the other members.
        quorum: Voting members that must have the entry on disk before the response.
    """

    write: Write
    others: list[str]
    quorum: int


class RenewTurns(msgspec.Struct, frozen=True, tag="renew", array_like=True):
    """Extends the retention of turns that a chain continues.

    Attributes:
        stamp: View of the sender.
        calls: The turns.
        retention_seconds: Time for which they are kept from now on at least.
    """

    stamp: ViewStamp
    calls: list[CallId]
    retention_seconds: Retention


class ReadChain(msgspec.Struct, frozen=True, tag="chain", array_like=True):
    """Requests a turn and the preceding turns that the member has.

    Attributes:
        stamp: View of the reader.
        call: The turn.
        room_bytes: Memory that the reader has for the turns; None if it has no bound. The
            response may have less.
    """

    stamp: ViewStamp
    call: CallId
    room_bytes: int | None = None


class ExtendOutput(msgspec.Struct, frozen=True, tag="extend_output", array_like=True):
    """Adds a part to the output of a turn that runs.

    Attributes:
        call: Id of the client's attempt.
        start: Position of the part in the output.
        data: The part.
        marks: Its marks.
    """

    call: CallId
    start: int
    data: bytes
    marks: list[Mark]


class ReadOutput(msgspec.Struct, frozen=True, tag="read_output", array_like=True):
    """Reads the output of a turn that ran until the end of an event.

    Attributes:
        call: Id of the client's attempt.
        event: Id of the event.
    """

    call: CallId
    event: int


class PullEntries(msgspec.Struct, frozen=True, tag="pull", array_like=True):
    """Requests the entries of partitions; the peer adopts the view first.

    Attributes:
        view: View of the member that copies the partitions.
        partitions: The partitions. The response covers the first ones.
        resume_after: Where the previous page ended within the first partition, if so.
    """

    view: View
    partitions: list[PartitionId]
    resume_after: str | None = None


class PushEntries(msgspec.Struct, frozen=True, tag="merge", array_like=True):
    """Entries that a leaving member copies to a peer, which adopts the view first."""

    view: View
    entries: list[Entry]


class Frontend(msgspec.Struct, frozen=True, array_like=True):
    """Address and failure domain of a frontend."""

    address: str
    domain: DomainId


class Announce(msgspec.Struct, frozen=True, tag="announce", array_like=True):
    """Announces a frontend and requests a list of other frontends.

    Attributes:
        frontend: The frontend.
        epoch: Epoch of its view; 0 if it knows none.
    """

    frontend: Frontend
    epoch: Epoch = Epoch(0)


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit that a target states in its responses.

    Attributes:
        target: The start of the target.
        rate: Calls per second from all callers together; None if it states no limit.
        age_seconds: Time since the response that stated this.
    """

    target: str
    rate: float | None
    age_seconds: float


class AcquirePermit(msgspec.Struct, frozen=True, tag="permit", array_like=True):
    """Requests a permit for one call to a target with a rate limit.

    Attributes:
        limit: Limit of the target as the sender knows it.
        max_wait_seconds: Time for which the call may wait for its permit.
    """

    limit: RateLimit
    max_wait_seconds: float = 0.0


class ReportLimit(msgspec.Struct, frozen=True, tag="limit", array_like=True):
    """Reports that a target states another rate limit than before."""

    limit: RateLimit


class ExchangeObservations(msgspec.Struct, frozen=True, tag="observe", array_like=True):
    """Tells what a frontend observed of a service's targets and requests the same.

    Attributes:
        service: The service.
        observations: What the frontend itself observed since its last message.
        frontend: Address of the frontend.
        start: Start of the member that sent `sequence`; 0 if none did.
        sequence: Number of the newest observation that the frontend has.
    """

    service: ServiceId
    observations: list[TargetObservation]
    frontend: str
    start: int = 0
    sequence: int = 0


class AcquireQuota(msgspec.Struct, frozen=True, tag="quota", array_like=True):
    """Requests tokens for attempts of accounts, and reports the use of earlier ones."""

    items: list[QuotaItem]


class GetMemberState(msgspec.Struct, frozen=True, tag="state", array_like=True):
    """Requests the state of a member."""


Request = (
    Write
    | ForwardWrite
    | RenewTurns
    | ReadChain
    | ExtendOutput
    | ReadOutput
    | PullEntries
    | PushEntries
    | GetMemberState
    | Announce
    | AcquirePermit
    | ReportLimit
    | ExchangeObservations
    | AcquireQuota
)


class Written(msgspec.Struct, frozen=True, tag="written", array_like=True):
    """The entry is on disk.

    Attributes:
        votes: Whether the member counts towards the quorum of this write.
        account: Token account of the program, including the entry.
        chain: Turns of the requested chain, newest first; empty if they are large.
        accepts_turns: Whether the member has room for the turns that begin now.
        chain_bytes: Size of the requested chain as far as the member has it.
    """

    votes: bool
    account: TokenAccount | None = None
    chain: list[Turn] = []
    accepts_turns: bool = True
    chain_bytes: int = 0


class StaleView(msgspec.Struct, frozen=True, tag="stale", array_like=True):
    """The request was rejected because the sender's view is older than this one."""

    view: View


class TurnsRenewed(msgspec.Struct, frozen=True, tag="renewed", array_like=True):
    """The extended retention is on disk.

    Attributes:
        renewed: Turns that the member has, of partitions that it votes for.
        missing: Turns of these partitions that the member does not have.
    """

    renewed: list[CallId]
    missing: list[CallId]


class ForwardResult(msgspec.Struct, frozen=True, tag="passed_on", array_like=True):
    """Responses of the members to a forwarded write, as far as they have arrived."""

    answers: list[Written | StaleView]


class TurnChain(msgspec.Struct, frozen=True, tag="turns", array_like=True):
    """Turns of a chain, newest first.

    Attributes:
        votes: Whether the member counts towards the quorum of this read.
        turns: The turns; empty if the first one exceeds the room of the reader.
        chain_bytes: Size of the chain as far as the member has it, the turns included.
    """

    votes: bool
    turns: list[Turn]
    chain_bytes: int = 0


class OutputExtended(
    msgspec.Struct, frozen=True, tag="output_extended", array_like=True
):
    """The member has the output up to a size; a part behind it was not added."""

    size: int


class OutputFound(msgspec.Struct, frozen=True, tag="output", array_like=True):
    """Output up to the end of the event; None if the member does not have it."""

    data: bytes | None


class EntryPage(msgspec.Struct, frozen=True, tag="page", array_like=True):
    """Entries of the first requested partitions.

    Attributes:
        entries: The entries.
        covered: Partitions whose entries are all in this response.
        complete: Covered partitions of which the member has every durable entry.
        resume_after: Where the page ends within the next partition, if so.
    """

    entries: list[Entry]
    covered: list[PartitionId]
    complete: list[PartitionId]
    resume_after: str | None = None


class EntriesMerged(msgspec.Struct, frozen=True, tag="merged", array_like=True):
    """The entries of a `PushEntries` are on disk."""


class Frontends(msgspec.Struct, frozen=True, tag="frontends", array_like=True):
    """Frontends that announced themselves recently.

    Attributes:
        frontends: The frontends.
        view: The member's view if it is newer than that of the announced frontend.
        limits: Rate limits of targets that frontends have named to this member.
    """

    frontends: list[Frontend]
    view: View | None = None
    limits: list[RateLimit] = []


class Permit(msgspec.Struct, frozen=True, tag="permitted", array_like=True):
    """Answers a request for a permit, or a report.

    Attributes:
        limit: Newest known limit of the target.
        wait_seconds: Time after which the call may be sent; None if it may not be sent.
        retry_seconds: Time after which to ask again if the call may not be sent.
    """

    limit: RateLimit
    wait_seconds: float | None = 0.0
    retry_seconds: float = 0.0


class ObservationsShared(msgspec.Struct, frozen=True, tag="observed", array_like=True):
    """What other frontends observed since the frontend's last message.

    Attributes:
        observations: The observations.
        interval_seconds: Time after which the frontend sends its next message.
        start: This start of the member.
        sequence: Number of the newest observation.
    """

    observations: list[TargetObservation]
    interval_seconds: float
    start: int
    sequence: int


class QuotaGrants(msgspec.Struct, frozen=True, tag="quotas", array_like=True):
    """Tokens granted for each item of a request."""

    items: list[QuotaGrant]


class MemberState(msgspec.Struct, frozen=True, tag="member", array_like=True):
    """State of a member.

    Attributes:
        instance: Name of the member's machine.
        epoch: Epoch of the member's view.
        synced: Whether its disk is recorded to have all entries of its partitions.
        unreachable: Members that this member cannot reach.
        confirmed_age: Seconds since the member's view is known to have been the newest;
            None if it never was.
    """

    instance: InstanceId
    epoch: Epoch
    synced: bool
    unreachable: list[InstanceId]
    confirmed_age: float | None = None


class Failed(msgspec.Struct, frozen=True, tag="failed", array_like=True):
    """The member failed to process the request for the given reason."""

    reason: str


Response = (
    Written
    | StaleView
    | TurnsRenewed
    | ForwardResult
    | TurnChain
    | OutputExtended
    | OutputFound
    | EntryPage
    | EntriesMerged
    | MemberState
    | Frontends
    | Permit
    | ObservationsShared
    | QuotaGrants
    | Failed
)
