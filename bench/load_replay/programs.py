"""Load patterns: which programs come when, by the figures of an installation."""

import random
from collections.abc import Iterator

import msgspec

from load_replay.engine import EngineSheet, Prompt


class ProgramKind(msgspec.Struct, frozen=True, kw_only=True):
    """Programs of one kind.

    Attributes:
        name: Name in reports.
        rate: Programs a second.
        turns: Mean number of turns.
        events: Mean number of events of a turn.
        input_tokens: Mean tokens that a turn adds to the prompt.
        think_seconds: Mean pause between turns, tools included.
        slack_factor: Time until the program should end, against an idle system.
        worth: Benefit of a program that ends in time.
        late_worth: Benefit of one that ends within twice that time.
        priority: Rank of its turns, 0 first.
    """

    name: str
    rate: float
    turns: float
    events: float = 10.3
    input_tokens: float = 840.0
    think_seconds: float = 0.15
    slack_factor: float = 1.6
    worth: float = 3.0
    late_worth: float = 0.3
    priority: int = 0


class Burst(msgspec.Struct, frozen=True, kw_only=True):
    """A span in which programs come more often."""

    begin: float
    end: float
    factor: float
    kind: str | None = None

    def get_factor(self, kind: ProgramKind, now: float) -> float:
        """Returns the multiple of a kind's rate at a time."""
        concerned = self.kind is None or self.kind == kind.name
        return self.factor if concerned and self.begin <= now < self.end else 1.0


class TargetEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of one engine: it leaves, or its speed changes."""

    at: float
    engine: int
    leaves: bool = False
    slow_factor: float = 1.0


class LoadPattern(msgspec.Struct, frozen=True, kw_only=True):
    """A recorded load.

    Attributes:
        name: Name in reports.
        kinds: The programs.
        sheet: The engines.
        engines: Number of engines.
        seconds: Length of the traffic.
        bursts: Spans of more traffic.
        changes: Changes of the engines.
        frontends: Frontends that share the traffic.
        runaway_share: Part of the programs that loop until they are stopped.
    """

    name: str
    kinds: tuple[ProgramKind, ...]
    sheet: EngineSheet = EngineSheet()
    engines: int = 5
    seconds: float = 30.0
    bursts: tuple[Burst, ...] = ()
    changes: tuple[TargetEvent, ...] = ()
    frontends: int = 4
    runaway_share: float = 0.0


class PlannedTurn(msgspec.Struct, frozen=True):
    """One turn: its whole prompt, its length and the pause after it."""

    prompt: Prompt
    events: int
    pause_seconds: float


class PlannedProgram(msgspec.Struct, frozen=True):
    """One program as its caller intends it."""

    name: str
    kind: ProgramKind
    begin: float
    turns: tuple[PlannedTurn, ...]
    seconds: float
    runaway: bool


SHARED_PARTS = 8
SHARED_TOKENS = 12_600
OBJECTIVE_SECONDS = 0.2
WAY_SECONDS = 0.04
RUNAWAY_TURNS = 40


def plan_programs(pattern: LoadPattern, rng: random.Random) -> Iterator[PlannedProgram]:
    """Yields the programs of a pattern in the order of their begins."""
    planned = []
    for kind in pattern.kinds:
        now = 0.0
        while now < pattern.seconds:
            rate = kind.rate
            for burst in pattern.bursts:
                rate *= burst.get_factor(kind, now)
            now += rng.expovariate(rate)
            name = f"{kind.name}-{len(planned)}"
            planned.append(_plan_program(pattern, kind, name, now, rng))
    yield from sorted(planned, key=lambda program: program.begin)


def _plan_program(
    pattern: LoadPattern,
    kind: ProgramKind,
    name: str,
    begin: float,
    rng: random.Random,
) -> PlannedProgram:
    runaway = rng.random() < pattern.runaway_share
    count = max(1, round(rng.gauss(kind.turns, 0.4 * kind.turns)))
    parts = [(f"shared-{rng.randrange(SHARED_PARTS)}", SHARED_TOKENS)]
    turns = []
    for number in range(RUNAWAY_TURNS if runaway else count):
        tokens = round(rng.uniform(0.3, 1.7) * kind.input_tokens)
        parts.append((f"{name}-{number}", tokens))
        events = max(2, round(rng.gauss(kind.events, 0.3 * kind.events)))
        pause = rng.expovariate(1 / kind.think_seconds)
        turns.append(PlannedTurn(Prompt(tuple(parts)), events, pause))
    idle = sum(_measure_idle(pattern.sheet, turn) for turn in turns[:count])
    seconds = kind.slack_factor * idle + OBJECTIVE_SECONDS
    return PlannedProgram(name, kind, begin, tuple(turns), seconds, runaway)


def _measure_idle(sheet: EngineSheet, turn: PlannedTurn) -> float:
    """Returns the time of a turn and the pause after it on an idle engine."""
    step = sheet.step_seconds + sheet.context_seconds * turn.prompt.tokens / 1000
    new_tokens = turn.prompt.parts[-1][1]
    generation = turn.events * sheet.event_tokens * step
    reading = new_tokens / sheet.prefill_tokens
    return generation + reading + WAY_SECONDS + turn.pause_seconds
