"""What clients and targets of a soak observe."""

import itertools
import math
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import AccountId, CallId, InstanceId, Version


class RequestKind(Enum):
    """Kinds of requests; the values are path prefixes."""

    LOOKUP = "get"
    """May run more than once."""

    POSTING = "once"
    """Runs at most once for each attempt."""

    TURN = "turn"
    """A stream that may be resumed."""

    PROBE = "probe"
    """A lookup on a route that a version of the configuration added."""

    ANONYMOUS = "open"
    """A lookup on a route that needs no key."""


class StreamedEvent(msgspec.Struct, frozen=True):
    """One event of a stream, as a client received it."""

    number: int
    software: str


class Attempt(msgspec.Struct, kw_only=True):
    """One attempt of a client at one start of a frontend.

    Attributes:
        call: Id of the attempt.
        kind: Kind of the request.
        frontend: Name of the frontend.
        start: Number of the frontend's start.
        began_at: Time just before the first byte was sent.
        sent_at: Time at which the last byte was sent.
        ended_at: Time of the end of the response or of the connection.
        status: Status of the response; 0 if there was none.
        whole: Whether the response was complete.
        body: Body of the response, except for streams.
        events: Events of a stream.
        version: Version that added the route of a probe.
        leaving: Target that said in the response that it leaves.
        limiting: Target that stated a rate limit in the response.
        stream: Attempt that began the stream that this one continues, or itself.
        program: Program of a turn.
        key: API key; None if the request has none.
        previous: Turn that the request names as its previous one.
    """

    call: CallId
    kind: RequestKind
    frontend: str
    start: int
    began_at: float = 0.0
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    body: bytes = b""
    events: list[StreamedEvent] = msgspec.field(default_factory=list)
    version: Version = Version(0)
    leaving: InstanceId | None = None
    limiting: InstanceId | None = None
    stream: CallId = CallId("")
    program: str = ""
    key: str | None = None
    previous: CallId | None = None


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """One request at a target.

    Attributes:
        call: Id of the client's attempt.
        target: The target.
        at: Time of the arrival.
        executed: Whether the target ran the request.
        broke_off: Whether the target ended its response early on purpose.
        account: Account that the request names.
        has_key: Whether the request contains an API key.
    """

    call: CallId
    target: InstanceId
    at: float
    executed: bool = True
    broke_off: bool = False
    account: AccountId | None = None
    has_key: bool = False


class RateLimit(msgspec.Struct, frozen=True, kw_only=True):
    """A rate limit that a target stated for some time.

    Attributes:
        target: The target.
        rate: Requests per second.
        first_named_at: Time from which the target has stated a limit without a break.
        began_at: Time of the first response with this limit, or just before it.
        ended_at: Time of the last one, or just after it.
    """

    target: InstanceId
    rate: float
    first_named_at: float
    began_at: float
    ended_at: float


class Disturbance(msgspec.Struct, frozen=True, kw_only=True):
    """A fault or planned work.

    Attributes:
        kind: Name of the fault.
        subject: Process or part of the platform.
        start: Number of the start of the process.
        began_at: Time of its begin.
        ended_at: Time from which the subject worked again.
    """

    kind: str
    subject: str
    start: int
    began_at: float
    ended_at: float


class ProcessStart(msgspec.Struct, frozen=True, kw_only=True):
    """A start of a process that no order interrupted.

    Attributes:
        process: Name of the process.
        start: Number of the start.
        seconds: Time until it accepted connections.
    """

    process: str
    start: int
    seconds: float


class ProcessEnd(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a process.

    Attributes:
        process: Name of the process.
        start: Number of its start.
        seconds: Time from its start until the end was noticed.
        code: Exit code; the negative number of the signal that killed it, if any.
        signals: Signals that the soak sent to it while it ran.
        handled_signals: Whether it has held or handled SIGTERM when a signal was sent;
            the interpreter itself does not.
        outlived_grace: Whether the soak killed it since it did not stop in time.
        last_lines: End of its log.
    """

    process: str
    start: int
    seconds: float
    code: int
    signals: tuple[signal.Signals, ...] = ()
    handled_signals: bool = False
    outlived_grace: bool = False
    last_lines: str = ""


class KeyLife(msgspec.Struct, frozen=True, kw_only=True):
    """Time for which configurations contained an API key.

    Attributes:
        account: Account that holds the key.
        added_at: Time at which the store had acknowledged the key.
        revoked_at: Time at which it had acknowledged a configuration without the key.
    """

    account: AccountId
    added_at: float
    revoked_at: float = math.inf

    @property
    def is_valid(self) -> bool:
        """Whether the newest configuration contains the key."""
        return self.revoked_at == math.inf


class QuotaChange(msgspec.Struct, frozen=True, kw_only=True):
    """A quota that a configuration set.

    Attributes:
        account: Account whose requests are limited.
        rate: Requests per second.
        burst: Further requests at once.
        changed_at: Time at which the store had acknowledged the quota.
    """

    account: AccountId
    rate: float
    burst: float
    changed_at: float


@final
class Evidence:
    """Everything that was observed in one run.

    Attributes:
        attempts: Attempts of clients.
        arrivals: Requests at targets.
        disturbances: Faults and planned work.
        starts: Starts of processes.
        ends: Ends of processes.
        limits: Rate limits of targets.
        changes: Time at which each version of the configuration was acknowledged.
        keys: API keys that configurations contained; empty without accounts.
        quotas: Quotas in the order of their changes.
        logs_with_keys: Logs of processes that contain an API key.
    """

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.arrivals: list[Arrival] = []
        self.disturbances: list[Disturbance] = []
        self.starts: list[ProcessStart] = []
        self.ends: list[ProcessEnd] = []
        self.limits: list[RateLimit] = []
        self.changes: dict[Version, float] = {}
        self.keys: dict[str, KeyLife] = {}
        self.quotas: list[QuotaChange] = []
        self.logs_with_keys: list[str] = []
        self._calls = itertools.count(1)

    def create_call_id(self) -> CallId:
        """Returns a new id for an attempt."""
        return CallId(f"c{next(self._calls):06d}")

    @contextmanager
    def record(self, kind: str, subject: str, start: int = 0) -> Iterator[None]:
        """Records a disturbance that lasts as long as the context."""
        began_at = trio.current_time()
        try:
            yield
        finally:
            self.disturbances.append(
                Disturbance(
                    kind=kind,
                    subject=subject,
                    start=start,
                    began_at=began_at,
                    ended_at=trio.current_time(),
                )
            )
