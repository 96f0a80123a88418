"""The configuration in force: routes, services and what clients may send."""

from enum import Enum
from typing import final

import msgspec
import xxhash

from goldcrestvane_common.ids import ServiceId, Version


class CallKind(Enum):
    """What may be repeated of the calls of a route."""

    STREAM = "stream"
    """Answered by events; runs at most once, unless the route is resumable."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""

    ONCE = "once"
    """Runs at most once."""


class WeightedService(msgspec.Struct, frozen=True):
    """Part of a route's traffic that goes to one service."""

    service: ServiceId
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Calls of one host below one path.

    Attributes:
        name: Name for logs.
        host: Host of the calls, in lower case.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_seconds: Longest time that a client is kept waiting.
        objective_seconds: Time within which an answer is on time.
        priority: Rank, 0 first.
        weighted_services: Services that run the calls.
        max_attempts: Most targets that one call may run at.
        stores_turns: Whether the system keeps what the turns say.
        retention_seconds: How long turns and token accounts are kept.
        sticky: Whether a target that saw the object or the prompt is faster.
        resumable: Whether a stream may go on at another target.
        max_event_gap_seconds: Longest pause between two events that is on time.
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

    @property
    def repeatable(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or (
            self.kind is CallKind.STREAM and self.resumable
        )


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """A service's model engine.

    Attributes:
        slots: Calls that one target runs at a time.
        cache_tokens: Tokens that fit into a target's memory.
        tokens_per_event: Tokens that count for each event of a stream.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


class ServiceSpecification(msgspec.Struct, frozen=True, kw_only=True):
    """A service; `engine` is set for model services."""

    service: ServiceId
    connection_limit: int = 100
    engine: EngineSettings | None = None


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a client may send, and how long it may take or stay idle."""

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


@final
class RouteTable:
    """Finds the route of a call by host and longest path prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route, or None when there is none."""
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
    """Returns the service that runs a call.

    Calls with the same key go to the same service while the shares stay.
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
