"""Decodes the configuration object and the target objects of the object store."""

import math
import re
from typing import Any

import msgspec

from goldcrestvane_common.ids import (
    AccountId,
    DomainId,
    InstanceId,
    ServiceId,
    SoftwareVersion,
    Version,
)
from goldcrestvane_daemon.accounts.directory import (
    AccountDirectory,
    ClientAccount,
    Quota,
)
from goldcrestvane_daemon.routes import (
    CallKind,
    ClientLimits,
    Configuration,
    EngineSettings,
    Route,
    ServiceSpecification,
    WeightedService,
)
from goldcrestvane_daemon.targets import Target, TargetState

_KINDS = {
    "streaming": CallKind.STREAM,
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.ONCE,
}

CONFIGURATION_NAME = "main"
MAX_PORT = 65_535
_PORT = re.compile("[0-9]{1,5}")
MAX_SLOTS = 1_000_000
"""Limit on the slots of a target, far above those of any real one."""


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 3000
    target_latency_ms: float = 0
    target_gap_ms: float = 0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Share] = []
    attempts: int = 1
    retention_enabled: bool = False  # whether the system stores the history
    retention_s: float = 60
    sticky: bool = False
    resumable: bool = False
    anonymous: bool = False


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 1
    kv_cache_tokens: int = 0
    tokens_per_event: int = 1


class _Service(msgspec.Struct, frozen=True):
    name: str
    connection_limit: int = 100
    inference_engine: _Engine | None = None


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None


class _ClientLimits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _ClientLimits = _ClientLimits()
    tenants: list[_Tenant] | None = None


class _Entry(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: str
    slots: int
    version: str = ""  # version of the target's software
    cold_remaining_ms: float = 0
    born: int = 0  # start time of the target in Unix milliseconds


def decode_configuration(value: bytes) -> Configuration:
    """Decodes the value of the configuration object.

    Raises:
        msgspec.DecodeError: The value is not a valid configuration.
    """
    raw = msgspec.json.decode(value, type=_Configuration)
    return Configuration(
        version=Version(raw.version),
        routes=tuple(_convert_route(route) for route in raw.routes),
        services={
            ServiceId(each.name): _convert_service(each) for each in raw.services
        },
        limits=ClientLimits(
            max_header_bytes=raw.limits.max_header_bytes,
            max_body_bytes=raw.limits.max_body_bytes,
            header_seconds=raw.limits.header_timeout_ms / 1000,
            idle_seconds=raw.limits.idle_timeout_ms / 1000,
        ),
        accounts=AccountDirectory(
            None
            if raw.tenants is None
            else [(_convert_account(each), each.api_keys) for each in raw.tenants]
        ),
    )


def _convert_account(raw: _Tenant) -> ClientAccount:
    return ClientAccount(
        account=AccountId(raw.name),
        priority=raw.priority,
        # A rate of 0 means that there is no limit.
        quota=Quota(rate=raw.rate_per_s, burst=raw.burst or 0.0)
        if raw.rate_per_s
        else None,
    )


def _convert_route(raw: _Route) -> Route:
    shares = [_Share(raw.service)] if raw.service else raw.traffic_split
    return Route(
        name=raw.name,
        host=raw.host.lower(),
        path_prefix=raw.path_prefix,
        # An unknown kind is treated as the most restrictive one.
        kind=_KINDS.get(raw.kind, CallKind.ONCE),
        timeout_seconds=raw.timeout_ms / 1000,
        objective_seconds=raw.target_latency_ms / 1000,
        priority=raw.priority,
        weighted_services=tuple(
            WeightedService(ServiceId(s.service), s.weight) for s in shares
        ),
        max_attempts=raw.attempts,
        stores_turns=raw.retention_enabled,
        retention_seconds=raw.retention_s,
        sticky=raw.sticky,
        resumable=raw.resumable,
        max_event_gap_seconds=raw.target_gap_ms / 1000 or math.inf,
        anonymous=raw.anonymous,
    )


def _convert_service(raw: _Service) -> ServiceSpecification:
    engine = raw.inference_engine
    return ServiceSpecification(
        service=ServiceId(raw.name),
        connection_limit=raw.connection_limit,
        engine=None
        if engine is None
        else EngineSettings(
            slots=engine.slots,
            cache_tokens=engine.kv_cache_tokens,
            tokens_per_event=engine.tokens_per_event,
        ),
    )


def decode_target(name: str, value: bytes) -> Target | None:
    """Decodes the value of a target object; returns None if it is not a valid target.

    Objects of other writers may lack fields or have fields of other types.
    """
    try:
        raw: Any = msgspec.json.decode(value, type=_Entry)
        state = TargetState(raw.state)
        host, _, port_text = raw.address.rpartition(":")
        port = int(port_text) if _PORT.fullmatch(port_text) else 0
        # Raises UnicodeError for empty and over-long labels, as connecting would.
        host.encode("idna")
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    if not host or not 0 < port <= MAX_PORT or not 1 <= raw.slots <= MAX_SLOTS:
        return None
    return Target(
        instance=InstanceId(name),
        service=ServiceId(raw.service),
        host=host,
        port=port,
        domain=DomainId(raw.zone),
        slots=raw.slots,
        state=state,
        software=SoftwareVersion(raw.version),
        born_ms=raw.born,
    )
