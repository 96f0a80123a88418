"""Messages between entries, owners and the sidecars beside targets."""

from enum import Enum
from typing import Any

import msgspec

from goldcrestvane_common.errors import ErrorBody
from goldcrestvane_common.ids import (
    CallId,
    DomainId,
    Epoch,
    Fingerprint,
    InstanceId,
    ProgramId,
    ServiceId,
    ShardId,
    TeamId,
    Version,
)
from goldcrestvane_common.settings import Priority, ServiceKind


class Role(Enum):
    """What a process does."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class InstanceState(Enum):
    """Whether an instance takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True, omit_defaults=True):
    """One process of the system, as the platform's instance list gives it.

    Attributes:
        instance: Unique id of this process.
        role: Entry or sidecar.
        address: ``host:port`` of the process.
        domain: Failure domain.
        state: Live or leaving.
        service: Service of the target beside a sidecar.
    """

    instance: InstanceId
    role: Role
    address: str
    domain: DomainId
    state: InstanceState = InstanceState.LIVE
    service: ServiceId | None = None


class InstanceList(msgspec.Struct, frozen=True):
    """Answer of the platform's instance list."""

    instances: list[Instance]


class TokenUsage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tokens that a model call took; zero for a tool call."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0

    @property
    def total(self) -> int:
        """Tokens charged to budgets."""
        return self.prompt_tokens + self.completion_tokens


class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    role: str
    content: str


class ModelRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a model call asks for."""

    messages: list[Message]
    max_tokens: int = 256


class StreamPosition(msgspec.Struct, frozen=True):
    """Where a broken stream is taken up again.

    Attributes:
        target: Instance beside the engine that runs the stream.
        stream_id: The stream's id at the engine.
        offset: Characters of the answer that the caller has already.
    """

    target: InstanceId
    stream_id: str
    offset: int


class CallRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A call that an entry passes to the owner of the program's shard.

    Attributes:
        team: Team of the program.
        program: Program that issues the call.
        sequence: Position among the program's calls, from 1.
        service: Service to call.
        kind: Model or tool.
        deadline_seconds: Time left for the whole call when the message was sent.
        operation: Operation of a tool; empty for a model.
        model: Body of a model call.
        tool: Body of a tool call, undecoded JSON.
        resume: Where to take up a stream that broke between owner and entry.
        abandoned: Highest sequence that the caller has given up; 0 for none.
    """

    team: TeamId
    program: ProgramId
    sequence: int
    service: ServiceId
    kind: ServiceKind
    deadline_seconds: float
    operation: str = ""
    model: ModelRequest | None = None
    tool: msgspec.Raw = msgspec.Raw(b"null")
    resume: StreamPosition | None = None
    abandoned: int = 0


class CallResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole answer.

    Attributes:
        value: The answer text of a model (a JSON string) or the tool's JSON.
        target: Instance beside the target that ran the call.
        owner: Instance that owns the program.
        usage: Tokens taken.
        replayed: Whether the answer comes from the record of an earlier attempt.
        finish_reason: Why the answer ended: ``stop``, or ``length`` when it was cut.
    """

    value: msgspec.Raw
    target: InstanceId
    owner: InstanceId
    usage: TokenUsage = TokenUsage()
    replayed: bool = False
    finish_reason: str = "stop"


class StreamHead(msgspec.Struct, frozen=True, tag="head"):
    """First frame of a streamed answer."""

    target: InstanceId
    owner: InstanceId
    stream_id: str
    replayed: bool = False


class StreamDelta(msgspec.Struct, frozen=True, tag="delta"):
    """Further text of a streamed answer.

    Attributes:
        offset: Characters of the answer before this frame.
        text: The next characters; several tokens may be joined.
    """

    offset: int
    text: str


class StreamEnd(msgspec.Struct, frozen=True, tag="end"):
    """Last frame of a whole answer; a stream without it is incomplete.

    Attributes:
        usage: Tokens taken.
        finish_reason: Why the answer ended: ``stop``, or ``length`` when it was cut.
        load: Load of the target, from its sidecar to the owner only.
        waited_seconds: Time that the call waited for a slot, to the owner only.
    """

    usage: TokenUsage
    finish_reason: str = "stop"
    load: "TargetLoad | None" = None
    waited_seconds: float | None = None


class StreamFailure(msgspec.Struct, frozen=True, tag="failure"):
    """Last frame of an answer that failed."""

    error: ErrorBody


StreamFrame = StreamHead | StreamDelta | StreamEnd | StreamFailure
"""Frames travel as JSON lines."""


class DispatchRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A call that an owner sends to the sidecar beside the chosen target.

    Attributes:
        call: Unique id of this attempt.
        incarnation: Incarnation of the sidecar that may run it; another one refuses.
        shard: Shard of the program.
        epoch: Epoch of the owner; an older one than the gate has seen is refused.
        team: Team of the program.
        program: Program that issued the call.
        service: Service to call.
        kind: Model or tool.
        deadline_seconds: Time left when the message was sent.
        priority: Scheduling class.
        attained_tokens: Service the whole program has had; less goes first.
        fingerprint: Hash of team and content; equal for a request sent again.
        idempotent: Whether the call may be sent to the target twice.
        alone: Whether the call must be the only one on its target.
        operation: Operation of a tool.
        model: Body of a model call.
        tool: Body of a tool call.
        resume_offset: Characters of the answer of `call` that were passed on already.
    """

    call: CallId
    incarnation: str
    shard: ShardId
    epoch: Epoch
    team: TeamId
    program: ProgramId
    service: ServiceId
    kind: ServiceKind
    deadline_seconds: float
    priority: Priority = Priority.STANDARD
    attained_tokens: int = 0
    fingerprint: Fingerprint = Fingerprint("")
    idempotent: bool = True
    alone: bool = False
    operation: str = ""
    model: ModelRequest | None = None
    tool: msgspec.Raw = msgspec.Raw(b"null")
    resume_offset: int = 0


class DispatchResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole answer of a target, with the target's load at that time.

    Attributes:
        value: The answer text of a model (a JSON string) or the tool's JSON.
        usage: Tokens taken.
        load: Load of the target at the end of the call, the call itself included.
        finish_reason: Why the answer ended: ``stop``, or ``length`` when it was cut.
        waited_seconds: Time that the call waited for a slot; None if unknown.
    """

    value: msgspec.Raw
    usage: TokenUsage = TokenUsage()
    load: "TargetLoad | None" = None
    finish_reason: str = "stop"
    waited_seconds: float | None = None


class CloseCallRequest(msgspec.Struct, frozen=True):
    """Asks a sidecar for the end of a call, and forbids it when it never came.

    Attributes:
        call: Id of the attempt.
        incarnation: Incarnation of the sidecar that the call was sent to.
    """

    call: CallId
    incarnation: str


class CloseCallResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to `CloseCallRequest`.

    Attributes:
        known: Whether the sidecar had the call; if not, it never runs it.
        answer: The whole answer of a call that ended well.
        error: Why a known call has no answer.
    """

    known: bool
    answer: DispatchResponse | None = None
    error: ErrorBody | None = None


class CancelCallRequest(msgspec.Struct, frozen=True):
    """Stops a repeatable call whose program has ended."""

    call: CallId


class ReleaseRequest(msgspec.Struct, frozen=True):
    """Frees what the engine keeps for an ended program.

    Attributes:
        team: Team of the program.
        program: The ended program.
        shard: Shard of the program.
        epoch: Epoch of the owner; the fencing number of the order.
    """

    team: TeamId
    program: ProgramId
    shard: ShardId
    epoch: Epoch


class FenceRequest(msgspec.Struct, frozen=True):
    """A shard's new epoch; calls of earlier owners are refused from now on."""

    shard: ShardId
    epoch: Epoch


class AdoptRequest(msgspec.Struct, frozen=True):
    """Asks a sidecar to take over a shard that its owner gives up."""

    shard: ShardId


class Accepted(msgspec.Struct, frozen=True):
    """Answer to an order that was carried out."""

    state: str = "accepted"


class PingResponse(msgspec.Struct, frozen=True):
    """Answer of `PING_PATH`.

    Attributes:
        instance: The process asked.
        incarnation: Changes with each start of the process.
        state: Live, or leaving after a drain order or a signal.
    """

    instance: InstanceId
    incarnation: str
    state: InstanceState


class TargetLoad(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load of one target, as its sidecar reports it.

    Attributes:
        running: Calls at the target.
        queued: Calls waiting at the sidecar.
        slots: Calls the target runs at a time.
        cached_tokens: Tokens in the engine's prefix cache.
        cache_capacity_tokens: Size of that cache.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    cached_tokens: int = 0
    cache_capacity_tokens: int = 0


class ShardOwner(msgspec.Struct, frozen=True, array_like=True):
    """Owner of one shard; the journal's head decides, this is for routing."""

    owner: InstanceId
    address: str
    epoch: Epoch


class ShardMap(msgspec.Struct, frozen=True):
    """Value of the object `SHARD_MAP_KEY`: the owner of each shard, None if none."""

    shards: list[ShardOwner | None]


class ProcessStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of `STATUS_PATH`: one process as it sees itself.

    Attributes:
        instance: This process.
        shards: Shards it owns.
        open_programs: Programs under way in those shards.
        load: Load of the target beside a sidecar.
        settings_versions: Version in force of each team's settings.
        in_flight: Requests being served.
    """

    instance: Instance
    shards: list[ShardId] = []
    open_programs: int = 0
    load: TargetLoad | None = None
    settings_versions: dict[TeamId, Version] = {}
    in_flight: int = 0


def encode_json(value: Any) -> bytes:
    """Returns a message as JSON."""
    return msgspec.json.encode(value)


def encode_json_line(value: Any) -> bytes:
    """Returns a message as one JSON line."""
    return msgspec.json.encode(value) + b"\n"
