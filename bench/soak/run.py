"""Runs a seeded soak of frontends and ledger members and checks the rules.

The exit code is 0 if no rule was broken, and 1 otherwise. A seed gives the same faults in
each run; which requests they meet depends on the timing of the machine.
"""

import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

import msgspec
import trio
from absl import app, flags

from bench.soak.checks import CHECKS, TIMED_CHECKS
from bench.soak.clients import SoakClient
from bench.soak.faults import SoakFaults
from bench.soak.machines import CONTROL_PORT, Machine, build_prefix
from bench.soak.records import Evidence
from goldcrestvane_common.server import Application, serve_http
from goldcrestvane_standins.platformstore import PlatformStore

SETTLE_SECONDS = 6.0
"""Time after the last fault in which the processes restart and clients finish."""

MAX_PRINTED = 3


class SoakOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of one run.

    Attributes:
        seed: Seed of the faults and of the clients.
        seconds: Duration of the faults.
        frontends: Number of frontends.
        members: Number of ledger members.
        clients: Number of clients.
    """

    seed: int = 1
    seconds: float = 20.0
    frontends: int = 3
    members: int = 3
    clients: int = 12


async def run_soak(options: SoakOptions, folder: Path) -> Evidence:
    """Runs one soak and returns what was observed."""
    rng = random.Random(options.seed)
    evidence, platform = Evidence(), PlatformStore()
    machines: list[Machine] = []
    try:
        async with trio.open_nursery() as nursery:
            application = Application(platform.build_router())
            store = await nursery.start(serve_http, application, "127.0.0.1:0")
            counts = {"ledger": options.members, "frontend": options.frontends}
            prefix = build_prefix()
            machines += [
                Machine(
                    role=role,
                    number=number,
                    prefix=prefix,
                    seeds=[f"{prefix}.1:{CONTROL_PORT}"],
                    store=store,
                    folder=folder,
                    evidence=evidence,
                )
                for role, count in counts.items()
                for number in range(count)
            ]
            members = machines[: options.members]
            frontends = machines[options.members :]
            faults = SoakFaults(
                frontends=frontends,
                members=members,
                platform=platform,
                evidence=evidence,
                rng=rng,
                nursery=nursery,
            )
            faults.change_configuration()
            await faults.start_targets()
            for machine in machines:
                machine.start()
            for machine in machines:
                await machine.wait_until_listening()
            for number in range(options.clients):
                client_rng = random.Random(f"{options.seed} {number}")
                client = SoakClient(frontends, evidence, client_rng)
                nursery.start_soon(client.run)
            await faults.run(options.seconds)
            await trio.sleep(SETTLE_SECONDS)
            nursery.cancel_scope.cancel()
    finally:
        for machine in machines:
            machine.end()
    return evidence


def list_breaches(evidence: Evidence, *, timed: bool) -> list[str]:
    """Returns the breaches of all rules, those with time bounds only if asked for."""
    checks = {**CHECKS, **TIMED_CHECKS} if timed else CHECKS
    return [
        f"{rule}: {breach}"
        for rule, find in checks.items()
        for breach in find(evidence)
    ]


def summarize(evidence: Evidence) -> str:
    """Returns the numbers of attempts by kind and status, and of faults by kind."""
    attempts = Counter(f"{a.kind.value} {a.status}" for a in evidence.attempts)
    faults = Counter(each.kind for each in evidence.disturbances)
    resumed = sum(a.stream != a.call and a.status == 200 for a in evidence.attempts)
    return f"{dict(attempts)} resumed {resumed} faults {dict(faults)}"


def print_breaches(breaches: list[str]) -> None:
    """Prints the number of breaches of each rule and the first of them."""
    rules = [breach.partition(":")[0] for breach in breaches]
    for rule, count in Counter(rules).items():
        print(f"  {rule}: {count}")
        found = [each for each in breaches if each.startswith(f"{rule}:")]
        for breach in found[:MAX_PRINTED]:
            print(f"    {breach}", flush=True)


_SEED = flags.DEFINE_integer("seed", 1, "First seed.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "Number of seeds.")
_SECONDS = flags.DEFINE_float("seconds", 20.0, "Seconds of faults for each seed.")
_FRONTENDS = flags.DEFINE_integer("frontends", 3, "Number of frontends.")
_MEMBERS = flags.DEFINE_integer("members", 3, "Number of ledger members.")
_CLIENTS = flags.DEFINE_integer("clients", 12, "Number of clients.")
_TIMED = flags.DEFINE_bool("timed", True, "Whether rules with time bounds are checked.")
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
        )
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(_KEEP.value or temporary) / str(seed)
            folder.mkdir(parents=True)
            evidence = trio.run(run_soak, options, folder)
        breaches = list_breaches(evidence, timed=_TIMED.value)
        print(
            f"seed {seed}: {len(breaches)} breaches; {summarize(evidence)}", flush=True
        )
        print_breaches(breaches)
        failed += bool(breaches)
    print(f"{_SEEDS.value - failed} seeds without a breach, {failed} with one")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
