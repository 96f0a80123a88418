"""Program budgets and the reservations that calls make before they are sent."""

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
    """Tokens reserved for one model call.

    Attributes:
        prompt_tokens: Upper bound of the number of prompt tokens.
        max_tokens: Maximum number of answer tokens.
    """

    prompt_tokens: int = 0
    max_tokens: int = 0

    @property
    def total(self) -> int:
        """Total number of reserved tokens."""
        return self.prompt_tokens + self.max_tokens


def hash_messages(messages: list[Message]) -> str:
    """Returns a hash of a list of messages."""
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(messages))


def bound_prompt_tokens(program: Program, messages: list[Message]) -> int:
    """Returns an upper bound of the number of tokens of a prompt.

    For messages that an earlier call has sent, the measured number of tokens is used.
    In the other messages each byte counts as one token, because no tokenizer produces
    more tokens than bytes.
    """
    message_count = program.prompt_messages
    is_prefix = (
        0 < message_count <= len(messages)
        and hash_messages(messages[:message_count]) == program.prompt_hash
    )
    measured_tokens = program.prompt_tokens if is_prefix else 0
    new_messages = messages[message_count:] if is_prefix else messages
    new_bytes = sum(len(message.content.encode()) for message in new_messages)
    return measured_tokens + new_bytes + MESSAGE_OVERHEAD_TOKENS * len(new_messages)


def reserve_tokens(
    state: ShardState, program: Program, request: ModelRequest
) -> Reservation:
    """Returns a reservation for a model call within the budgets of its program.

    Raises:
        BudgetExceeded: The budgets leave no token for the answer.
    """
    prompt_tokens = bound_prompt_tokens(program, request.messages)
    left = min(_count_tokens_left(item) for item in state.list_ancestors(program.key))
    if left < prompt_tokens + 1:
        raise BudgetExceeded(
            f"The prompt may take {prompt_tokens} tokens, and {left:.0f} are left. "
            "End the program or increase its token budget.",
            field="budget.tokens",
        )
    max_tokens = int(min(request.max_tokens, left - prompt_tokens))
    return Reservation(prompt_tokens=prompt_tokens, max_tokens=max_tokens)


def _count_tokens_left(program: Program) -> float:
    if program.budget.tokens is None:
        return math.inf
    return program.budget.tokens - program.spent_tokens - program.reserved_tokens


def has_token_budget(state: ShardState, program: Program) -> bool:
    """Returns whether the program or one of its ancestors has a token limit."""
    return any(
        item.budget.tokens is not None for item in state.list_ancestors(program.key)
    )


def check_calls(state: ShardState, program: Program) -> None:
    """Raises BudgetExceeded if another call would exceed a call budget."""
    for item in state.list_ancestors(program.key):
        limit = item.budget.calls
        if limit is not None and item.spent_calls + item.reserved_calls >= limit:
            raise BudgetExceeded(
                f"Program {item.key[1]} has used its {limit} calls. "
                "End it or increase its call budget.",
                field="budget.calls",
            )


def get_remaining_seconds(state: ShardState, program: Program, *, now: float) -> float:
    """Returns the seconds that remain in the time budgets of a program.

    Returns infinity if no time budget applies.

    Raises:
        BudgetExceeded: A time budget is exhausted.
    """
    left = math.inf
    for item in state.list_ancestors(program.key):
        if item.budget.seconds is not None:
            left = min(left, item.begun_at + item.budget.seconds - now)
    if left <= 0:
        raise BudgetExceeded(
            f"The time budget was exhausted {-left:.1f} s ago. Begin a new program.",
            field="budget.seconds",
        )
    return left


def check_depth(state: ShardState, program: Program) -> None:
    """Raises BudgetExceeded if a depth budget forbids sub-agents of a program."""
    for level, item in enumerate(state.list_ancestors(program.key), start=1):
        limit = item.budget.depth
        if limit is not None and level > limit:
            raise BudgetExceeded(
                f"Program {item.key[1]} may have {limit} levels of sub-agents. "
                "Increase its depth budget.",
                field="budget.depth",
            )


def tighten_budget(declared: Budget, requested: Budget) -> Budget:
    """Returns the stricter of two limits for each resource."""
    return Budget(
        tokens=_get_lower_limit(declared.tokens, requested.tokens),
        calls=_get_lower_limit(declared.calls, requested.calls),
        seconds=_get_lower_limit(declared.seconds, requested.seconds),
        depth=_get_lower_limit(declared.depth, requested.depth),
    )


def _get_lower_limit(first: Limit | None, second: Limit | None) -> Limit | None:
    limits = [limit for limit in (first, second) if limit is not None]
    return min(limits) if limits else None
