"""Targets of the services, and this process's view of their load."""

import time
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import final

import msgspec

from goldcrestvane_common.ids import (
    DomainId,
    InstanceId,
    ServiceId,
    SoftwareVersion,
    StreamOrigin,
)
from goldcrestvane_daemon.placement.speeds import SlowdownEstimate

TargetKey = tuple[InstanceId, str, int, int]

MAX_LEAVING_TARGETS = 10_000
"""Maximum number of remembered targets that leave: several times those of a deployment."""


class TargetState(Enum):
    """State that a target announces."""

    READY = "ready"
    DRAINING = "draining"


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """One start of a target.

    Attributes:
        instance: Id of the target. A restarted target may have the same id.
        service: Service that the target belongs to.
        host: IP address.
        port: Port.
        domain: Failure domain.
        slots: Number of calls that the target runs concurrently.
        state: Whether the target accepts new calls.
        software: Version of the target's software; empty if the entry states none.
        born_ms: Unix time of the start in milliseconds. It distinguishes the starts of
            a target with the same id.
    """

    instance: InstanceId
    service: ServiceId
    host: str
    port: int
    domain: DomainId
    slots: int
    state: TargetState
    software: SoftwareVersion = SoftwareVersion("")
    born_ms: int = 0

    @property
    def key(self) -> TargetKey:
        """Identifies this start at this address."""
        return (self.instance, self.host, self.port, self.born_ms)

    @property
    def lifetime(self) -> str:
        """Name of this start, which all processes use; the id if the start is unknown."""
        return f"{self.instance}@{self.born_ms}" if self.born_ms else self.instance

    @property
    def origin(self) -> StreamOrigin:
        """Identifies the targets that can continue each other's streams."""
        return StreamOrigin(f"{self.service} {self.software}")


class ReportedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load that a target reports.

    Attributes:
        running: Running calls, from all callers.
        waiting: Waiting calls, from all callers.
        slots: Number of calls that it runs concurrently.
        slowdown: Factor by which work takes longer than usual at this moment, since the
            target shares its machine; None if it reports none.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


LOAD_REPORT_MAX_AGE_SECONDS = 0.5
"""Age at which a reported load is ignored: the run time of a call."""


@final
class TargetLoadTracker:
    """Estimates the load of one target.

    Attributes:
        running: Number of calls that this process runs at the target.
        rejects_until: Time on trio's clock until which the target gets no calls.
        slowdown: How much longer work takes on the target than usual.
        own_report: Last report to this process and its time; None without a report.
    """

    __slots__ = (
        "_others",
        "_reported_at",
        "own_report",
        "rejects_until",
        "running",
        "slowdown",
    )

    def __init__(self) -> None:
        self.running = 0
        self.rejects_until = 0.0
        self.slowdown = SlowdownEstimate()
        self.own_report: tuple[ReportedLoad | None, float] = (None, float("-inf"))
        self._others = 0.0
        self._reported_at = float("-inf")

    def update(self, load: ReportedLoad, *, now: float) -> None:
        """Updates the load from a report that the target sent with a response."""
        self.own_report = (load, now)
        self.adopt(load, reported_at=now)

    def adopt(self, load: ReportedLoad, *, reported_at: float) -> None:
        """Updates the load from a report to any process, unless it is an older one."""
        if load.slowdown is not None:
            self.slowdown.record(load.slowdown, reported_at=reported_at)
        if reported_at >= self._reported_at:
            self._others = max(0, load.running + load.waiting - self.running)
            self._reported_at = reported_at

    def estimate(self, now: float) -> float:
        """Returns the estimated number of calls at the target.

        The weight of the calls of other processes decreases with the report's age.
        """
        age = now - self._reported_at
        weight = max(0.0, 1.0 - age / LOAD_REPORT_MAX_AGE_SECONDS)
        return self.running + self._others * weight


@final
class TargetTable:
    """Table of the current targets."""

    def __init__(self, get_time: Callable[[], float] = time.monotonic) -> None:
        """Creates an empty table.

        Args:
            get_time: Returns the seconds of a clock that never goes back.
        """
        self._get_time = get_time
        self._targets: dict[InstanceId, Target] = {}
        self._ready: dict[ServiceId, dict[InstanceId, Target]] = {}
        self._loads: dict[InstanceId, TargetLoadTracker] = {}
        self._leaving: dict[TargetKey, None] = {}
        self._ended: dict[TargetKey, float] = {}
        self._origins: dict[ServiceId, Counter[StreamOrigin]] = {}
        self._origins_changed_at: dict[ServiceId, float] = {}

    def mark_leaving(self, target: Target) -> bool:
        """Records that a start of a target leaves; returns whether this is new.

        It counts as draining from then on, whatever its entry says, also when the entry
        is removed and restored.
        """
        if target.key in self._leaving:
            return False
        self._leaving[target.key] = None
        if len(self._leaving) > MAX_LEAVING_TARGETS:
            del self._leaving[next(iter(self._leaving))]
        known = self._targets.get(target.instance)
        if known is not None:
            self.put(known)
        return True

    def mark_ended(self, target: Target, *, now: float) -> bool:
        """Records that a start of a target seems to have ended; returns whether this is new.

        Its entry may be that of a former start from then on: the target may start again
        with other software before its new entry is known.
        """
        is_new = target.key not in self._ended
        self._ended[target.key] = now
        return is_new

    def confirm(self, before: float) -> None:
        """Confirms the entries of targets that seemed to have ended before some time."""
        for key, ended_at in list(self._ended.items()):
            if ended_at < before:
                del self._ended[key]

    def may_have_restarted(self, target: Target) -> bool:
        """Returns whether the target's entry may be that of a former start."""
        return target.key in self._ended

    def put(self, target: Target) -> bool:
        """Adds or replaces a target; returns whether anything changed."""
        if target.key in self._leaving:
            target = msgspec.structs.replace(target, state=TargetState.DRAINING)
        known = self._targets.get(target.instance)
        if known == target:
            return False
        if known is None or known.key != target.key:
            self._loads[target.instance] = TargetLoadTracker()
        self._drop(known)
        self._targets[target.instance] = target
        self._count_origin(target, 1)
        if target.state is TargetState.READY:
            self._ready.setdefault(target.service, {})[target.instance] = target
        return True

    def remove(self, instance: InstanceId) -> bool:
        """Removes a target; returns whether it was known."""
        self._loads.pop(instance, None)
        known = self._targets.pop(instance, None)
        self._drop(known)
        return known is not None

    def _drop(self, target: Target | None) -> None:
        if target is None:
            return
        self._ready.get(target.service, {}).pop(target.instance, None)
        self._count_origin(target, -1)

    def _count_origin(self, target: Target, change: int) -> None:
        origins = self._origins.setdefault(target.service, Counter())
        known = set(origins)
        origins[target.origin] += change
        if not origins[target.origin]:
            del origins[target.origin]
        if set(origins) != known:
            self._origins_changed_at[target.service] = self._get_time()

    def get(self, instance: InstanceId) -> Target | None:
        """Returns a target, or None if it does not exist."""
        return self._targets.get(instance)

    def get_load(self, target: Target) -> TargetLoadTracker:
        """Returns the load of a target; a removed target has no load."""
        return self._loads.get(target.instance) or TargetLoadTracker()

    def list_ready(self, service: ServiceId) -> list[Target]:
        """Returns the targets of a service that accept new calls."""
        return list(self._ready.get(service, {}).values())

    def get_only_origin(self, service: ServiceId) -> StreamOrigin | None:
        """Returns the origin of a service's streams; None if it has none or several.

        Targets that drain count as well.
        """
        origins = self._origins.get(service, Counter())
        return next(iter(origins)) if len(origins) == 1 else None

    def get_lasting_origin(
        self, service: ServiceId, seconds: float
    ) -> StreamOrigin | None:
        """Returns the only origin that a service has had for some time, if any.

        A process that has started later does not know which targets there were before.

        Args:
            service: The service.
            seconds: Time for which all targets must have had the origin.
        """
        if service not in self._origins_changed_at:
            return None
        unchanged = self._get_time() - self._origins_changed_at[service]
        return self.get_only_origin(service) if unchanged >= seconds else None

    def list_all(self) -> list[Target]:
        """Returns all targets."""
        return list(self._targets.values())
