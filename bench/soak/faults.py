"""Draws faults and planned work of a soak; they come in series and overlap."""

import random
from collections.abc import Awaitable, Callable
from typing import final

import trio

from bench.soak.accounts import ACCOUNTS, INITIAL_RATE, LOWERED_RATE, SoakAccounts
from bench.soak.checks import (
    ALL_PROCESSES,
    REVOCATION_SECONDS,
    STORE_ACCESS,
)
from bench.soak.machines import Machine
from bench.soak.records import Evidence
from bench.soak.store_access import AccessState, StoreAccess
from bench.soak.target_faults import TargetFaults
from goldcrestvane_common.ids import Version
from goldcrestvane_standins.platformstore import PlatformStore

MIN_INTERVAL_SECONDS = 0.3
MAX_INTERVAL_SECONDS = 1.5
MAX_KEY_CHANGES = 4

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
        targets: TargetFaults,
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
        self._targets = targets
        self._accesses = accesses
        self._accounts = accounts
        self._has_quotas = has_quotas
        self._version = Version(0)

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
            self._targets.replace_target,
            self._targets.replace_target,
            self._targets.crash_target,
            self._refuse_calls_of_store,
            self._silence_watches,
            self._targets.limit_target,
            self._targets.limit_target,
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
        with self._evidence.record(STORE_ACCESS, self._frontends[number].name):
            await self._accesses[number].interrupt(state, seconds)

    async def _lower_quota(self) -> None:
        """Lowers the quota of an account for some time."""
        assert self._accounts is not None
        account = self._rng.choice(ACCOUNTS[1:])
        for rate in (LOWERED_RATE, INITIAL_RATE):
            self._accounts.set_rate(account, rate)
            self.change_configuration()
            await trio.sleep(self._rng.uniform(6, 12))

    async def _refuse_calls_of_store(self) -> None:
        with self._evidence.record("outage", ALL_PROCESSES):
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
