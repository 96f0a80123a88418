"""Team budgets: a shard spends from allotments taken out of the team's budget.

The object ``budgets/{team}`` counts what all shards have been allotted. An allotment is
taken by a conditional update before the shard may spend it, so the sum never passes the
budget; one whose record is lost in a crash is never spent. The shard's journal keeps
its allotments, so that they move with the shard.
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


class TeamGrants(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of the object ``budgets/{team}``.

    Attributes:
        tokens: Tokens allotted to shards so far.
        calls: Calls allotted to shards so far.
        token: Unique id of this update; settles one whose answer was lost.
    """

    tokens: int = 0
    calls: int = 0
    token: str = ""


@final
class AllotmentManager:
    """Takes allotments for the shards of this owner."""

    def __init__(self, objects: ObjectClient) -> None:
        self._objects = objects
        self._locks: dict[tuple[ShardId, TeamId], trio.Lock] = {}

    def fits(
        self, shard: OwnedShard, team: TeamId, limit: Budget, *, tokens: int
    ) -> bool:
        """Returns whether one more call with these tokens fits the allotments."""
        account = shard.state.get_team_allotment(team)
        free_tokens = (
            account.allotted_tokens - account.spent_tokens - account.reserved_tokens
        )
        free_calls = (
            account.allotted_calls - account.spent_calls - account.reserved_calls
        )
        tokens_fit = limit.tokens is None or tokens <= free_tokens
        calls_fit = limit.calls is None or free_calls >= 1
        return tokens_fit and calls_fit

    async def request_more(
        self, shard: OwnedShard, team: TeamId, limit: Budget, *, tokens: int
    ) -> None:
        """Takes a further allotment that leaves room for one call.

        Raises:
            BudgetExceeded: The team's budget is used up.
            Unavailable: The platform is down.
        """
        lock = self._locks.setdefault((shard.shard, team), trio.Lock())
        async with lock:
            if self.fits(shard, team, limit, tokens=tokens):
                return
            account = shard.state.get_team_allotment(team)
            spent = account.spent_tokens + account.reserved_tokens
            missing = max(0, tokens + spent - account.allotted_tokens)
            try:
                allotted = await self._take(team, limit, missing_tokens=missing)
            except (ObjectStoreUnavailable, WriteOutcomeUnknown) as error:
                raise Unavailable(
                    f"The budget of team {team} cannot be read: {error} "
                    "Send the call again later.",
                    retry_after=RETRY_SECONDS,
                ) from error
            shard.append(allotted)

    async def _take(
        self, team: TeamId, limit: Budget, *, missing_tokens: int
    ) -> TeamAllotted:
        key = f"budgets/{team}"
        token = uuid.uuid4().hex
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._objects.read(key)
            grants = stored.decode(TeamGrants) if stored else TeamGrants()
            tokens = _choose_share(
                team, "tokens", limit.tokens, grants.tokens, missing_tokens
            )
            calls = _choose_share(team, "calls", limit.calls, grants.calls, 1)
            changed = TeamGrants(grants.tokens + tokens, grants.calls + calls, token)
            version = stored.version if stored else Version(0)
            try:
                await self._objects.write(key, changed, expected_version=version)
            except ObjectVersionConflict:
                continue
            except WriteOutcomeUnknown:
                if not await self._took_effect(key, token):
                    continue
            return TeamAllotted(team, tokens, calls)
        raise ObjectStoreUnavailable("The team's budget changes all the time.")

    async def _took_effect(self, key: str, token: str) -> bool:
        stored = await self._objects.read(key)
        return stored is not None and stored.decode(TeamGrants).token == token


def _choose_share(
    team: TeamId, name: str, limit: int | None, granted: int, missing: int
) -> int:
    """Returns how much to take: what is missing, or a bounded part of the budget.

    Raises:
        BudgetExceeded: Less than what is missing is left.
    """
    if limit is None:
        return 0
    left = limit - granted
    if left < missing:
        raise BudgetExceeded(
            f"Team {team} has {max(0, left)} of {limit} {name} left to allot and the "
            f"call needs {missing}. Raise the team's budget.",
            field=f"team.budget.{name}",
        )
    return min(left, max(missing, limit // ALLOTMENTS_PER_BUDGET))
