"""Defines load patterns and generates the programs of a pattern."""

import random
from collections.abc import Iterator

import msgspec

from goldcrestvane_common.ids import AccountId
from load_replay.engine import EngineSpec, Prompt


class ProgramKind(msgspec.Struct, frozen=True, kw_only=True):
    """Distribution of the programs of one kind.

    Attributes:
        name: Name in the printed table.
        rate: Mean arrivals per second.
        turns: Mean number of turns of a program.
        events: Mean number of streamed events of a turn.
        input_tokens: Mean tokens that a turn adds to the prompt.
        think_seconds: Mean pause between turns, including tool calls.
        slack_factor: Time allowed for a program, as a multiple of its time on an
            idle system.
        benefit: Benefit of a program that completes within its allowed time.
        late_benefit: Benefit of a program that completes within twice that time.
        priority: Priority of its calls; 0 is the highest.
        shared_tokens: Tokens of the prompt's first part, which other programs share.
        document_tokens: Mean tokens of a part of the first prompt that no other program
            has, so that no engine has read it; 0 if it has none.
    """

    name: str
    rate: float
    turns: float
    events: float = 10.3
    input_tokens: float = 840.0
    think_seconds: float = 0.15
    slack_factor: float = 1.6
    benefit: float = 3.0
    late_benefit: float = 0.3
    priority: int = 0
    shared_tokens: int = 12_600
    document_tokens: float = 0.0


class Burst(msgspec.Struct, frozen=True, kw_only=True):
    """A period with a changed arrival rate.

    Attributes:
        begin: Start of the period in seconds.
        end: End of the period in seconds.
        factor: Multiple of the usual rate.
        kind: Name of the affected kind, or None for all kinds.
    """

    begin: float
    end: float
    factor: float
    kind: str | None = None

    def get_factor(self, kind: ProgramKind, now: float) -> float:
        """Returns the factor by which a kind's rate is multiplied at a time."""
        applies = self.kind is None or self.kind == kind.name
        return self.factor if applies and self.begin <= now < self.end else 1.0


class AccountBurst(msgspec.Struct, frozen=True, kw_only=True):
    """A period in which one account sends a multiple of its usual load.

    Attributes:
        begin: Start of the period in seconds.
        end: End of the period in seconds.
        factor: Multiple of the account's usual rate.
        account: The account; 0 is the largest one.
    """

    begin: float
    end: float
    factor: float
    account: int = 0


class EngineChange(msgspec.Struct, frozen=True, kw_only=True):
    """Change of an engine.

    Attributes:
        at: Time of the change in seconds.
        engine: Number of the engine.
        leaves: Whether the engine leaves.
        joins: Whether the engine joins; it is absent before.
        slow_factor: Factor by which it is slower than usual from then on.
    """

    at: float
    engine: int
    leaves: bool = False
    joins: bool = False
    slow_factor: float = 1.0


class Restart(msgspec.Struct, frozen=True, kw_only=True):
    """A kill of all frontends at the same time.

    Attributes:
        at: Time of the kill in seconds.
        down_seconds: Time until the processes start again.
        start_seconds: Time that a process needs from its start until it serves calls.
        listens_early: Whether a process accepts connections from its start on;
            otherwise it refuses them until it serves calls.
    """

    at: float
    down_seconds: float
    start_seconds: float
    listens_early: bool = True


class Continuation(msgspec.Struct, frozen=True, kw_only=True):
    """Programs that arrive at once and continue stored turns of earlier programs.

    Attributes:
        at: Arrival time in seconds.
        count: Number of programs.
        min_age_seconds: Minimum age of the earlier programs.
        max_age_seconds: Maximum age of the earlier programs.
        turns: Mean number of turns of a program.
    """

    at: float
    count: int
    min_age_seconds: float = 3.0
    max_age_seconds: float = 10.0
    turns: float = 2.0


class LoadPattern(msgspec.Struct, frozen=True, kw_only=True):
    """Programs, engines and events of one replay.

    Attributes:
        name: Name in the printed table.
        kinds: Kinds of programs.
        engine_spec: Capacity and speed of each engine.
        engines: Number of engines.
        seconds: Time during which programs arrive.
        bursts: Periods with a changed arrival rate.
        changes: Removals and speed changes of engines.
        frontends: Number of frontends that share the traffic.
        runaway_share: Share of the programs that loop until they are stopped.
        restart: Kill of all frontends, if any.
        accounts: Number of accounts that send the programs, with sizes by Zipf's law;
            0 if the programs have no account.
        account_bursts: Periods in which an account sends more than usual.
        continuation: Programs that continue turns of earlier ones, if any.
        stores_turns: Whether the ledger stores the turns, and which engine ran them.
    """

    name: str
    kinds: tuple[ProgramKind, ...]
    engine_spec: EngineSpec = EngineSpec()
    engines: int = 5
    seconds: float = 30.0
    bursts: tuple[Burst, ...] = ()
    changes: tuple[EngineChange, ...] = ()
    frontends: int = 4
    runaway_share: float = 0.0
    restart: Restart | None = None
    accounts: int = 0
    account_bursts: tuple[AccountBurst, ...] = ()
    continuation: Continuation | None = None
    stores_turns: bool = False


class PlannedTurn(msgspec.Struct, frozen=True):
    """A turn with its whole prompt, its number of events and the pause after it."""

    prompt: Prompt
    events: int
    pause_seconds: float


class PlannedProgram(msgspec.Struct, frozen=True):
    """A program to run.

    Attributes:
        name: Name of the program.
        kind: Kind of the program.
        begin: Arrival time in seconds.
        turns: Turns in order.
        seconds: Time in which the program should complete.
        runaway: Whether the program loops until it is stopped.
        account: Account that sends it, if any.
        root: Program that began the chain of turns, if it continues one.
    """

    name: str
    kind: ProgramKind
    begin: float
    turns: tuple[PlannedTurn, ...]
    seconds: float
    runaway: bool
    account: AccountId | None = None
    root: str | None = None


SHARED_PARTS = 8
OBJECTIVE_SECONDS = 0.2
ROUND_TRIP_SECONDS = 0.04
RUNAWAY_TURNS = 40


def get_account(number: int) -> AccountId:
    """Returns the name of an account by its rank in size; 0 is the largest one."""
    return AccountId(f"account-{number}")


def _list_account_shares(pattern: LoadPattern, now: float) -> list[float]:
    """Returns what each account sends at a time; usually the sum is 1."""
    sizes = [1 / (number + 1) for number in range(pattern.accounts)]
    shares = [size / sum(sizes) for size in sizes]
    for burst in pattern.account_bursts:
        if burst.begin <= now < burst.end:
            shares[burst.account] *= burst.factor
    return shares


def _choose_account(
    pattern: LoadPattern, now: float, rng: random.Random
) -> AccountId | None:
    if not pattern.accounts:
        return None
    shares = _list_account_shares(pattern, now)
    return get_account(rng.choices(range(pattern.accounts), shares)[0])


def plan_programs(pattern: LoadPattern, rng: random.Random) -> Iterator[PlannedProgram]:
    """Yields the programs of a pattern in order of arrival."""
    planned = []
    for kind in pattern.kinds:
        now = 0.0
        while now < pattern.seconds:
            rate = kind.rate
            for burst in pattern.bursts:
                rate *= burst.get_factor(kind, now)
            if pattern.accounts:
                rate *= sum(_list_account_shares(pattern, now))
            now += rng.expovariate(rate)
            name = f"{kind.name}-{len(planned)}"
            program = _plan_program(pattern, kind, name, now, rng)
            account = _choose_account(pattern, now, rng)
            planned.append(msgspec.structs.replace(program, account=account))
    if pattern.continuation is not None:
        planned += _plan_continuations(pattern, pattern.continuation, planned, rng)
    yield from sorted(planned, key=lambda program: program.begin)


def _plan_continuations(
    pattern: LoadPattern,
    continuation: Continuation,
    planned: list[PlannedProgram],
    rng: random.Random,
) -> list[PlannedProgram]:
    earliest = continuation.at - continuation.max_age_seconds
    latest = continuation.at - continuation.min_age_seconds
    earlier = [each for each in planned if earliest <= each.begin <= latest]
    continued = []
    for number in range(continuation.count):
        origin = rng.choice(earlier)
        kind = msgspec.structs.replace(origin.kind, turns=continuation.turns)
        program = _plan_program(
            pattern,
            kind,
            f"continued-{number}",
            continuation.at,
            rng,
            stored=origin.turns[-1].prompt.parts,
        )
        continued.append(msgspec.structs.replace(program, root=origin.name))
    return continued


def _plan_program(
    pattern: LoadPattern,
    kind: ProgramKind,
    name: str,
    begin: float,
    rng: random.Random,
    *,
    stored: tuple[tuple[str, int], ...] = (),
) -> PlannedProgram:
    """Returns a program, whose prompts begin with the stored parts if there are any."""
    runaway = rng.random() < pattern.runaway_share
    count = max(1, round(rng.gauss(kind.turns, 0.4 * kind.turns)))
    shared = f"shared-{kind.shared_tokens}-{rng.randrange(SHARED_PARTS)}"
    parts = list(stored) or [(shared, kind.shared_tokens)]
    if kind.document_tokens:
        tokens = round(rng.uniform(0.6, 1.4) * kind.document_tokens)
        parts.append((f"{name}-document", tokens))
    uncached = 0 if stored else sum(tokens for _, tokens in parts[1:])
    turns = []
    for number in range(RUNAWAY_TURNS if runaway else count):
        tokens = round(rng.uniform(0.3, 1.7) * kind.input_tokens)
        parts.append((f"{name}-{number}", tokens))
        events = max(2, round(rng.gauss(kind.events, 0.3 * kind.events)))
        pause = rng.expovariate(1 / kind.think_seconds)
        turns.append(PlannedTurn(Prompt(tuple(parts)), events, pause))
    idle = sum(
        _estimate_idle_seconds(pattern.engine_spec, turn) for turn in turns[:count]
    )
    idle += uncached / pattern.engine_spec.prefill_tokens
    seconds = kind.slack_factor * idle + OBJECTIVE_SECONDS
    return PlannedProgram(name, kind, begin, tuple(turns), seconds, runaway)


def _estimate_idle_seconds(engine_spec: EngineSpec, turn: PlannedTurn) -> float:
    """Returns the time that a turn and its pause take on an idle engine."""
    step = (
        engine_spec.step_seconds
        + engine_spec.context_seconds * turn.prompt.tokens / 1000
    )
    new_tokens = turn.prompt.parts[-1][1]
    generation = turn.events * engine_spec.event_tokens * step
    prefill = new_tokens / engine_spec.prefill_tokens
    return generation + prefill + ROUND_TRIP_SECONDS + turn.pause_seconds
