"""Budgets: what a call may take, decided before it is sent."""

import math
from dataclasses import dataclass
from typing import TypeVar, final

import msgspec
import xxhash

from goldcrestvane_common.errors import BudgetExceeded
from goldcrestvane_common.messages import (
    Message,
    ModelRequest,
)
from goldcrestvane_common.settings import Budget
from goldcrestvane_daemon.owner.state import Program, ShardState

MESSAGE_OVERHEAD_TOKENS = 8

Limit = TypeVar("Limit", int, float)


@final
@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Tokens held for one model call.

    Attributes:
        prompt_tokens: Upper bound of the prompt.
        max_tokens: Tokens that the answer may have.
    """

    prompt_tokens: int = 0
    max_tokens: int = 0

    @property
    def total(self) -> int:
        """Tokens held in all."""
        return self.prompt_tokens + self.max_tokens


def hash_messages(messages: list[Message]) -> str:
    """Returns a hash of a list of messages."""
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(messages))


def bound_prompt_tokens(program: Program, messages: list[Message]) -> int:
    """Returns an upper bound of the tokens of a prompt.

    The part that an earlier call has measured counts as measured; of the rest, each
    byte counts as a token, since no tokenizer makes more tokens than bytes.
    """
    known = program.prompt_messages
    covered = (
        0 < known <= len(messages)
        and hash_messages(messages[:known]) == program.prompt_hash
    )
    measured = program.prompt_tokens if covered else 0
    rest = messages[known:] if covered else messages
    rest_bytes = sum(len(message.content.encode()) for message in rest)
    return measured + rest_bytes + MESSAGE_OVERHEAD_TOKENS * len(rest)


def reserve_tokens(
    state: ShardState, program: Program, body: ModelRequest
) -> Reservation:
    """Returns what a model call may take of its program's budgets.

    Raises:
        BudgetExceeded: Not even one token of an answer fits.
    """
    prompt_tokens = bound_prompt_tokens(program, body.messages)
    left = min(_count_tokens_left(item) for item in state.list_ancestors(program.key))
    if left < prompt_tokens + 1:
        raise BudgetExceeded(
            f"The prompt may take {prompt_tokens} tokens and {left:.0f} are left. "
            "End the program or raise its token budget.",
            field="budget.tokens",
        )
    max_tokens = int(min(body.max_tokens, left - prompt_tokens))
    return Reservation(prompt_tokens=prompt_tokens, max_tokens=max_tokens)


def _count_tokens_left(program: Program) -> float:
    if program.budget.tokens is None:
        return math.inf
    return program.budget.tokens - program.spent_tokens - program.reserved_tokens


def has_token_budget(state: ShardState, program: Program) -> bool:
    """Returns whether a limit of tokens holds for a program."""
    return any(
        item.budget.tokens is not None for item in state.list_ancestors(program.key)
    )


def check_calls(state: ShardState, program: Program) -> None:
    """Raises BudgetExceeded when one more call does not fit."""
    for item in state.list_ancestors(program.key):
        limit = item.budget.calls
        if limit is not None and item.spent_calls + item.reserved_calls >= limit:
            raise BudgetExceeded(
                f"Program {item.key[1]} has used its {limit} calls. "
                "End it or raise its call budget.",
                field="budget.calls",
            )


def get_remaining_seconds(state: ShardState, program: Program, *, now: float) -> float:
    """Returns the seconds until a budget of time ends; infinite without one.

    Raises:
        BudgetExceeded: A budget of time has ended.
    """
    left = math.inf
    for item in state.list_ancestors(program.key):
        if item.budget.seconds is not None:
            left = min(left, item.begun_at + item.budget.seconds - now)
    if left <= 0:
        raise BudgetExceeded(
            f"The time budget ended {-left:.1f} s ago. Begin a new program.",
            field="budget.seconds",
        )
    return left


def check_depth(state: ShardState, program: Program) -> None:
    """Raises BudgetExceeded when a program may not have sub-agents below it."""
    for level, item in enumerate(state.list_ancestors(program.key), start=1):
        limit = item.budget.depth
        if limit is not None and level > limit:
            raise BudgetExceeded(
                f"Program {item.key[1]} may have {limit} levels of sub-agents. "
                "Raise its depth budget.",
                field="budget.depth",
            )


def tighten_budget(declared: Budget, asked: Budget) -> Budget:
    """Returns the lower limit of each kind."""
    return Budget(
        tokens=_choose_lower(declared.tokens, asked.tokens),
        calls=_choose_lower(declared.calls, asked.calls),
        seconds=_choose_lower(declared.seconds, asked.seconds),
        depth=_choose_lower(declared.depth, asked.depth),
    )


def _choose_lower(first: Limit | None, second: Limit | None) -> Limit | None:
    limits = [limit for limit in (first, second) if limit is not None]
    return min(limits) if limits else None
