"""Runs a seeded soak of frontends and ledger members and checks the rules.

Deployments of even seeds have client accounts. With `--quotas` these are limited. With
`--outages` several processes fail at once, beside the other faults of the seed.

The exit code is 0 if no rule was broken, and 1 otherwise. A seed gives the same faults in
each run; which requests they meet depends on the timing of the machine.
"""

import random
import sys
import tempfile
from pathlib import Path

import msgspec
import trio
from absl import app, flags

from bench.soak.account_checks import (
    ACCOUNT_CHECKS,
    QUOTA_CHECKS,
    TIMED_ACCOUNT_CHECKS,
)
from bench.soak.accounts import ACCOUNTS, KEY_PREFIX, SoakAccounts
from bench.soak.checks import CHECKS, TIMED_CHECKS
from bench.soak.clients import PAUSE_SECONDS, PLAIN_STREAM_SHARE, SoakClient
from bench.soak.faults import SoakFaults
from bench.soak.machines import CONTROL_PORT, Machine, build_prefix
from bench.soak.outages import SoakOutages
from bench.soak.process_checks import PROCESS_CHECKS, TIMED_PROCESS_CHECKS
from bench.soak.records import Evidence
from bench.soak.store_access import StoreAccess
from bench.soak.summary import print_breaches, summarize
from bench.soak.target_faults import TargetFaults
from goldcrestvane_common.server import Application, serve_http
from goldcrestvane_standins.platformstore import PlatformStore

SETTLE_SECONDS = 6.0
"""Time after the last fault in which the processes restart and clients finish."""


class SoakOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of one run.

    Attributes:
        seed: Seed of the faults and of the clients.
        seconds: Duration of the faults.
        frontends: Number of frontends.
        members: Number of ledger members.
        clients: Number of clients.
        has_quotas: Whether accounts are limited; without effect without accounts.
        has_outages: Whether several processes fail at once and disks are lost.
    """

    seed: int = 1
    seconds: float = 20.0
    frontends: int = 3
    members: int = 3
    clients: int = 12
    has_quotas: bool = False
    has_outages: bool = False

    @property
    def has_accounts(self) -> bool:
        """Whether the deployment has client accounts: that of every second seed."""
        return self.seed % 2 == 0


async def run_soak(options: SoakOptions, folder: Path) -> Evidence:
    """Runs one soak and returns what was observed."""
    rng = random.Random(options.seed)
    evidence, platform = Evidence(), PlatformStore()
    machines: list[Machine] = []
    try:
        async with trio.open_nursery() as nursery:
            application = Application(platform.build_router())
            store = await nursery.start(serve_http, application, "127.0.0.1:0")
            accesses = [
                StoreAccess(platform.build_router()) for _ in range(options.frontends)
            ]
            stores = {("ledger", number): store for number in range(options.members)}
            for number, access in enumerate(accesses):
                application = Application(access.build_router())
                stores["frontend", number] = await nursery.start(
                    serve_http, application, "127.0.0.1:0"
                )
            counts = {"ledger": options.members, "frontend": options.frontends}
            prefix = build_prefix()
            machines += [
                Machine(
                    role=role,
                    number=number,
                    prefix=prefix,
                    seeds=[f"{prefix}.1:{CONTROL_PORT}"],
                    store=stores[role, number],
                    folder=folder,
                    evidence=evidence,
                )
                for role, count in counts.items()
                for number in range(count)
            ]
            members = machines[: options.members]
            frontends = machines[options.members :]
            accounts = (
                SoakAccounts(evidence, rng, has_quotas=options.has_quotas)
                if options.has_accounts
                else None
            )
            targets = TargetFaults(
                platform=platform,
                evidence=evidence,
                rng=rng,
                nursery=nursery,
                has_outages=options.has_outages,
            )
            faults = SoakFaults(
                frontends=frontends,
                members=members,
                platform=platform,
                evidence=evidence,
                rng=rng,
                nursery=nursery,
                targets=targets,
                accesses=accesses,
                accounts=accounts,
                has_quotas=options.has_accounts and options.has_quotas,
            )
            faults.change_configuration()
            await targets.start_targets()
            for machine in machines:
                machine.start()
            for machine in machines:
                await machine.wait_until_listening()
                nursery.start_soon(machine.run)
            for number in range(options.clients):
                client_rng = random.Random(f"{options.seed} {number}")
                client = SoakClient(
                    frontends,
                    evidence,
                    client_rng,
                    account=ACCOUNTS[number % len(ACCOUNTS)] if accounts else None,
                    pause_seconds=0.0 if options.has_quotas else PAUSE_SECONDS,
                    plain_stream_share=PLAIN_STREAM_SHARE if options.has_outages else 0,
                )
                nursery.start_soon(client.run)
            if options.has_outages:
                outages = SoakOutages(
                    frontends=frontends,
                    members=members,
                    evidence=evidence,
                    rng=random.Random(f"{options.seed} outages"),
                    nursery=nursery,
                    targets=targets,
                )
                nursery.start_soon(outages.run, options.seconds)
            await faults.run(options.seconds)
            await trio.sleep(SETTLE_SECONDS)
            nursery.cancel_scope.cancel()
    finally:
        for machine in machines:
            machine.end()
    evidence.logs_with_keys += find_logs_with_keys(folder)
    return evidence


def find_logs_with_keys(folder: Path) -> list[str]:
    """Returns the names of the logs that contain an API key."""
    return [
        path.name
        for path in folder.glob("*.log")
        if KEY_PREFIX.encode() in path.read_bytes()
    ]


def list_breaches(
    evidence: Evidence, *, timed: bool, has_quotas: bool = False
) -> list[str]:
    """Returns the breaches of all rules, those with time bounds only if asked for."""
    checks = {**CHECKS, **ACCOUNT_CHECKS, **PROCESS_CHECKS}
    if timed:
        checks |= {**TIMED_CHECKS, **TIMED_ACCOUNT_CHECKS, **TIMED_PROCESS_CHECKS}
    if timed and has_quotas:
        checks |= QUOTA_CHECKS
    return [
        f"{rule}: {breach}"
        for rule, find in checks.items()
        for breach in find(evidence)
    ]


_SEED = flags.DEFINE_integer("seed", 1, "First seed.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "Number of seeds.")
_SECONDS = flags.DEFINE_float("seconds", 20.0, "Seconds of faults for each seed.")
_FRONTENDS = flags.DEFINE_integer("frontends", 3, "Number of frontends.")
_MEMBERS = flags.DEFINE_integer("members", 3, "Number of ledger members.")
_CLIENTS = flags.DEFINE_integer("clients", 12, "Number of clients.")
_TIMED = flags.DEFINE_bool("timed", True, "Whether rules with time bounds are checked.")
_QUOTAS = flags.DEFINE_bool("quotas", False, "Whether accounts are limited.")
_OUTAGES = flags.DEFINE_bool("outages", False, "Whether several processes fail.")
_KEEP = flags.DEFINE_string("keep", "", "Folder in which logs stay.")


def main(arguments: list[str]) -> int:
    """Runs one soak for each seed."""
    del arguments
    failed = 0
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        options = SoakOptions(
            seed=seed,
            seconds=_SECONDS.value,
            frontends=_FRONTENDS.value,
            members=_MEMBERS.value,
            clients=_CLIENTS.value,
            has_quotas=_QUOTAS.value,
            has_outages=_OUTAGES.value,
        )
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(_KEEP.value or temporary) / str(seed)
            folder.mkdir(parents=True)
            evidence = trio.run(run_soak, options, folder)
        breaches = list_breaches(evidence, timed=_TIMED.value, has_quotas=_QUOTAS.value)
        print(
            f"seed {seed}: {len(breaches)} breaches; {summarize(evidence)}", flush=True
        )
        print_breaches(breaches)
        failed += bool(breaches)
    print(f"{_SEEDS.value - failed} seeds without a breach, {failed} with one")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
