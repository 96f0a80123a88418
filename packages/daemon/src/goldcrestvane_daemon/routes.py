"""Configuration: routes, services and limits for clients."""

from enum import Enum
from typing import final

import msgspec
import xxhash

from goldcrestvane_common.ids import ServiceId, Version
from goldcrestvane_daemon.accounts.directory import AccountDirectory


class CallKind(Enum):
    """Kind of a route's calls, which determines whether a call may be repeated."""

    STREAM = "stream"
    """Answered with a stream of events. Runs at most once, unless the route is
    resumable."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""

    ONCE = "once"
    """Runs at most once."""


class WeightedService(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's traffic."""

    service: ServiceId
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Settings for the calls to one host below one path.

    Attributes:
        name: Name of the route in logs.
        host: Host of the calls, in lower case.
        path_prefix: Path prefix of the calls. Starts and ends with a slash.
        kind: Kind of the calls.
        timeout_seconds: Maximum time until a call is answered.
        objective_seconds: Response time objective.
        priority: Priority of the calls; 0 is the most urgent.
        weighted_services: Services that run the calls.
        max_attempts: Maximum number of targets at which one call may run.
        stores_turns: Whether the ledger stores the input and output of turns.
        retention_seconds: Time for which turns and token accounts are stored.
        sticky: Whether a target that has seen the object or the prompt is faster.
        resumable: Whether another target may continue a stream.
        max_event_gap_seconds: Objective for the longest gap between two events.
        anonymous: Whether the calls need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout_seconds: float
    objective_seconds: float = 0.0
    priority: int = 0
    weighted_services: tuple[WeightedService, ...] = ()
    max_attempts: int = 1
    stores_turns: bool = False
    retention_seconds: float = 60.0
    sticky: bool = False
    resumable: bool = False
    max_event_gap_seconds: float = 0.0
    anonymous: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or (
            self.kind is CallKind.STREAM and self.resumable
        )


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a service's model engine.

    Attributes:
        slots: Number of calls that one target runs concurrently.
        cache_tokens: Number of tokens that fit into a target's memory.
        tokens_per_event: Tokens that are charged for each event of a stream.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


class ServiceSpecification(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a service. `engine` is set for model services."""

    service: ServiceId
    connection_limit: int = 100
    engine: EngineSettings | None = None


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and the duration of clients' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration."""

    version: Version
    routes: tuple[Route, ...]
    services: dict[ServiceId, ServiceSpecification]
    limits: ClientLimits = ClientLimits()
    accounts: AccountDirectory = msgspec.field(default_factory=AccountDirectory)


@final
class RouteTable:
    """Finds the route of a call by host and longest path prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the matching route, or None if no route matches."""
        prefixes = self._routes.get(host)
        if not prefixes:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route: Route, key: str) -> ServiceId | None:
    """Returns the service that runs a call, or None if the route has no service.

    Calls with the same key go to the same service until the weights change.
    """
    total = sum(share.weight for share in route.weighted_services)
    if total <= 0:
        return None
    drawn = xxhash.xxh3_64_intdigest(key.encode()) / 2**64 * total
    for share in route.weighted_services:
        drawn -= share.weight
        if drawn < 0:
            return share.service
    return route.weighted_services[-1].service
