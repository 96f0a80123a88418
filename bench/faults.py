"""Runs a seeded schedule of faults under load and checks the ten properties.

The exit code is 0 if no breach was found, and 1 otherwise. A seed gives the same faults
in each run, but the calls that a fault affects depend on the timing of the machine.
"""

import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

import msgspec
import trio
from absl import app, flags

from bench.checker import CHECKS
from bench.checker.evidence_index import EvidenceIndex
from bench.checker.records import AttemptOutcome, Breach, Evidence, Property
from bench.faultrun.faults import FaultInjector
from bench.faultrun.load import Load, count_answers
from bench.faultrun.plan import SMALL_TEAM, SMALL_TEAM_BUDGET, build_plan
from bench.faultrun.recorder import Recorder
from goldcrestvane_standins.deployment import Deployment

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the schedule.")
_SECONDS = flags.DEFINE_float("seconds", 22.0, "Seconds of faults under load.")
_KEEP = flags.DEFINE_string(
    "keep", "", "Folder in which the logs and the evidence stay."
)

PLANNED_SHARE = 0.35
"""Share of a schedule that has planned stops instead of random faults."""
WARM_UP_SECONDS = 2.0
MIN_FAULT_INTERVAL_SECONDS = 0.4
MAX_FAULT_INTERVAL_SECONDS = 2.0
QUIET_SECONDS = 6.5
"""Pause in which the last disturbance ends before the planned stops begin."""
MAX_PRINTED = 5
LOAD_STOP_TIMEOUT_SECONDS = 120.0


async def run_random_faults(
    faults: FaultInjector, rng: random.Random, end: float
) -> None:
    """Injects random faults, which may overlap, until the time `end`."""
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            nursery.start_soon(rng.choice(faults.list_random_faults()))
            interval = rng.uniform(
                MIN_FAULT_INTERVAL_SECONDS, MAX_FAULT_INTERVAL_SECONDS
            )
            await trio.sleep(interval)


async def run_planned_stops(
    faults: FaultInjector, rng: random.Random, end: float
) -> None:
    """Runs planned stops and concurrent settings writes in turn until `end`."""
    while trio.current_time() < end:
        await faults.stop_daemon()
        await faults.race_settings()


async def run_schedule(
    faults: FaultInjector, rng: random.Random, *, seconds: float
) -> None:
    """Runs the planned stops and the random faults, in a random order."""
    planned = seconds * PLANNED_SHARE
    await trio.sleep(WARM_UP_SECONDS)
    if rng.random() < 0.5:
        await run_planned_stops(faults, rng, trio.current_time() + planned)
        end = trio.current_time() + seconds - planned
        await run_random_faults(faults, rng, end)
        return
    end = trio.current_time() + seconds - planned - QUIET_SECONDS
    await run_random_faults(faults, rng, end)
    await trio.sleep(QUIET_SECONDS)
    await run_planned_stops(faults, rng, trio.current_time() + planned)


async def collect_evidence(
    folder: Path, rng: random.Random, *, seconds: float
) -> tuple[Evidence, Counter[str]]:
    """Runs faults under load; returns the evidence and the count of each fault."""
    evidence = Evidence(team_budgets={SMALL_TEAM: SMALL_TEAM_BUDGET})
    async with Deployment(build_plan(), folder) as deployment:
        recorder = Recorder(deployment, evidence)
        load = Load(deployment, evidence, rng)
        schedule = random.Random(rng.getrandbits(32))
        faults = FaultInjector(deployment, recorder, evidence, schedule)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(recorder.poll_settings)
            async with trio.open_nursery() as work:
                work.start_soon(load.run)
                await run_schedule(faults, schedule, seconds=seconds)
                load.is_stopping = True
                work.cancel_scope.deadline = (
                    trio.current_time() + LOAD_STOP_TIMEOUT_SECONDS
                )
            await recorder.collect_all()
            nursery.cancel_scope.cancel()
    return evidence, faults.counts


def describe_coverage(evidence: Evidence) -> dict[Property, str]:
    """Returns a description of the evidence on which each property was checked."""
    once = {item.call for item in evidence.attempts if item.once}
    outcomes = Counter(item.outcome.value for item in evidence.attempts)
    ended = sum(item.ended is not None for item in evidence.programs)
    calls = len({item.call for item in evidence.attempts})
    return {
        Property.ORDER: f"{calls} calls of {len(evidence.programs)} programs",
        Property.HISTORY: f"{len(evidence.runs)} engine runs",
        Property.BUDGET: (
            f"{sum(item.budget.tokens is not None for item in evidence.programs)} "
            f"programs and {len(evidence.team_budgets)} team with budgets"
        ),
        Property.ENGINE_MEMORY: f"{ended} ended programs",
        Property.WHOLE_ANSWERS: f"{count_answers(evidence)} answers",
        Property.NOT_RUN: (
            f"{outcomes['not_run']} not run, {outcomes['refused_final']} refused"
        ),
        Property.AT_MOST_ONCE: (
            f"{len(once)} non-repeatable calls, {outcomes['unknown']} unknown, "
            f"{outcomes['broken']} broken attempts"
        ),
        Property.LEAVING: f"{len(evidence.departures)} departures",
        Property.PLANNED_STOP: f"{len(evidence.stops)} planned stops",
        Property.SETTINGS: (
            f"{len(evidence.settings_writes)} writes, "
            f"{len(evidence.settings_seen)} reports"
        ),
    }


def describe_calls(evidence: Evidence) -> str:
    """Returns the number of calls with each outcome that their callers know."""
    last = {item.call: item.outcome for item in evidence.attempts}
    answered = {
        item.call
        for item in evidence.attempts
        if item.outcome is AttemptOutcome.ANSWERED
    }
    others = Counter(
        outcome.value for call, outcome in last.items() if call not in answered
    )
    counts = {"answered": len(answered), **others}
    return ", ".join(f"{count} {name}" for name, count in counts.items())


def print_property(name: Property, breaches: list[Breach], coverage: str) -> None:
    """Prints a line for a property, and its first breaches with their evidence."""
    result = f"{len(breaches)} BREACHES" if breaches else "held"
    print(f"{name.value:<15} {result:<12} {coverage}")
    for breach in breaches[:MAX_PRINTED]:
        print(f"    {breach.description}")
        for line in breach.evidence[:MAX_PRINTED]:
            print(f"        {line}")


def report_properties(evidence: Evidence) -> int:
    """Prints the result for each property and returns the number of breaches."""
    index = EvidenceIndex(evidence)
    coverage = describe_coverage(evidence)
    total = 0
    for name, check in CHECKS.items():
        breaches = list(check(evidence, index))
        total += len(breaches)
        print_property(name, breaches, coverage[name])
    return total


def run(folder: Path) -> int:
    """Runs the schedule of the seed in a folder and returns the exit code."""
    rng = random.Random(_SEED.value)

    async def collect() -> tuple[Evidence, Counter[str]]:
        return await collect_evidence(folder, rng, seconds=_SECONDS.value)

    evidence, counts = trio.run(collect)
    (folder / "evidence.json").write_bytes(msgspec.json.encode(evidence))
    faults = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
    print(f"seed {_SEED.value}: {faults}")
    print(f"calls: {describe_calls(evidence)}")
    breaches = report_properties(evidence)
    print(f"seed {_SEED.value}: {breaches} breaches")
    return 1 if breaches else 0


def main(arguments: list[str]) -> int:
    """Runs in the folder of ``--keep``, or else in a temporary one."""
    if len(arguments) > 1:
        raise app.UsageError(f"Got {arguments[1:]}; expected flags only.")
    if _KEEP.value:
        return run(Path(_KEEP.value))
    with tempfile.TemporaryDirectory() as folder:
        return run(Path(folder))


if __name__ == "__main__":
    sys.exit(app.run(main))
