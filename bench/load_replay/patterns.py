"""Load patterns that users of the platform stated."""

import random

import msgspec

from load_replay.engine import EngineSpec
from load_replay.programs import (
    AccountBurst,
    Burst,
    Continuation,
    EngineChange,
    LoadPattern,
    ProgramKind,
    Restart,
)

DRAFT = ProgramKind(name="draft", rate=12.7, turns=3.2, input_tokens=1680.0, priority=1)
REVIEW = ProgramKind(
    name="review",
    rate=4.76,
    turns=10.0,
    think_seconds=0.12,
    slack_factor=1.3,
    benefit=10.0,
    late_benefit=1.0,
)
CALM = LoadPattern(name="calm", kinds=(DRAFT, REVIEW))
BURST_OF_ONE_KIND = LoadPattern(
    name="burst of one kind",
    kinds=(DRAFT, REVIEW),
    bursts=(Burst(begin=8.0, end=14.0, factor=4.0, kind="draft"),),
)
BURST_OF_ALL = LoadPattern(
    name="burst of all kinds",
    kinds=(DRAFT, REVIEW),
    bursts=(Burst(begin=8.0, end=14.0, factor=3.0),),
)
HALF_REMOVED = LoadPattern(
    name="half of the engines leave",
    kinds=(DRAFT, REVIEW),
    changes=tuple(
        EngineChange(at=at, engine=number, leaves=True)
        for number, at in enumerate((8.0, 14.0, 20.0))
    ),
)
ALL_BUT_ONE_REMOVED = LoadPattern(
    name="all engines but one leave",
    kinds=(DRAFT, REVIEW),
    seconds=36.0,
    changes=tuple(
        EngineChange(at=at, engine=number, leaves=True)
        for number, at in enumerate((5.0, 10.0, 18.0, 25.0))
    ),
)
DOMAIN_LOST = LoadPattern(
    name="a failure domain gone",
    kinds=(DRAFT, REVIEW),
    changes=tuple(
        EngineChange(at=10.0, engine=number, leaves=True) for number in (0, 3)
    ),
)
ROTATING_SLOWDOWN = LoadPattern(
    name="engines slow by turns",
    kinds=(DRAFT, REVIEW),
    changes=tuple(
        change
        for number in range(5)
        for change in (
            EngineChange(at=3.0 + 5 * number, engine=number, slow_factor=3.0),
            EngineChange(at=8.0 + 5 * number, engine=number, slow_factor=1.0),
        )
    ),
)
RUNAWAY_PROGRAMS = LoadPattern(
    name="programs that never end",
    kinds=(DRAFT, REVIEW),
    runaway_share=0.1,
)
RETRY_BURST = LoadPattern(
    name="programs return after a fault",
    kinds=(DRAFT, REVIEW),
    bursts=(
        Burst(begin=10.0, end=12.0, factor=0.02),
        Burst(begin=12.0, end=13.0, factor=5.0),
    ),
)
ADVICE = ProgramKind(
    name="draft",
    rate=28.0,
    turns=4.0,
    events=9.5,
    input_tokens=1680.0,
    think_seconds=0.06,
    slack_factor=1.4,
    late_benefit=1.5,
    priority=1,
)
COMPANION = ProgramKind(
    name="review",
    rate=7.54,
    turns=11.0,
    events=9.5,
    slack_factor=1.2,
    benefit=10.0,
    late_benefit=5.0,
)
LARGE = LoadPattern(
    name="large, two bursts",
    kinds=(ADVICE, COMPANION),
    engine_spec=EngineSpec(
        slots=6,
        step_seconds=0.00114,
        slot_seconds=0.0000323,
        context_seconds=0.000000767,
        prefill_tokens=336_000.0,
        memory_tokens=233_938,
    ),
    engines=30,
    frontends=60,
    seconds=12.0,
    bursts=(
        Burst(begin=2.0, end=8.0, factor=1.6),
        Burst(begin=4.0, end=8.0, factor=2.1, kind="review"),
    ),
)
"""Sixty frontends in front of thirty engines of six slots."""

LARGE_RESTART = msgspec.structs.replace(
    LARGE,
    name="large, all killed",
    bursts=(),
    restart=Restart(at=5.0, down_seconds=1.0, start_seconds=0.8),
)
QUERY = ProgramKind(
    name="query",
    rate=35.7,
    turns=4.0,
    events=9.5,
    input_tokens=1680.0,
    slack_factor=1.4,
    late_benefit=1.5,
    priority=1,
)
RECONCILIATION = ProgramKind(
    name="reconciliation",
    rate=14.4,
    turns=11.0,
    events=9.5,
    think_seconds=0.05,
    slack_factor=1.4,
    benefit=10.0,
    late_benefit=5.0,
)
UNEVEN_ENGINES = 21
FAST_ENGINE_FACTOR = 0.55
SLOW_ENGINE_FACTOR = 1.2
DISTURBED_FACTOR = 2.5
DISTURBED_SHARE = 0.15
DISTURBANCE_SECONDS = 0.6


def build_disturbances(seconds: float, seed: int = 1) -> tuple[EngineChange, ...]:
    """Returns the speed changes of engines that differ and share their machines.

    A quarter of the engines are fast. Each engine is slower by a factor for a share of
    the time, in stretches of `DISTURBANCE_SECONDS`.
    """
    rng = random.Random(seed)
    changes = []
    for engine in range(UNEVEN_ENGINES):
        usual = FAST_ENGINE_FACTOR if engine % 4 == 0 else SLOW_ENGINE_FACTOR
        at = 0.0
        while at < seconds:
            disturbed = rng.random() < DISTURBED_SHARE
            factor = usual * (DISTURBED_FACTOR if disturbed else 1.0)
            changes.append(EngineChange(at=at, engine=engine, slow_factor=factor))
            at += DISTURBANCE_SECONDS
    return tuple(changes)


UNEVEN = LoadPattern(
    name="uneven engines",
    kinds=(QUERY, RECONCILIATION),
    engine_spec=EngineSpec(
        step_seconds=0.00137,
        slot_seconds=0.00000757,
        context_seconds=0.000000853,
        prefill_tokens=205_000.0,
        event_tokens=25,
        memory_tokens=362_828,
        reports_slowdown=True,
    ),
    engines=UNEVEN_ENGINES,
    frontends=26,
    seconds=8.0,
    changes=build_disturbances(16.0),
)
"""Engines of which a quarter is fast and all are slower at times."""

UNEVEN_BURST = msgspec.structs.replace(
    UNEVEN,
    name="uneven engines, burst",
    bursts=(Burst(begin=2.0, end=7.0, factor=1.7),),
)
ACCOUNT_BURST = LoadPattern(
    name="burst of one account",
    kinds=(
        msgspec.structs.replace(DRAFT, rate=62.0, priority=0),
        msgspec.structs.replace(REVIEW, rate=23.0),
    ),
    engine_spec=EngineSpec(slots=12),
    engines=23,
    frontends=22,
    seconds=14.0,
    accounts=80,
    account_bursts=(AccountBurst(begin=4.0, end=10.0, factor=7.5),),
)
"""The largest of 80 accounts, a fifth of the usual load, sends 7.5 times as much: 2.3
times the usual load in all. Both kinds have the same priority, since an account's
priority takes the place of the route's."""

MIXED_PROMPTS = LoadPattern(
    name="long prompts beside short ones",
    kinds=(
        ProgramKind(
            name="question",
            rate=18.0,
            turns=4.0,
            events=4.0,
            input_tokens=300.0,
            shared_tokens=900,
            think_seconds=0.06,
            slack_factor=1.5,
        ),
        ProgramKind(
            name="document",
            rate=12.0,
            turns=3.0,
            events=6.0,
            input_tokens=500.0,
            shared_tokens=900,
            document_tokens=14_000.0,
            think_seconds=0.1,
            slack_factor=1.5,
        ),
        ProgramKind(
            name="conversation",
            rate=7.5,
            turns=6.0,
            events=6.0,
            input_tokens=840.0,
            think_seconds=0.1,
            slack_factor=1.5,
        ),
    ),
    engine_spec=UNEVEN.engine_spec,
    engines=6,
    frontends=6,
    seconds=6.0,
)
"""Cold prompts of 14,000 tokens, warm ones of the same size, and short ones."""

BOOKING = ProgramKind(
    name="booking",
    rate=8.3,
    turns=3.0,
    events=7.0,
    input_tokens=1030.0,
    shared_tokens=2560,
    think_seconds=0.06,
    slack_factor=2.7,
    benefit=3.0,
    late_benefit=0.9,
    priority=1,
)
TRAINING_PLAN = ProgramKind(
    name="training plan",
    rate=3.11,
    turns=9.0,
    events=7.0,
    input_tokens=514.0,
    shared_tokens=2560,
    think_seconds=0.06,
    slack_factor=2.9,
    benefit=10.0,
    late_benefit=3.0,
)
CONTINUED_CHAINS = LoadPattern(
    name="programs continue stored turns at once",
    kinds=(BOOKING, TRAINING_PLAN),
    engine_spec=EngineSpec(
        slots=64,
        step_seconds=0.00673,
        slot_seconds=0.0000219,
        context_seconds=0.0000068,
        prefill_tokens=30_600.0,
        chunk_tokens=1024,
        event_tokens=5,
        memory_tokens=221_449,
    ),
    engines=6,
    frontends=5,
    seconds=14.0,
    continuation=Continuation(at=11.0, count=40),
    stores_turns=True,
)
"""Engines that read slowly, and callers that return together after a fault."""

REPLACED_ENGINES = msgspec.structs.replace(
    CONTINUED_CHAINS,
    name="engines are replaced one after the other",
    engines=12,
    continuation=None,
    changes=tuple(
        change
        for number in range(6)
        for change in (
            EngineChange(at=3.0 + number, engine=6 + number, joins=True),
            EngineChange(at=3.8 + number, engine=number, leaves=True),
        )
    ),
)
"""Each of six engines leaves 0.8 s after another one has joined."""

PATTERNS = (
    CONTINUED_CHAINS,
    REPLACED_ENGINES,
    CALM,
    BURST_OF_ONE_KIND,
    BURST_OF_ALL,
    HALF_REMOVED,
    ALL_BUT_ONE_REMOVED,
    DOMAIN_LOST,
    ROTATING_SLOWDOWN,
    RUNAWAY_PROGRAMS,
    RETRY_BURST,
    LARGE,
    LARGE_RESTART,
    UNEVEN,
    UNEVEN_BURST,
)
