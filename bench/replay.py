"""Replays a trace through the HTTP interface and compares it with its expected outcome.

Without ``--entries``, the program starts a deployment with the settings in
``NAME.settings.json``. The exit code is 0 if the outcome equals that in
``NAME.expected.json``, 1 if it differs, and 2 if the arguments or files are invalid.
"""

import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import msgspec
import trio
from absl import app, flags
from hdrh.histogram import HdrHistogram

from goldcrestvane_common.settings import ServiceKind
from goldcrestvane_common.trace import InvalidTrace, Trace, parse_trace
from goldcrestvane_common.transport import Transport
from goldcrestvane_standins.deployment import Deployment, Plan, TargetPlan
from trace_replay.outcomes import (
    ExpectedOutcome,
    TraceSettings,
    count_outcomes,
    find_differences,
    get_request_kind,
)
from trace_replay.player import Player
from trace_replay.sender import RequestResult, Sender

FLAGS = flags.FLAGS
flags.DEFINE_string("trace", None, "File of the trace, NAME.jsonl.", required=True)
flags.DEFINE_list("entries", [], "Addresses (host:port) of running entries.")
flags.DEFINE_list(
    "tools", [], "Addresses (host:port) of tool stand-ins, to count side effects."
)
flags.DEFINE_multi_string("token", [], "TEAM=TOKEN for a team that requires a token.")
flags.DEFINE_float(
    "speed",
    1.0,
    "Factor by which the replay is faster than the trace.",
    lower_bound=0.01,
)

DOMAINS = ("north", "middle", "south")
TARGETS_PER_SERVICE = 3
MAX_MILLISECONDS = 600_000
SIGNIFICANT_DIGITS = 3


async def count_effects(transport: Transport, tools: Sequence[str]) -> dict[str, int]:
    """Returns the side effects by operation that tool stand-ins have recorded."""
    counts: Counter[str] = Counter()
    for tool in tools:
        response = await transport.send("GET", tool, "/control/record")
        for effect in msgspec.json.decode(response.body):
            counts[effect["operation"]] += 1
    return dict(counts)


def print_latencies(results: list[RequestResult]) -> None:
    """Prints the latencies of each kind of request on one line."""
    histograms: dict[str, HdrHistogram] = {}
    for result in results:
        kind = get_request_kind(result.record.path)
        histogram = histograms.setdefault(
            kind, HdrHistogram(1, MAX_MILLISECONDS, SIGNIFICANT_DIGITS)
        )
        histogram.record_value(max(1, round(result.seconds * 1000)))
    for kind, histogram in sorted(histograms.items()):
        print(
            f"  {kind:<24} {histogram.get_total_count():6} requests"
            f"  p50 {histogram.get_value_at_percentile(50):6} ms"
            f"  p99 {histogram.get_value_at_percentile(99):6} ms"
        )


async def replay(
    trace: Trace,
    expected: ExpectedOutcome,
    transport: Transport,
    *,
    entries: Sequence[str],
    tools: Sequence[str],
) -> list[str]:
    """Replays a trace and returns the differences from its expected outcome."""
    tokens = dict(item.split("=", 1) for item in FLAGS.token)
    sender = Sender(transport, entries, tokens=tokens)
    results = await Player(trace, sender, speed=FLAGS.speed).play()
    print_latencies(results)
    repeated = sum(result.attempts > 1 for result in results)
    print(f"  {repeated} of {len(results)} requests were sent more than once")
    differences = find_differences(expected.requests, count_outcomes(results))
    if not tools:
        print("  side effects were not counted because --tools is not set")
        return differences
    effects = await count_effects(transport, tools)
    counted = {name: effects.get(name, 0) for name in expected.effects}
    print(f"  side effects at the tools: {counted}")
    return differences + find_differences(expected.effects, counted)


def build_plan(settings: TraceSettings) -> Plan:
    """Returns the plan of a deployment with every service that the teams may call."""
    kinds = {
        name: service.kind
        for team in settings.teams.values()
        for name, service in team.services.items()
    }
    targets = tuple(
        TargetPlan(service=name, kind=kind.value, count=TARGETS_PER_SERVICE)
        for name, kind in sorted(kinds.items())
    )
    return Plan(
        domains=DOMAINS, targets=targets, teams=settings.teams, log_level="WARNING"
    )


def list_tools(deployment: Deployment, settings: TraceSettings) -> list[str]:
    """Returns the addresses of the tool stand-ins in a deployment."""
    tools = {
        f"target-{name}-{number}"
        for team in settings.teams.values()
        for name, service in team.services.items()
        if service.kind is ServiceKind.TOOL
        for number in range(TARGETS_PER_SERVICE)
    }
    return [deployment.processes[name].address for name in sorted(tools)]


async def run(trace: Trace, expected: ExpectedOutcome, settings: TraceSettings) -> int:
    """Replays against the entries of ``--entries``, or against a new deployment."""
    if FLAGS.entries:
        async with Transport() as transport:
            differences = await replay(
                trace, expected, transport, entries=FLAGS.entries, tools=FLAGS.tools
            )
        return report(differences)
    with tempfile.TemporaryDirectory(prefix="goldcrestvane-replay-") as folder:
        async with Deployment(build_plan(settings), Path(folder)) as deployment:
            entries = [
                process.address
                for name, process in deployment.processes.items()
                if name.startswith("entry-")
            ]
            differences = await replay(
                trace,
                expected,
                deployment.transport,
                entries=entries,
                tools=list_tools(deployment, settings),
            )
    return report(differences)


def report(differences: list[str]) -> int:
    """Prints the differences and returns the exit code."""
    for difference in differences:
        print(f"DIFFERENCE: {difference}")
    print("outcome NOT as stated" if differences else "outcome as stated")
    return 1 if differences else 0


def main(arguments: list[str]) -> None:
    """Reads the files of the trace and replays it."""
    if len(arguments) > 1:
        print(f"Got argument {arguments[1]!r}; expected flags only.", file=sys.stderr)
        sys.exit(2)
    path = Path(FLAGS.trace)
    try:
        trace = parse_trace(path.read_bytes().splitlines())
        expected = msgspec.json.decode(
            path.with_suffix(".expected.json").read_bytes(), type=ExpectedOutcome
        )
        settings = msgspec.json.decode(
            path.with_suffix(".settings.json").read_bytes(), type=TraceSettings
        )
    except (OSError, InvalidTrace, msgspec.DecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        sys.exit(2)
    print(f"{path.name}: {len(trace.records)} requests at {FLAGS.speed:g} times speed")
    sys.exit(trio.run(run, trace, expected, settings))


if __name__ == "__main__":
    app.run(main)
