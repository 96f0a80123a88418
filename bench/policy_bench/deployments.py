"""Deployments and loads of two users."""

import functools
import random

import msgspec

from goldcrestvane_common.settings import Priority
from policy_bench.load import Program, ProgramKind, Range, draw_program, sum_work

SAMPLE_PROGRAMS = 4000
"""Number of programs drawn to estimate the mean work of a program."""


class ArrivalBurst(msgspec.Struct, frozen=True):
    """Periodic bursts of arrivals that leave the mean rate unchanged.

    Attributes:
        period_seconds: Time between the starts of two bursts.
        burst_seconds: Length of a burst.
        factor: Rate during a burst as a multiple of the mean rate.
    """

    period_seconds: float
    burst_seconds: float
    factor: float

    def get_factor(self, time: float) -> float:
        """Returns the rate at a time as a multiple of the mean rate."""
        if time % self.period_seconds < self.burst_seconds:
            return self.factor
        quiet_seconds = self.period_seconds - self.burst_seconds
        return (self.period_seconds - self.burst_seconds * self.factor) / quiet_seconds


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Targets, links and programs of one user.

    Attributes:
        name: Name of the user.
        domains: Failure domains, to which targets are assigned in rotation.
        engines: Number of model engines.
        engine_slots: Calls that an engine runs concurrently.
        prefill_seconds: Time to compute one uncached prompt token.
        decode_seconds: Time to generate one token.
        cache_tokens: Capacity of an engine's prefix cache.
        tools: Number of tool targets.
        tool_slots: Calls that a tool target runs concurrently.
        link_seconds: One-way delay between failure domains.
        local_link_seconds: One-way delay within a failure domain.
        model_timeout_seconds: Timeout of a model call in seconds.
        tool_timeout_seconds: Timeout of a tool call in seconds.
        cache_weight: Cache weight in the settings of the team.
        burst: Bursts of arrivals, if any.
        kinds: Kinds of programs.
        warm_up_seconds: Warm-up time before the measurement begins.
        run_seconds: Time at which arrivals and the measurement end.
    """

    name: str
    domains: tuple[str, ...]
    engines: int
    engine_slots: int
    prefill_seconds: float
    decode_seconds: float
    cache_tokens: int
    tools: int
    tool_slots: int
    link_seconds: float = 0.0035
    local_link_seconds: float = 0.0002
    model_timeout_seconds: float
    tool_timeout_seconds: float
    cache_weight: float
    burst: ArrivalBurst | None = None
    kinds: tuple[ProgramKind, ...]
    warm_up_seconds: float
    run_seconds: float


FITTING = ProgramKind(
    name="fitting",
    share=0.7,
    priority=Priority.INTERACTIVE,
    deadline_seconds=60.0,
    turns=Range(3, 8),
    first_tokens=Range(900, 1800),
    new_tokens=Range(100, 400),
    answer_tokens=Range(30, 120),
    tool_chance=0.7,
    tool_seconds=Range(0.03, 0.12),
    pause_chance=0.3,
    pause_seconds=Range(0.5, 4.0),
    agent_chance=0.3,
)
RESTOCKING = ProgramKind(
    name="restocking",
    share=0.2,
    priority=Priority.STANDARD,
    deadline_seconds=120.0,
    turns=Range(3, 8),
    first_tokens=Range(1500, 3000),
    new_tokens=Range(200, 800),
    answer_tokens=Range(50, 200),
    tool_chance=0.9,
    tool_seconds=Range(0.05, 0.2),
    pause_chance=0.1,
    pause_seconds=Range(0.5, 2.0),
)
FOLLOW_UP = ProgramKind(
    name="follow-up",
    share=0.1,
    priority=Priority.BATCH,
    deadline_seconds=240.0,
    turns=Range(6, 12),
    first_tokens=Range(1500, 4000),
    new_tokens=Range(300, 1000),
    answer_tokens=Range(80, 300),
    tool_chance=0.5,
    tool_seconds=Range(0.05, 0.2),
    pause_chance=0.2,
    pause_seconds=Range(1.0, 5.0),
)
PASSOLUNGO = Deployment(
    name="Passolungo",
    domains=("milano", "torino", "verona"),
    engines=7,
    engine_slots=4,
    prefill_seconds=0.0002,
    decode_seconds=0.012,
    cache_tokens=60_000,
    tools=5,
    tool_slots=4,
    model_timeout_seconds=60.0,
    tool_timeout_seconds=10.0,
    cache_weight=0.2,
    burst=ArrivalBurst(period_seconds=120.0, burst_seconds=30.0, factor=1.4),
    kinds=(FITTING, RESTOCKING, FOLLOW_UP),
    warm_up_seconds=60.0,
    run_seconds=420.0,
)
REVIEW = ProgramKind(
    name="review",
    share=0.6,
    priority=Priority.STANDARD,
    deadline_seconds=480.0,
    turns=Range(8, 24),
    first_tokens=Range(1500, 4000),
    new_tokens=Range(500, 2500),
    answer_tokens=Range(80, 250),
    tool_chance=0.5,
    tool_seconds=Range(0.1, 0.5),
    pause_chance=0.8,
    pause_seconds=Range(2.0, 15.0),
)
RECONCILIATION = ProgramKind(
    name="reconciliation",
    share=0.3,
    priority=Priority.INTERACTIVE,
    deadline_seconds=120.0,
    turns=Range(3, 6),
    first_tokens=Range(2000, 5000),
    new_tokens=Range(300, 1200),
    answer_tokens=Range(60, 200),
    tool_chance=0.8,
    tool_seconds=Range(0.1, 0.4),
    pause_chance=0.2,
    pause_seconds=Range(1.0, 5.0),
    agent_chance=0.2,
)
FILING = ProgramKind(
    name="filing",
    share=0.1,
    priority=Priority.BATCH,
    deadline_seconds=600.0,
    turns=Range(10, 20),
    first_tokens=Range(3000, 6000),
    new_tokens=Range(500, 2000),
    answer_tokens=Range(80, 250),
    tool_chance=0.8,
    tool_seconds=Range(0.1, 0.5),
    pause_chance=0.3,
    pause_seconds=Range(2.0, 10.0),
)
AKWAABA = Deployment(
    name="Akwaaba",
    domains=("gh-south-a", "gh-south-b", "gh-south-c"),
    engines=5,
    engine_slots=4,
    prefill_seconds=0.00025,
    decode_seconds=0.015,
    cache_tokens=200_000,
    tools=4,
    tool_slots=4,
    model_timeout_seconds=120.0,
    tool_timeout_seconds=20.0,
    cache_weight=0.8,
    kinds=(REVIEW, RECONCILIATION, FILING),
    warm_up_seconds=200.0,
    run_seconds=1000.0,
)
DEPLOYMENTS = (PASSOLUNGO, AKWAABA)


@functools.cache
def compute_capacity(deployment: Deployment) -> float:
    """Returns the rate of programs per second that keeps all engine slots busy.

    The estimate assumes that each token is computed only once, so no policy can
    exceed this rate.
    """
    rng = random.Random(0)
    total = 0.0
    for _ in range(SAMPLE_PROGRAMS):
        program = draw_program(deployment.kinds, rng, name="", arrival=0.0)
        total += sum_work(
            program.steps,
            prefill_seconds=deployment.prefill_seconds,
            decode_seconds=deployment.decode_seconds,
        )
    slots = deployment.engines * deployment.engine_slots
    return slots * SAMPLE_PROGRAMS / total


def draw_programs(deployment: Deployment, *, load: float, seed: int) -> list[Program]:
    """Returns the programs of one run, with Poisson arrivals at a share of capacity."""
    rng = random.Random(f"{deployment.name} {load} {seed}")
    rate = load * compute_capacity(deployment)
    programs = []
    time = 0.0
    while True:
        factor = deployment.burst.get_factor(time) if deployment.burst else 1.0
        time += rng.expovariate(rate * factor)
        if time >= deployment.run_seconds:
            return programs
        programs.append(
            draw_program(deployment.kinds, rng, name=f"p{len(programs)}", arrival=time)
        )
