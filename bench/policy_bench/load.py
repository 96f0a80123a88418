"""Generates the programs of a load: steps, sizes, arrivals and deadlines."""

import random
from collections.abc import Iterator

import msgspec

from goldcrestvane_common.settings import Priority


class ModelTurn(msgspec.Struct, frozen=True):
    """A model call with its new prompt tokens and its answer tokens."""

    new_tokens: int
    answer_tokens: int


class ToolUse(msgspec.Struct, frozen=True):
    """A tool call with its run time in seconds."""

    seconds: float
    idempotent: bool


class Pause(msgspec.Struct, frozen=True):
    """Time in seconds during which the program makes no calls."""

    seconds: float


class SubAgents(msgspec.Struct, frozen=True):
    """Sub-agents that run concurrently while their parent waits."""

    agents: tuple[tuple["Step", ...], ...]


Step = ModelTurn | ToolUse | Pause | SubAgents


class Range(msgspec.Struct, frozen=True):
    """A uniform distribution over a closed interval."""

    low: float
    high: float

    def draw(self, rng: random.Random) -> float:
        """Returns a random value."""
        return rng.uniform(self.low, self.high)

    def draw_count(self, rng: random.Random) -> int:
        """Returns a random integer; both bounds are included."""
        return rng.randint(int(self.low), int(self.high))


class ProgramKind(msgspec.Struct, frozen=True, kw_only=True):
    """Distribution of the programs of one kind.

    Attributes:
        name: Name of the kind.
        share: Share of all programs.
        priority: Priority class.
        deadline_seconds: Time from arrival to the program's deadline.
        turns: Number of model calls.
        first_tokens: Tokens of the first prompt.
        new_tokens: Tokens that each later turn adds to the prompt.
        answer_tokens: Tokens of each answer.
        tool_chance: Probability of a tool call after a turn.
        tool_seconds: Run time of a tool call.
        pause_chance: Probability of a pause after a turn.
        pause_seconds: Length of a pause.
        agent_chance: Probability of sub-agents after the first turn.
        agent_count: Number of sub-agents, each of `agent_turns` turns.
        agent_turns: Number of model calls of a sub-agent.
    """

    name: str
    share: float
    priority: Priority
    deadline_seconds: float
    turns: Range
    first_tokens: Range
    new_tokens: Range
    answer_tokens: Range
    tool_chance: float
    tool_seconds: Range
    pause_chance: float
    pause_seconds: Range
    agent_chance: float = 0.0
    agent_count: Range = Range(1, 2)
    agent_turns: Range = Range(2, 3)


class Program(msgspec.Struct, frozen=True):
    """One program of a load; `arrival` is its start time in seconds."""

    name: str
    kind: ProgramKind
    arrival: float
    steps: tuple[Step, ...]


IDEMPOTENT_SHARE = 0.5
"""Share of tool calls that are idempotent and may be retried."""


def draw_turns(
    kind: ProgramKind, rng: random.Random, turns: int, *, agents: bool
) -> Iterator[Step]:
    """Yields the steps of a program or of a sub-agent."""
    for number in range(turns):
        sizes = kind.first_tokens if number == 0 else kind.new_tokens
        yield ModelTurn(sizes.draw_count(rng), kind.answer_tokens.draw_count(rng))
        if agents and number == 0 and rng.random() < kind.agent_chance:
            yield SubAgents(
                tuple(
                    tuple(
                        draw_turns(
                            kind,
                            rng,
                            kind.agent_turns.draw_count(rng),
                            agents=False,
                        )
                    )
                    for _ in range(kind.agent_count.draw_count(rng))
                )
            )
        if rng.random() < kind.tool_chance:
            seconds = kind.tool_seconds.draw(rng)
            yield ToolUse(seconds, rng.random() < IDEMPOTENT_SHARE)
        if number < turns - 1 and rng.random() < kind.pause_chance:
            yield Pause(kind.pause_seconds.draw(rng))


def draw_program(
    kinds: tuple[ProgramKind, ...], rng: random.Random, *, name: str, arrival: float
) -> Program:
    """Returns a random program of one of the kinds."""
    kind = rng.choices(kinds, [each.share for each in kinds])[0]
    turns = kind.turns.draw_count(rng)
    steps = tuple(draw_turns(kind, rng, turns, agents=True))
    return Program(name, kind, arrival, steps)


def sum_work(
    steps: tuple[Step, ...], *, prefill_seconds: float, decode_seconds: float
) -> float:
    """Returns the slot time in seconds if each token is computed only once."""
    work = 0.0
    for step in steps:
        if isinstance(step, ModelTurn):
            work += step.new_tokens * prefill_seconds
            work += step.answer_tokens * decode_seconds
        if isinstance(step, SubAgents):
            for agent in step.agents:
                work += sum_work(
                    agent,
                    prefill_seconds=prefill_seconds,
                    decode_seconds=decode_seconds,
                )
    return work
