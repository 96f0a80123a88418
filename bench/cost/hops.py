"""Measures calls and chunks on the product's path and on two bare hops."""

import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, final

import msgspec

from cost.load import Call, LoadResult, run_load
from cost.usage import Meter
from goldcrestvane_common.settings import (
    OperationSettings,
    ProgramSettings,
    ServiceKind,
    ServiceSettings,
    TeamSettings,
)
from goldcrestvane_common.transport import Transport
from goldcrestvane_standins.caller import Caller
from goldcrestvane_standins.deployment import (
    Deployment,
    ManagedProcess,
    Plan,
    TargetPlan,
)
from goldcrestvane_standins.runs import Message, build_answer

TEAM = "cost"
KIND = "probe"
MODEL = "engine"
TOOL = "tool"
QUESTION = "which of the two lasts has the lower drop in millimetres"
FEW_TOKENS = 4
MANY_TOKENS = len(build_answer((Message(role="user", content=QUESTION),)))
"""Tokens of the stand-in's whole answer, whose length depends on the question."""
WORKERS = 8
WARM_UP_CALLS = 5
RELAY_FILE = Path(__file__).with_name("relay.py")

PLAN = Plan(
    domains=("a",),
    targets=(
        TargetPlan(
            service=MODEL,
            kind="model",
            count=1,
            slots=64,
            options=("--token-seconds=0.002", "--prefill-token-seconds=0"),
        ),
    ),
    teams={
        TEAM: TeamSettings(
            programs={KIND: ProgramSettings()},
            services={
                MODEL: ServiceSettings(kind=ServiceKind.MODEL),
                TOOL: ServiceSettings(
                    kind=ServiceKind.TOOL,
                    operations={
                        "read": OperationSettings(idempotent=True),
                        "write": OperationSettings(idempotent=False),
                    },
                ),
            },
        )
    },
    entries=1,
    shard_count=8,
    log_level="WARNING",
)
TOOL_PLAN = TargetPlan(service=TOOL, kind="tool", count=1, slots=64)


class PlatformCounts(msgspec.Struct, frozen=True):
    """Number of calls that the object API has served, by kind."""

    reads: int
    writes: int
    watches: int
    conflicts: int

    def subtract(self, earlier: "PlatformCounts") -> "PlatformCounts":
        """Returns the calls since an earlier count."""
        return PlatformCounts(
            self.reads - earlier.reads,
            self.writes - earlier.writes,
            self.watches - earlier.watches,
            self.conflicts - earlier.conflicts,
        )


async def count_platform(deployment: Deployment) -> PlatformCounts:
    """Returns the call counts of the object API."""
    reply = await deployment.request("objectapi", "GET", "/control/counts")
    return reply.decode(PlatformCounts)


@final
@dataclass(frozen=True, kw_only=True)
class Sample:
    """Measurements of one run of calls.

    Attributes:
        load: Latencies and rate of the calls.
        cpu: Processor seconds per call, by process.
        platform: Total calls to the object API, or None without an object API.
    """

    load: LoadResult
    cpu: Mapping[str, float]
    platform: PlatformCounts | None = None

    @property
    def total_cpu_seconds(self) -> float:
        """Processor seconds per call, summed over the processes."""
        return sum(self.cpu.values())


async def measure(
    workers: list[Call],
    pids: Mapping[str, int],
    *,
    calls_each: int,
    warm_up: int = WARM_UP_CALLS,
    deployment: Deployment | None = None,
) -> Sample:
    """Runs calls after a warm-up and returns their measurements."""
    await run_load(workers, calls_each=warm_up)
    counts_before = await count_platform(deployment) if deployment else None
    meter = Meter(pids)
    load = await run_load(workers, calls_each=calls_each)
    cpu = {name: seconds / load.count for name, seconds in meter.read_cpu().items()}
    platform = None
    if deployment is not None and counts_before is not None:
        platform = (await count_platform(deployment)).subtract(counts_before)
    return Sample(load=load, cpu=cpu, platform=platform)


@final
class BareHops:
    """Two bare relays in series in front of a target."""

    def __init__(self, folder: Path, target: str) -> None:
        self._folder = folder
        self._target = target
        self.processes: dict[str, ManagedProcess] = {}
        self.first = ""

    def start(self) -> None:
        """Starts both relays, beginning with the one next to the target."""
        peer = self._target
        for name in ("relay-2", "relay-1"):
            command = [sys.executable, str(RELAY_FILE), f"--next={peer}"]
            process = ManagedProcess(name, command, self._folder / f"{name}.log")
            output = process.start("--listen=127.0.0.1:0")
            process.address = output.readline().removeprefix("listening ").strip()
            self.processes[name] = process
            peer = process.address
        self.first = peer

    def stop(self) -> None:
        """Kills the relays."""
        for process in self.processes.values():
            process.kill()

    @property
    def pids(self) -> dict[str, int]:
        """Process ids by name."""
        return {name: process.pid for name, process in self.processes.items()}


def build_bare_call(
    transport: Transport, peer: str, *, tokens: int, stream: bool
) -> Call:
    """Returns a function that calls an engine through the bare hops."""
    body: dict[str, Any] = {
        "model": MODEL,
        "messages": [{"role": "user", "content": QUESTION}],
        "max_tokens": tokens,
        "stream": stream,
    }

    async def call() -> None:
        path = "/v1/chat/completions"
        response = await transport.send("POST", peer, path, value=body)
        if response.status != 200 or (stream and b"[DONE]" not in response.body):
            raise RuntimeError(f"bare hops: {response.status} {response.body[:200]!r}")

    return call


async def build_chat_call(
    deployment: Deployment, program: str, *, tokens: int, stream: bool
) -> Call:
    """Begins a program and returns a function that makes its model calls."""
    caller = await begin_program(deployment, program)

    async def call() -> None:
        result = await caller.chat(MODEL, QUESTION, max_tokens=tokens, stream=stream)
        if result.error is not None or result.attempts != 1:
            raise RuntimeError(f"call {result.sequence}: {result.error}")

    return call


async def build_tool_call(
    deployment: Deployment, program: str, *, operation: str
) -> Call:
    """Begins a program and returns a function that makes its tool calls."""
    caller = await begin_program(deployment, program)

    async def call() -> None:
        result = await caller.use_tool(TOOL, operation, {"size": 42})
        if result.error is not None or result.attempts != 1:
            raise RuntimeError(f"call {result.sequence}: {result.error}")

    return call


async def begin_program(deployment: Deployment, program: str) -> Caller:
    """Begins a program and returns its caller."""
    entry = deployment.processes["entry-0"].address
    caller = Caller(deployment.transport, [entry], team=TEAM, program=program)
    await caller.begin(KIND)
    return caller


def list_pids(deployment: Deployment) -> dict[str, int]:
    """Returns the process ids of the entries and sidecars."""
    return {
        name: process.pid
        for name, process in deployment.processes.items()
        if name.startswith(("entry", "sidecar"))
    }
