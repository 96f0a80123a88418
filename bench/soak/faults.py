"""Draws faults and planned work of a soak; they come in series and overlap."""

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import final

import trio

from bench.soak.accounts import ACCOUNTS, INITIAL_RATE, LOWERED_RATE, SoakAccounts
from bench.soak.checks import (
    ALL_PROCESSES,
    REVOCATION_SECONDS,
    STORE_ACCESS,
)
from bench.soak.machines import Machine
from bench.soak.records import Disturbance, Evidence, RateLimit
from bench.soak.store_access import AccessState, StoreAccess
from bench.soak.targets import SoakTarget
from goldcrestvane_common.ids import InstanceId, Version
from goldcrestvane_standins.platformstore import PlatformStore

MIN_INTERVAL_SECONDS = 0.3
MAX_INTERVAL_SECONDS = 1.5
LEAVING_SECONDS = 2.5
"""Minimum time for which a target serves after it has announced that it leaves."""

MAX_KEY_CHANGES = 4
VERSIONS = ("v1", "v2", "v3")
TARGETS = 4
MIN_TARGETS = 2

Fault = Callable[[], Awaitable[None]]


@final
class SoakFaults:
    """Injects faults into machines, targets and the platform's store."""

    def __init__(
        self,
        *,
        frontends: list[Machine],
        members: list[Machine],
        platform: PlatformStore,
        evidence: Evidence,
        rng: random.Random,
        nursery: trio.Nursery,
        accesses: list[StoreAccess],
        accounts: SoakAccounts | None,
        has_quotas: bool,
    ) -> None:
        self._frontends = frontends
        self._members = members
        self._platform = platform
        self._evidence = evidence
        self._rng = rng
        self._nursery = nursery
        self._accesses = accesses
        self._accounts = accounts
        self._has_quotas = has_quotas
        self._targets: list[SoakTarget] = []
        self._target_count = 0
        self._version = Version(0)

    async def start_targets(self) -> None:
        """Starts the first targets, of two software versions."""
        for number in range(TARGETS):
            await self._start_target(VERSIONS[number % 2])

    def change_configuration(self) -> None:
        """Writes a version that adds a route for probes, with the accounts, if any."""
        self._version = Version(self._version + self._rng.randint(1, 3))
        self._evidence.changes[self._version] = trio.current_time()
        common = {"host": "h", "service": "s", "timeout_ms": 3000, "attempts": 2}
        kinds = {"get": "idempotent", "once": "non_idempotent", "turn": "streaming"}
        has_accounts = self._accounts is not None
        if has_accounts:
            kinds["open"] = "idempotent"
        kinds |= {f"probe{version}": "idempotent" for version in self._evidence.changes}
        routes = [
            {
                "name": name,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "resumable": kind == "streaming",
                "anonymous": name == "open",
                "retention_enabled": has_accounts and kind == "streaming",
                **common,
            }
            for name, kind in kinds.items()
        ]
        services = [{"name": "s", "inference_engine": {"tokens_per_event": 1}}]
        value = {"version": self._version, "routes": routes, "services": services}
        if self._accounts is not None:
            value["tenants"] = self._accounts.build_tenants()
        self._platform.put("config", "main", value)
        if self._accounts is not None:
            self._accounts.record_change()

    async def run(self, seconds: float) -> None:
        """Injects faults for some seconds."""
        end = trio.current_time() + seconds
        if self._accounts is not None:
            self._nursery.start_soon(self._disturb_accounts, end)
        while trio.current_time() < end:
            self._nursery.start_soon(self._rng.choice(self._list_faults()))
            await trio.sleep(
                self._rng.uniform(MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS)
            )

    async def _disturb_accounts(self, end: float) -> None:
        """Changes keys and quotas beside the other faults, until a time."""
        faults: list[Fault] = [self._interrupt_store, self._change_keys]
        if self._has_quotas:
            faults.append(self._lower_quota)
        while trio.current_time() < end:
            for fault in faults:
                self._nursery.start_soon(fault)
                await trio.sleep(
                    self._rng.uniform(MIN_INTERVAL_SECONDS, 2 * MAX_INTERVAL_SECONDS)
                )

    def _list_faults(self) -> list[Fault]:
        return [
            self._stop_frontend,
            self._stop_frontend,
            self._kill_frontend,
            self._freeze_frontend,
            self._hang_up,
            self._disturb_member,
            self._change,
            self._change,
            self._replace_target,
            self._replace_target,
            self._crash_target,
            self._refuse_calls_of_store,
            self._silence_watches,
            self._limit_target,
            self._limit_target,
        ]

    def _draw_frontend(self) -> Machine | None:
        """Returns a frontend beside which another one works."""
        running = [each for each in self._frontends if not each.stopping]
        return self._rng.choice(running) if len(running) > 1 else None

    async def _stop_frontend(self) -> None:
        machine = self._draw_frontend()
        if machine is not None:
            await machine.terminate()

    async def _kill_frontend(self) -> None:
        machine = self._draw_frontend()
        if machine is not None:
            await machine.kill(self._rng.uniform(0, 1))

    async def _freeze_frontend(self) -> None:
        machine = self._draw_frontend()
        if machine is not None:
            await machine.freeze(self._rng.uniform(0.5, 4))

    async def _hang_up(self) -> None:
        machine = self._draw_frontend()
        if machine is not None:
            await machine.hang_up()

    async def _disturb_member(self) -> None:
        if any(each.stopping for each in self._members):
            return
        machine = self._rng.choice(self._members)
        if self._rng.random() < 0.5:
            await machine.kill(self._rng.uniform(0, 1))
        else:
            await machine.freeze(self._rng.uniform(0.5, 3))

    async def _change(self) -> None:
        await trio.lowlevel.checkpoint()
        self.change_configuration()

    async def _change_keys(self) -> None:
        """Revokes and adds keys in a series of configurations."""
        assert self._accounts is not None
        for _ in range(self._rng.randint(1, MAX_KEY_CHANGES)):
            self._accounts.change_keys()
            self.change_configuration()
            await trio.sleep(self._rng.uniform(0, MIN_INTERVAL_SECONDS))

    async def _interrupt_store(self) -> None:
        """Lets the store refuse or ignore some frontends while keys change.

        Half of the interruptions last longer than the revocation bound. Half of those
        of three frontends concern all, so that none can confirm the copies of others.
        """
        frontend_count = len(self._accesses)
        count = min(self._rng.randint(1, frontend_count + 1), frontend_count)
        state = self._rng.choice((AccessState.REFUSING, AccessState.SILENT))
        seconds = self._rng.uniform(0, 2 * REVOCATION_SECONDS)
        numbers = self._rng.sample(range(len(self._accesses)), count)
        async with trio.open_nursery() as nursery:
            for number in numbers:
                nursery.start_soon(self._interrupt_access, number, state, seconds)
            nursery.start_soon(self._change_keys)

    async def _interrupt_access(
        self, number: int, state: AccessState, seconds: float
    ) -> None:
        with self._record(STORE_ACCESS, self._frontends[number].name):
            await self._accesses[number].interrupt(state, seconds)

    async def _lower_quota(self) -> None:
        """Lowers the quota of an account for some time."""
        assert self._accounts is not None
        account = self._rng.choice(ACCOUNTS[1:])
        for rate in (LOWERED_RATE, INITIAL_RATE):
            self._accounts.set_rate(account, rate)
            self.change_configuration()
            await trio.sleep(self._rng.uniform(6, 12))

    async def _start_target(self, software: str) -> SoakTarget:
        self._target_count += 1
        target = SoakTarget(
            InstanceId(f"i-{self._target_count}"),
            software,
            platform=self._platform,
            evidence=self._evidence,
            rng=self._rng,
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

    async def _replace_target(self) -> None:
        """Starts a target, and lets another one leave, with or without notice."""
        await self._start_target(self._rng.choice(VERSIONS))
        target = self._draw_target()
        if target is None:
            return
        target.leaving = True
        if self._rng.random() < 0.5:
            target.write_entry("draining")
        elif self._rng.random() < 0.5:
            target.remove_entry()
        await trio.sleep(LEAVING_SECONDS + self._rng.uniform(0, 2))
        with self._record("target"):
            target.stop()
            target.remove_entry()

    async def _crash_target(self) -> None:
        target = self._draw_target()
        if target is None:
            return
        with self._record("target"):
            target.stop()
            await trio.sleep(self._rng.uniform(0.5, 2))
            target.remove_entry()
        await self._start_target(target.software)

    async def _refuse_calls_of_store(self) -> None:
        with self._record("outage", ALL_PROCESSES):
            self._platform.faults.outage = True
            self._platform.store.wake()
            await trio.sleep(self._rng.uniform(0.5, 4))
            self._platform.faults.outage = False

    async def _silence_watches(self) -> None:
        """Lets watches hear nothing; calls that do not wait are answered.

        This is no disturbance: a frontend must notice it in time.
        """
        self._platform.faults.deaf_watches = True
        await trio.sleep(self._rng.uniform(1, 5))
        self._platform.faults.deaf_watches = False

    async def _limit_target(self) -> None:
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

    @contextmanager
    def _record(self, kind: str, subject: str = "targets") -> Iterator[None]:
        began_at = trio.current_time()
        try:
            yield
        finally:
            self._evidence.disturbances.append(
                Disturbance(
                    kind=kind,
                    subject=subject,
                    start=0,
                    began_at=began_at,
                    ended_at=trio.current_time(),
                )
            )
