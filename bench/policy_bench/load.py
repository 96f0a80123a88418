"""Programs of a load: their steps, sizes, arrivals and deadlines."""

import random
from collections.abc import Iterator

import msgspec

from goldcrestvane_common.settings import Priority


class ModelTurn(msgspec.Struct, frozen=True):
    """A model call: tokens added to the history, and tokens of the answer."""

    new_tokens: int
    answer_tokens: int


class ToolUse(msgspec.Struct, frozen=True):
    """A tool call and its run time in seconds."""

    seconds: float
    idempotent: bool


class Pause(msgspec.Struct, frozen=True):
    """Time in which the program calls nothing, in seconds."""

    seconds: float


class SubAgents(msgspec.Struct, frozen=True):
    """Programs that run side by side while their parent waits."""

    agents: tuple[tuple["Step", ...], ...]


Step = ModelTurn | ToolUse | Pause | SubAgents


class Range(msgspec.Struct, frozen=True):
    """A uniform distribution."""

    low: float
    high: float

    def draw(self, source: random.Random) -> float:
        """Returns one value."""
        return source.uniform(self.low, self.high)

    def draw_count(self, source: random.Random) -> int:
        """Returns one whole number, both ends included."""
        return source.randint(int(self.low), int(self.high))


class ProgramKind(msgspec.Struct, frozen=True, kw_only=True):
    """Distribution of the programs of one kind.

    Attributes:
        name: Name of the kind.
        share: Share of all programs.
        priority: Scheduling class.
        deadline_seconds: Time from arrival to the program's deadline.
        turns: Model calls.
        first_tokens: Tokens of the first prompt.
        new_tokens: Tokens that each later turn adds.
        answer_tokens: Tokens of each answer.
        tool_chance: Chance of a tool call after a turn.
        tool_seconds: Run time of a tool call.
        pause_chance: Chance of a pause after a turn.
        pause_seconds: Length of a pause.
        agent_chance: Chance of sub-agents after the first turn.
        agent_count: Number of sub-agents, each of `agent_turns` turns.
        agent_turns: Model calls of a sub-agent.
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
    """One program of a load."""

    name: str
    kind: ProgramKind
    arrival: float
    steps: tuple[Step, ...]


IDEMPOTENT_SHARE = 0.5
"""Share of tool calls that may be sent again."""


def draw_turns(
    kind: ProgramKind, source: random.Random, turns: int, *, agents: bool
) -> Iterator[Step]:
    """Yields the steps of a program or of a sub-agent."""
    for number in range(turns):
        sizes = kind.first_tokens if number == 0 else kind.new_tokens
        yield ModelTurn(sizes.draw_count(source), kind.answer_tokens.draw_count(source))
        if agents and number == 0 and source.random() < kind.agent_chance:
            yield SubAgents(
                tuple(
                    tuple(
                        draw_turns(
                            kind,
                            source,
                            kind.agent_turns.draw_count(source),
                            agents=False,
                        )
                    )
                    for _ in range(kind.agent_count.draw_count(source))
                )
            )
        if source.random() < kind.tool_chance:
            seconds = kind.tool_seconds.draw(source)
            yield ToolUse(seconds, source.random() < IDEMPOTENT_SHARE)
        if number < turns - 1 and source.random() < kind.pause_chance:
            yield Pause(kind.pause_seconds.draw(source))


def draw_program(
    kinds: tuple[ProgramKind, ...], source: random.Random, *, name: str, arrival: float
) -> Program:
    """Returns one program of a load."""
    kind = source.choices(kinds, [each.share for each in kinds])[0]
    turns = kind.turns.draw_count(source)
    steps = tuple(draw_turns(kind, source, turns, agents=True))
    return Program(name, kind, arrival, steps)


def sum_work(
    steps: tuple[Step, ...], *, prefill_seconds: float, decode_seconds: float
) -> float:
    """Returns the slot-seconds of a program when each token is computed once."""
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
