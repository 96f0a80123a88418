"""What a frontend knows of one call, and how it is read from the client's request."""

import msgspec
import trio

from goldcrestvane_common.ids import InstanceId, ServiceId, Version
from goldcrestvane_daemon.frontend.admission import AdmissionClass, get_admission_class
from goldcrestvane_daemon.frontend.refusals import (
    InvalidCall,
    NoTarget,
    NotConfigured,
    UnknownRoute,
)
from goldcrestvane_daemon.http1 import RequestHead
from goldcrestvane_daemon.ledger.messages import Turn
from goldcrestvane_daemon.platform.headers import CallHeaders, decode_call_headers
from goldcrestvane_daemon.routes import CallKind, Route, RouteTable, choose_service

NOT_CONFIGURED_SECONDS = 0.5
"""Time until a process that has just started usually has its configuration."""


class CallContext(msgspec.Struct, kw_only=True):
    """One call and how far it has come.

    Attributes:
        head: The client's request.
        client_body: Body that the client sent.
        headers: Its headers, decoded.
        route: The route that it takes.
        service: The service that runs it.
        version: Version of the configuration that decided on route and service.
        arrived: Time on trio's clock at which it arrived.
        deadline: Time on trio's clock until which it must be answered.
        body: Body for the target.
        tokens_per_event: Tokens that count for each event.
        events: Events that were passed on.
        last_event: Id of the last of them, or the one that the client named.
        output: Data of the events, for a turn that is kept.
        attempted_targets: Targets that may have run the call.
        departed_targets: Those of them that have died or left since.
        rejections: Attempts that did not run.
        admission_class: How far the call's program has come.
        response_started: Whether the client has a part of the answer.
        settled: Whether the turn's tokens are final in the ledger.
    """

    head: RequestHead
    client_body: bytes
    headers: CallHeaders
    route: Route
    service: ServiceId
    version: Version
    arrived: float
    deadline: float
    body: bytes
    tokens_per_event: int = 1
    events: int = 0
    last_event: int | None = None
    output: bytearray = msgspec.field(default_factory=bytearray)
    attempted_targets: list[InstanceId] = msgspec.field(default_factory=list)
    departed_targets: set[InstanceId] = msgspec.field(default_factory=set)
    rejections: int = 0
    admission_class: AdmissionClass = AdmissionClass.IN_PROGRESS
    response_started: bool = False
    settled: bool = False

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
        """Whether the turn's input and output are kept."""
        return self.is_turn and self.route.stores_turns

    @property
    def program_seconds_left(self) -> float:
        """Time until the program should end, as of the call's arrival."""
        milliseconds = self.headers.program_deadline_ms
        if milliseconds is None:
            return self.deadline - self.arrived
        return milliseconds / 1000

    @property
    def affinity_key(self) -> str | None:
        """What the target should have seen before."""
        if not self.route.sticky:
            return None
        return self.headers.program or self.headers.affinity

    @property
    def counted_targets(self) -> set[InstanceId]:
        """Targets that count towards the route's attempts."""
        return set(self.attempted_targets) - self.departed_targets

    @property
    def seconds_left(self) -> float:
        """Time until the call must be answered."""
        return self.deadline - trio.current_time()


def build_call_context(
    head: RequestHead, body: bytes, routes: RouteTable | None, arrived: float
) -> CallContext:
    """Returns the plan of a call.

    Raises:
        NotConfigured: There is no configuration yet.
        InvalidCall: A header has a value that its name does not allow.
        UnknownRoute: No route matches.
        NoTarget: The route names no service.
    """
    if routes is None:
        raise NotConfigured(
            "This process has no configuration yet; come back later.",
            retry_after=NOT_CONFIGURED_SECONDS,
        )
    try:
        headers = decode_call_headers(head.headers)
    except ValueError as error:
        raise InvalidCall(f"A header has a wrong value: {error}.") from error
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
        head=head,
        client_body=body,
        headers=headers,
        route=route,
        service=service,
        version=configuration.version,
        arrived=arrived,
        deadline=arrived + seconds,
        body=body,
        tokens_per_event=engine.tokens_per_event if engine else 1,
        admission_class=get_admission_class(
            begun=True, turned_away=False, program_ms=headers.program_deadline_ms
        ),
        last_event=headers.last_event,
    )


def build_prompt(chain: list[Turn], new_input: bytes) -> bytes:
    """Returns the whole prompt of a turn.

    Args:
        chain: The turns before it, newest first.
        new_input: What the client sent.
    """
    parts = [part for turn in reversed(chain) for part in (turn.input, turn.output)]
    return b"".join([*parts, new_input])
