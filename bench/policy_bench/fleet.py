"""Simulates targets, links and owners of a run, and injects faults."""

import random
from collections import deque
from enum import Enum
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import (
    DomainId,
    InstanceId,
    ProgramId,
    ServiceId,
    hash_text,
)
from goldcrestvane_common.messages import (
    TargetLoad,
)
from goldcrestvane_daemon.placement import Candidate
from policy_bench.deployments import Deployment
from policy_bench.targets import FakeTarget, PrefixCache

MODEL = ServiceId("model")
TOOL = ServiceId("tool")
REPORT_LAG_SECONDS = 5.0
REPORT_INTERVAL_SECONDS = 0.5
SLOW_LINK_SECONDS = 0.1
FAULT_SECONDS = 60.0
EVENT_LAG_SECONDS = 2.0
EVENT_LOSS_SHARE = 0.1
"""Share of the cache events that are lost."""


class Fault(Enum):
    """Fault that is injected into a run.

    It begins in the middle of the measured period, unless it affects the whole run.
    """

    NONE = "no fault"
    DEAD_TARGET = "one engine dies and restarts empty after 60 s"
    LAGGED_REPORT = "load reports are 5 s old in the whole run"
    SLOW_DOMAIN = "links to one domain take 100 ms for 60 s"
    HUNG_TOOL = "one tool target hangs for 60 s"


class CacheEvent(msgspec.Struct, frozen=True):
    """Eviction of a part of a program's prefix by an engine."""

    target: InstanceId
    program: ProgramId
    tokens_left: int


@final
class Fleet:
    """Targets, links and owners of a run."""

    def __init__(self, deployment: Deployment, fault: Fault) -> None:
        self._deployment = deployment
        self._fault = fault
        self._slow_domain: DomainId | None = None
        self._evictions: list[CacheEvent] = []
        self.targets: dict[InstanceId, FakeTarget] = {}
        self.candidates: dict[ServiceId, list[Candidate]] = {MODEL: [], TOOL: []}
        self._reports: dict[InstanceId, deque[TargetLoad]] = {}
        for number in range(deployment.engines):
            self._add_target(MODEL, number)
        for number in range(deployment.tools):
            self._add_target(TOOL, number)
        self.owner_domains = [each.domain for each in self.targets.values()]

    def find_owner(self, program: str) -> int:
        """Returns the number of the owner of a program."""
        return hash_text(program) % len(self.owner_domains)

    def configure_gate_caches(self) -> None:
        """Sets the cache capacity of each engine in its gate."""
        for target in self.targets.values():
            target.gate.set_cache_capacity(target.cache.capacity)

    def get_delay(self, owner: int, target: FakeTarget) -> float:
        """Returns the one-way delay from an owner to a target, in seconds."""
        domain = self.owner_domains[owner]
        if domain == target.domain:
            return self._deployment.local_link_seconds
        if self._slow_domain in (domain, target.domain):
            return SLOW_LINK_SECONDS
        return self._deployment.link_seconds

    def get_report(self, target: FakeTarget) -> TargetLoad:
        """Returns the load report of a target, which a fault may delay."""
        if self._fault is Fault.LAGGED_REPORT:
            return self._reports[target.instance][0]
        return target.load()

    def take_cache_events(self, rng: random.Random) -> list[CacheEvent]:
        """Returns the cache events since the last call, except the lost ones."""
        events = [each for each in self._evictions if rng.random() >= EVENT_LOSS_SHARE]
        self._evictions.clear()
        return events

    async def inject_fault(self, begin: float) -> None:
        """Injects the run's fault, which lasts `FAULT_SECONDS` or the whole run.

        Args:
            begin: Seconds until a fault of limited duration begins.
        """
        if self._fault is Fault.LAGGED_REPORT:
            await self._sample_reports()
        await trio.sleep(begin)
        engine = self.targets[self.candidates[MODEL][0].instance]
        tool = self.targets[self.candidates[TOOL][0].instance]
        if self._fault is Fault.DEAD_TARGET:
            engine.crash()
        if self._fault is Fault.SLOW_DOMAIN:
            self._slow_domain = engine.domain
        tool.hung = self._fault is Fault.HUNG_TOOL
        await trio.sleep(FAULT_SECONDS)
        engine.restart()
        self._slow_domain = None
        tool.hung = False

    async def _sample_reports(self) -> None:
        while True:
            for target in self.targets.values():
                self._reports[target.instance].append(target.load())
            await trio.sleep(REPORT_INTERVAL_SECONDS)

    def _add_target(self, service: ServiceId, number: int) -> None:
        deployment = self._deployment
        instance = InstanceId(f"{service}-{number}")
        domain = DomainId(deployment.domains[number % len(deployment.domains)])

        def record_eviction(program: ProgramId, tokens: int) -> None:
            self._evictions.append(CacheEvent(instance, program, tokens))

        model = service == MODEL
        cache = PrefixCache(deployment.cache_tokens if model else 0, record_eviction)
        target = FakeTarget(
            instance,
            domain,
            slots=deployment.engine_slots if model else deployment.tool_slots,
            cache=cache,
            prefill_seconds=deployment.prefill_seconds,
            decode_seconds=deployment.decode_seconds,
        )
        self.targets[instance] = target
        self.candidates[service].append(Candidate(instance, domain))
        steps = int(REPORT_LAG_SECONDS / REPORT_INTERVAL_SECONDS)
        self._reports[instance] = deque([target.load()], maxlen=steps)
