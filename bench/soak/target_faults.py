"""Faults and planned work of the targets of a soak."""

import random
from typing import final

import trio

from bench.soak.checks import LINK
from bench.soak.links import Link, LinkState
from bench.soak.records import Evidence, RateLimit
from bench.soak.targets import EVENT_SECONDS, LONG_EVENT_SECONDS, SoakTarget
from goldcrestvane_common.ids import InstanceId
from goldcrestvane_standins.platformstore import PlatformStore

LEAVING_SECONDS = 2.5
"""Minimum time for which a target serves after it has announced that it leaves."""

VERSIONS = ("v1", "v2", "v3")
TARGETS = 4
MIN_TARGETS = 2


@final
class TargetFaults:
    """Starts, replaces, limits and crashes targets."""

    def __init__(
        self,
        *,
        platform: PlatformStore,
        evidence: Evidence,
        rng: random.Random,
        nursery: trio.Nursery,
        has_outages: bool,
    ) -> None:
        self._has_outages = has_outages
        self._platform = platform
        self._evidence = evidence
        self._rng = rng
        self._nursery = nursery
        self._targets: list[SoakTarget] = []
        self._target_count = 0

    async def start_targets(self) -> None:
        """Starts the first targets, of two software versions."""
        for number in range(TARGETS):
            await self._start_target(VERSIONS[number % 2])

    async def _start_target(self, software: str) -> SoakTarget:
        self._target_count += 1
        target = SoakTarget(
            InstanceId(f"i-{self._target_count}"),
            software,
            platform=self._platform,
            evidence=self._evidence,
            rng=self._rng,
            link=Link() if self._has_outages else None,
            event_seconds=LONG_EVENT_SECONDS if self._has_outages else EVENT_SECONDS,
        )
        await self._nursery.start(target.run)
        self._targets.append(target)
        return target

    def _draw_target(self) -> SoakTarget | None:
        if len(self._targets) <= MIN_TARGETS:
            return None
        target = self._rng.choice(self._targets)
        self._targets.remove(target)
        return target

    async def replace_target(self) -> None:
        """Starts a target, and lets another one leave, with or without notice."""
        await self._start_target(self._rng.choice(VERSIONS))
        target = self._draw_target()
        if target is not None:
            await self._let_leave(target)

    async def release(self) -> None:
        """Replaces all targets by those of one version, at once or with notice."""
        former, self._targets = self._targets, []
        software = self._rng.choice(VERSIONS)
        for _ in range(TARGETS):
            await self._start_target(software)
        if self._rng.random() < 0.5:
            with self._evidence.record("target", "targets"):
                for target in former:
                    target.stop()
                    target.remove_entry()
            return
        async with trio.open_nursery() as nursery:
            for target in former:
                nursery.start_soon(self._let_leave, target)

    async def _let_leave(self, target: SoakTarget) -> None:
        target.leaving = True
        if self._rng.random() < 0.5:
            target.write_entry("draining")
        elif self._rng.random() < 0.5:
            target.remove_entry()
        await trio.sleep(LEAVING_SECONDS + self._rng.uniform(0, 2))
        with self._evidence.record("target", "targets"):
            target.stop()
            target.remove_entry()

    async def crash_target(self) -> None:
        """Ends a target; another one takes its place."""
        target = self._draw_target()
        if target is None:
            return
        with self._evidence.record("target", "targets"):
            target.stop()
            await trio.sleep(self._rng.uniform(0.5, 2))
            target.remove_entry()
        await self._start_target(target.software)

    async def disturb_link(self, state: LinkState, seconds: float) -> None:
        """Delays, holds or resets what passes between frontends and a target."""
        links = [(each.link, each) for each in self._targets if each.link is not None]
        if links:
            link, target = self._rng.choice(links)
            with self._evidence.record(LINK, target.instance):
                await link.disturb(state, seconds)

    async def limit_target(self) -> None:
        """Lets a target state a rate limit, which may change."""
        free = [each for each in self._targets if each.rate_limit is None]
        if not free:
            return
        target = self._rng.choice(free)
        first_named_at = trio.current_time()
        for _ in range(self._rng.randint(1, 2)):
            target.rate_limit = self._rng.uniform(0.5, 6)
            began_at = trio.current_time()
            await trio.sleep(self._rng.uniform(4, 9))
            limit = RateLimit(
                target=target.instance,
                rate=target.rate_limit,
                first_named_at=first_named_at,
                began_at=began_at,
                ended_at=trio.current_time(),
            )
            self._evidence.limits.append(limit)
        target.rate_limit = None
