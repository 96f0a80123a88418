"""State of one call, and its construction from the client's request."""

import msgspec
import trio

from goldcrestvane_common.ids import (
    AccountId,
    CallId,
    Fingerprint,
    InstanceId,
    ProgramId,
    ServiceId,
    StreamOrigin,
    Version,
)
from goldcrestvane_daemon.accounts.directory import ClientAccount, KeyDigest
from goldcrestvane_daemon.frontend.admission import AdmissionClass, get_admission_class
from goldcrestvane_daemon.frontend.affinity import Affinity, build_affinity
from goldcrestvane_daemon.frontend.call_chain import CallChain
from goldcrestvane_daemon.frontend.crash_tracker import build_fingerprint
from goldcrestvane_daemon.frontend.event_sequence import EventSequence
from goldcrestvane_daemon.frontend.refusals import (
    InvalidCall,
    NoTarget,
    NotConfigured,
    UnknownRoute,
)
from goldcrestvane_daemon.frontend.turn_output import TurnOutput
from goldcrestvane_daemon.http1 import RequestHead
from goldcrestvane_daemon.ledger.messages import NO_EVENT, build_program_key
from goldcrestvane_daemon.placement.prompt_reading import PromptRequest
from goldcrestvane_daemon.platform.headers import CallHeaders, decode_call_headers
from goldcrestvane_daemon.routes import CallKind, Route, RouteTable, choose_service

NOT_CONFIGURED_SECONDS = 0.5
"""Retry delay for calls that arrive before the configuration. A new process usually
receives it within this time."""


class CallContext(msgspec.Struct, kw_only=True):
    """State of one call.

    Attributes:
        head: Method and path of the client's request, without its headers.
        client_body: Body of the client's request.
        headers: Decoded headers of the client's request.
        route: Route that matches the request.
        service: Service that runs the call.
        version: Version of the configuration that selected the route and the service.
        account: Client account that sent the call; None if no quota applies.
        arrived: Time on trio's clock at which the call arrived.
        deadline: Time on trio's clock by which the call must be answered.
        tokens_per_event: Tokens that are charged for each event.
        events: Number of events that were forwarded to the client.
        sequence: Order of the events that the client has.
        is_framed: Whether the last response of a target had a length or chunks; None
            before the first one.
        output: Data of the events that the client has got, for a turn that is stored.
        attempted_targets: Targets that may have run the call.
        departed_targets: Attempted targets that have died or left since.
        rejections: Number of attempts in which the target did not run the call.
        admission_class: Admission class of the call.
        response_started: Whether a part of the response was sent to the client.
        settled: Whether the turn's token charge is final in the ledger.
        origin: Origin of the events that the client has; None before the first event.
        recorded_origin: Origin that the ledger has for the stream, or may have.
        origin_changes: Number of times that `recorded_origin` was replaced.
        resumed_stream: Attempt that brought the first event of the stored stream that the
            call continues; empty if it continues none.
        takeover: Number of the call among those that continued that stream.
        continues_after: Id of the event after which the call continues that stream;
            `NO_EVENT` if it continues none.
        account: Account that sends the call; None without accounts and for a call that
            needs no key.
        key_digest: Digest of the call's API key; None without accounts.
        accounts_version: Version of the configuration by which the key was last checked;
            None without accounts.
        copy_age: Seconds since that configuration was known to be the newest, when the
            call arrived; None without accounts.
        prompt: Prompt of the present attempt; None if the client states none.
        chain: Stored turns that precede the call; None before they are known.
        chain_root: First turn of the stored chain that the call continues or begins; None
            for a call that is not stored.
        chain_target: Target that ran the preceding turn, if known.
        target: Target of the present attempt; empty before the first one.
        fingerprint: Identifies repetitions of the request; empty until it is needed.
    """

    head: RequestHead
    client_body: bytes
    headers: CallHeaders
    route: Route
    service: ServiceId
    version: Version
    arrived: float
    deadline: float
    account: ClientAccount | None = None
    tokens_per_event: int = 1
    events: int = 0
    sequence: EventSequence = msgspec.field(default_factory=EventSequence)
    is_framed: bool | None = None
    output: TurnOutput = msgspec.field(default_factory=TurnOutput)
    attempted_targets: list[InstanceId] = msgspec.field(default_factory=list)
    departed_targets: set[InstanceId] = msgspec.field(default_factory=set)
    rejections: int = 0
    admission_class: AdmissionClass = AdmissionClass.IN_PROGRESS
    response_started: bool = False
    settled: bool = False
    origin: StreamOrigin | None = None
    recorded_origin: StreamOrigin | None = None
    origin_changes: int = 0
    resumed_stream: CallId = CallId("")
    takeover: int = 0
    continues_after: int = NO_EVENT
    account: ClientAccount | None = None
    key_digest: KeyDigest | None = None
    accounts_version: Version | None = None
    copy_age: float | None = None
    prompt: PromptRequest | None = None
    chain: CallChain | None = None
    chain_root: CallId | None = None
    chain_target: InstanceId | None = None
    target: InstanceId = InstanceId("")
    fingerprint: Fingerprint = Fingerprint("")

    @property
    def body_parts(self) -> list[bytes]:
        """Body of the request to the target: the text of the chain, then the new input."""
        before = self.chain.list_parts() if self.chain else []
        return [*before, self.client_body]

    def drop_chain(self) -> None:
        """Releases the memory of the chain until it is read again."""
        if self.chain is not None:
            self.chain.drop()

    @property
    def account_id(self) -> AccountId | None:
        """Name of the account that sends the call, if any."""
        return self.account.account if self.account else None

    @property
    def priority(self) -> int:
        """Priority of the call, 0 being the highest: its account's or its route's."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    @property
    def program_key(self) -> ProgramId | None:
        """Id under which the ledger has the program's tokens; None without a program."""
        program = self.headers.program
        return None if program is None else build_program_key(self.account_id, program)

    @property
    def is_turn(self) -> bool:
        """Whether the call is a turn with a token budget."""
        headers = self.headers
        return (
            self.route.kind is CallKind.STREAM
            and headers.call is not None
            and headers.program is not None
            and headers.token_budget is not None
        )

    @property
    def is_stored(self) -> bool:
        """Whether the ledger stores the turn's input and output."""
        return self.is_turn and self.route.stores_turns

    @property
    def is_resumption(self) -> bool:
        """Whether the client takes up a stream of which it has events."""
        return (
            self.route.kind is CallKind.STREAM and self.headers.last_event is not None
        )

    @property
    def last_event(self) -> int | None:
        """Id of the last forwarded event, or the id that the client sent."""
        return self.sequence.last

    @property
    def records_origin(self) -> bool:
        """Whether the ledger stores the stream's origin, so that it can be resumed."""
        return self.is_turn and self.route.resumable and not self.is_resumption

    @property
    def copies_output(self) -> bool:
        """Whether another frontend may need the output to store the whole turn."""
        return self.is_stored and self.route.resumable

    @property
    def program_seconds_left(self) -> float:
        """Seconds from the call's arrival to the program's deadline."""
        milliseconds = self.headers.program_deadline_ms
        if milliseconds is None:
            return self.deadline - self.arrived
        return milliseconds / 1000

    @property
    def affinity(self) -> Affinity:
        """Targets that the call prefers; none if the route is not sticky."""
        if not self.route.sticky:
            return Affinity()
        return build_affinity(
            chain_root=self.chain_root,
            chain_target=self.chain_target,
            program=self.headers.program,
            resource=self.headers.affinity,
        )

    @property
    def counted_targets(self) -> set[InstanceId]:
        """Targets that count towards the route's maximum number of attempts."""
        return set(self.attempted_targets) - self.departed_targets

    @property
    def seconds_left(self) -> float:
        """Seconds until the call's deadline."""
        return self.deadline - trio.current_time()


def build_call_context(
    head: RequestHead, body: bytes, routes: RouteTable | None, arrived: float
) -> CallContext:
    """Returns the context of a new call.

    Raises:
        NotConfigured: There is no configuration yet.
        InvalidCall: A header has an invalid value.
        UnknownRoute: No route matches.
        NoTarget: The route names no service.
    """
    if routes is None:
        raise NotConfigured(
            "This process has no configuration yet; retry later.",
            retry_after=NOT_CONFIGURED_SECONDS,
        )
    try:
        headers = decode_call_headers(head.headers)
    except ValueError as error:
        raise InvalidCall(f"A header has an invalid value: {error}.") from error
    path = head.path.decode("latin-1")
    route = routes.find(headers.host, path)
    configuration = routes.configuration
    if route is None:
        raise UnknownRoute(
            f"Version {configuration.version} has no route for {headers.host}{path}."
        )
    service = choose_service(route, headers.program or headers.call or path)
    if service is None:
        raise NoTarget(f"Route {route.name} names no service.")
    seconds = route.timeout_seconds
    if headers.deadline_ms is not None:
        seconds = min(seconds, headers.deadline_ms / 1000)
    specification = configuration.services.get(service)
    engine = specification.engine if specification else None
    return CallContext(
        # The headers contain the client's key, which is kept only as a digest.
        head=RequestHead(head.method, head.path, []),
        client_body=body,
        headers=headers,
        route=route,
        service=service,
        version=configuration.version,
        arrived=arrived,
        deadline=arrived + seconds,
        tokens_per_event=engine.tokens_per_event if engine else 1,
        admission_class=get_admission_class(
            has_started=True,
            refused_before=False,
            program_ms_left=headers.program_deadline_ms,
        ),
        sequence=EventSequence(headers.last_event),
    )


def get_fingerprint(call: CallContext) -> Fingerprint:
    """Returns a hash that identifies repetitions of a call's request."""
    if not call.fingerprint:
        head = call.head
        call.fingerprint = build_fingerprint(head.method, head.path, call.client_body)
    return call.fingerprint
