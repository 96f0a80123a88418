"""Team budgets: each shard spends from allotments of the team's budget.

The object ``budgets/{team}`` counts what all shards have been allotted. A shard obtains
an allotment with a conditional update before it spends from it, so the total never
exceeds the budget. If a crash loses the record of an allotment, that part of the budget
is never spent. Allotments are recorded in the shard's journal and move with the shard.
"""

import uuid
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import BudgetExceeded, Unavailable
from goldcrestvane_common.ids import ShardId, TeamId, Version
from goldcrestvane_common.objects import (
    ObjectClient,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    WriteOutcomeUnknown,
)
from goldcrestvane_common.settings import Budget
from goldcrestvane_daemon.owner.records import TeamAllotted
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)

ALLOTMENTS_PER_BUDGET = 64
MAX_WRITE_ATTEMPTS = 16
RETRY_SECONDS = 2.0


class AllotmentTotals(msgspec.Struct, frozen=True, omit_defaults=True):
    """Content of the object ``budgets/{team}``.

    Attributes:
        tokens: Number of tokens allotted to shards so far.
        calls: Number of calls allotted to shards so far.
        token: Unique ID of this update. It shows whether a write whose response was
            lost took effect.
    """

    tokens: int = 0
    calls: int = 0
    token: str = ""


@final
class AllotmentManager:
    """Obtains allotments for the shards of this owner."""

    def __init__(self, objects: ObjectClient) -> None:
        self._objects = objects
        self._locks: dict[tuple[ShardId, TeamId], trio.Lock] = {}

    def fits(
        self, shard: OwnedShard, team: TeamId, limit: Budget, *, tokens: int
    ) -> bool:
        """Returns whether another call with this many tokens fits the allotments."""
        allotment = shard.state.get_team_allotment(team)
        free_tokens = (
            allotment.allotted_tokens
            - allotment.spent_tokens
            - allotment.reserved_tokens
        )
        free_calls = (
            allotment.allotted_calls - allotment.spent_calls - allotment.reserved_calls
        )
        tokens_fit = limit.tokens is None or tokens <= free_tokens
        calls_fit = limit.calls is None or free_calls >= 1
        return tokens_fit and calls_fit

    async def request_more(
        self, shard: OwnedShard, team: TeamId, limit: Budget, *, tokens: int
    ) -> None:
        """Obtains another allotment that is large enough for one call.

        Raises:
            BudgetExceeded: The remaining budget of the team is too small.
            Unavailable: The platform is unavailable.
        """
        lock = self._locks.setdefault((shard.shard, team), trio.Lock())
        async with lock:
            if self.fits(shard, team, limit, tokens=tokens):
                return
            allotment = shard.state.get_team_allotment(team)
            spent = allotment.spent_tokens + allotment.reserved_tokens
            missing = max(0, tokens + spent - allotment.allotted_tokens)
            try:
                allotted = await self._allot(team, limit, missing_tokens=missing)
            except (ObjectStoreUnavailable, WriteOutcomeUnknown) as error:
                raise Unavailable(
                    f"The budget of team {team} cannot be updated: {error} "
                    "Send the call again later.",
                    retry_after=RETRY_SECONDS,
                ) from error
            shard.append(allotted)

    async def _allot(
        self, team: TeamId, limit: Budget, *, missing_tokens: int
    ) -> TeamAllotted:
        key = f"budgets/{team}"
        token = uuid.uuid4().hex
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._objects.read(key)
            totals = stored.decode(AllotmentTotals) if stored else AllotmentTotals()
            tokens = _choose_amount(
                team, "tokens", limit.tokens, totals.tokens, missing_tokens
            )
            calls = _choose_amount(team, "calls", limit.calls, totals.calls, 1)
            updated = AllotmentTotals(
                totals.tokens + tokens, totals.calls + calls, token
            )
            version = stored.version if stored else Version(0)
            try:
                await self._objects.write(key, updated, expected_version=version)
            except ObjectVersionConflict:
                continue
            except WriteOutcomeUnknown:
                if not await self._is_written(key, token):
                    continue
            return TeamAllotted(team, tokens, calls)
        raise ObjectStoreUnavailable(
            "The team's budget was changed concurrently too often."
        )

    async def _is_written(self, key: str, token: str) -> bool:
        stored = await self._objects.read(key)
        return stored is not None and stored.decode(AllotmentTotals).token == token


def _choose_amount(
    team: TeamId, name: str, limit: int | None, allotted: int, missing: int
) -> int:
    """Returns how much to allot: the missing amount or a fixed share of the budget.

    Raises:
        BudgetExceeded: The rest of the budget is smaller than the missing amount.
    """
    if limit is None:
        return 0
    left = limit - allotted
    if left < missing:
        raise BudgetExceeded(
            f"Team {team} has {max(0, left)} of {limit} {name} left to allot, and the "
            f"call needs {missing}. Increase the team's budget.",
            field=f"team.budget.{name}",
        )
    return min(left, max(missing, limit // ALLOTMENTS_PER_BUDGET))
