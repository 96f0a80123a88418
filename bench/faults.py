"""Runs a seeded schedule of faults under load and checks the ten properties.

Exit code 0 means that no breach was found. The faults of a seed are the same on each
run; what they meet depends on the machine.
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
from bench.checker.records import AttemptOutcome, Breach, Evidence, Property
from bench.checker.traces import Trace
from bench.faultrun.faults import Faults
from bench.faultrun.load import Load, count_answers
from bench.faultrun.plan import SMALL_TEAM, SMALL_TEAM_BUDGET, build_plan
from bench.faultrun.recorder import Recorder
from goldcrestvane_standins.deployment import Deployment

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the schedule.")
_SECONDS = flags.DEFINE_float("seconds", 22.0, "Seconds of faults under load.")
_KEEP = flags.DEFINE_string("keep", "", "Folder that keeps the logs and the evidence.")

PLANNED_SHARE = 0.35
WARM_UP_SECONDS = 2.0
SHORTEST_GAP_SECONDS = 0.4
LONGEST_GAP_SECONDS = 2.0
QUIET_SECONDS = 6.5
MAX_SHOWN = 5
LOAD_GIVE_UP_SECONDS = 120.0


async def run_unplanned(faults: Faults, generator: random.Random, end: float) -> None:
    """Brings unplanned faults about, up to several at once, until `end`."""
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            nursery.start_soon(generator.choice(faults.list_unplanned()))
            gap = generator.uniform(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS)
            await trio.sleep(gap)


async def run_planned(faults: Faults, generator: random.Random, end: float) -> None:
    """Brings planned stops about, one after another, until `end`."""
    while trio.current_time() < end:
        await faults.stop_daemon()
        await faults.race_settings()


async def run_schedule(
    faults: Faults, generator: random.Random, *, seconds: float
) -> None:
    """Runs the planned part and the unplanned part, in an order that is drawn."""
    planned = seconds * PLANNED_SHARE
    await trio.sleep(WARM_UP_SECONDS)
    if generator.random() < 0.5:
        await run_planned(faults, generator, trio.current_time() + planned)
        end = trio.current_time() + seconds - planned
        await run_unplanned(faults, generator, end)
        return
    end = trio.current_time() + seconds - planned - QUIET_SECONDS
    await run_unplanned(faults, generator, end)
    await trio.sleep(QUIET_SECONDS)
    await run_planned(faults, generator, trio.current_time() + planned)


async def collect_evidence(
    folder: Path, generator: random.Random, *, seconds: float
) -> tuple[Evidence, Counter[str]]:
    """Runs load and faults and returns what they left behind."""
    evidence = Evidence(team_budgets={SMALL_TEAM: SMALL_TEAM_BUDGET})
    async with Deployment(build_plan(), folder) as deployment:
        recorder = Recorder(deployment, evidence)
        load = Load(deployment, evidence, generator)
        schedule = random.Random(generator.getrandbits(32))
        faults = Faults(deployment, recorder, evidence, schedule)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(recorder.watch_settings)
            async with trio.open_nursery() as work:
                work.start_soon(load.run)
                await run_schedule(faults, schedule, seconds=seconds)
                load.is_stopping = True
                work.cancel_scope.deadline = trio.current_time() + LOAD_GIVE_UP_SECONDS
            await recorder.keep_all()
            nursery.cancel_scope.cancel()
    return evidence, faults.counts


def describe_trials(evidence: Evidence) -> dict[Property, str]:
    """Returns what was tried for each property."""
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
            f"{len(once)} calls not to be repeated, {outcomes['unknown']} unknown, "
            f"{outcomes['broken']} broken attempts"
        ),
        Property.LEAVING: f"{len(evidence.departures)} departures",
        Property.PLANNED_STOP: f"{len(evidence.stops)} planned stops",
        Property.SETTINGS: (
            f"{len(evidence.settings_writes)} writes, "
            f"{len(evidence.settings_seen)} looks"
        ),
    }


def describe_calls(evidence: Evidence) -> str:
    """Returns how many calls ended in which way, as their callers know it."""
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


def print_property(name: Property, breaches: list[Breach], trial: str) -> None:
    """Prints one line a property, and the first breaches with their evidence."""
    verdict = f"{len(breaches)} BREACHES" if breaches else "held"
    print(f"{name.value:<15} {verdict:<12} {trial}")
    for breach in breaches[:MAX_SHOWN]:
        print(f"    {breach.description}")
        for line in breach.evidence[:MAX_SHOWN]:
            print(f"        {line}")


def judge(evidence: Evidence) -> int:
    """Prints the verdict on each property and returns the number of breaches."""
    trace = Trace(evidence)
    trials = describe_trials(evidence)
    total = 0
    for name, check in CHECKS.items():
        breaches = list(check(evidence, trace))
        total += len(breaches)
        print_property(name, breaches, trials[name])
    return total


def run(folder: Path) -> int:
    """Runs one seed and returns the exit code."""
    generator = random.Random(_SEED.value)

    async def collect() -> tuple[Evidence, Counter[str]]:
        return await collect_evidence(folder, generator, seconds=_SECONDS.value)

    evidence, counts = trio.run(collect)
    (folder / "evidence.json").write_bytes(msgspec.json.encode(evidence))
    faults = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
    print(f"seed {_SEED.value}: {faults}")
    print(f"calls: {describe_calls(evidence)}")
    breaches = judge(evidence)
    print(f"seed {_SEED.value}: {breaches} breaches")
    return 1 if breaches else 0


def main(arguments: list[str]) -> int:
    """Runs one seed in a folder that is kept when asked for."""
    if len(arguments) > 1:
        raise app.UsageError(f"Got {arguments[1:]}; expected flags only.")
    if _KEEP.value:
        return run(Path(_KEEP.value))
    with tempfile.TemporaryDirectory() as folder:
        return run(Path(folder))


if __name__ == "__main__":
    sys.exit(app.run(main))
