"""Tokens and waiting calls of one account at one frontend."""

from collections import deque
from collections.abc import Callable, Sequence
from enum import Enum
from typing import final

import msgspec

from goldcrestvane_common.ids import AccountId
from goldcrestvane_daemon.accounts.quota_buckets import (
    MAX_RETRY_SECONDS,
    TOKEN_SECONDS,
)
from goldcrestvane_daemon.accounts.quota_items import (
    GrantId,
    GrantUse,
    QuotaGrant,
    QuotaItem,
    QuotaLimit,
)

IDLE_SECONDS = 0.6
"""Time for which a token is held for expected calls before it is returned."""

REPORT_SECONDS = 0.25
"""Time within which the use of tokens is reported to a member with little credit left."""

SPARE_REPORT_SECONDS = 1.0
"""The same, while the member has credit to spare. Reports on several accounts then share
a message. A member counts an unreported token for 3 s."""

PREFETCH_SECONDS = 0.5
"""Time whose expected calls get tokens ahead."""

PREFETCH_BACKOFF_SECONDS = 0.25
"""Time for which no tokens are prefetched after a member had none to spare."""

DEMAND_SECONDS = 1.0
"""Time over which the rate of an account's calls is averaged."""

EXPIRY_SECONDS = 30.0
"""Time after its last call at which an account is forgotten."""


class TokenState(Enum):
    """State of a call's request for a token."""

    WAITING = "waiting"
    HELD = "held"
    EXCEEDED = "exceeded"
    UNAVAILABLE = "unavailable"


class _Grant(msgspec.Struct, kw_only=True):
    """Tokens of one grant, and the totals of what was done with them."""

    member: str
    grant: GrantId
    expires_at: float
    unsettled: int
    used: int = 0
    returned: int = 0


class Token(msgspec.Struct, eq=False, kw_only=True):
    """Permits one attempt.

    Attributes:
        source: The grant that it belongs to.
        held_since: Time since which it is held by a call, or for one.
    """

    source: _Grant
    held_since: float

    def is_valid(self, now: float) -> bool:
        """Returns whether an attempt may begin with this token."""
        return now < self.source.expires_at


class TokenRequest(msgspec.Struct, eq=False, kw_only=True):
    """Request of one call for a token.

    Attributes:
        state: Whether the call has a token, waits for it, or must be refused.
        token: The token, if the call has one.
        retry_seconds: Time after which a refused call may be repeated.
        on_decided: Called once the state is final.
    """

    state: TokenState = TokenState.WAITING
    token: Token | None = None
    retry_seconds: float = 0.0
    on_decided: Callable[[], None] | None = None

    def decide(self, state: TokenState) -> None:
        """Sets the final state."""
        self.state = state
        if self.on_decided is not None:
            self.on_decided()


@final
class AccountTokens:
    """Tokens and waiting calls of one account at one frontend."""

    def __init__(self, account: AccountId, limit: QuotaLimit, now: float) -> None:
        self.account = account
        self.limit = limit
        self.members: Sequence[str] = ()
        self.last_call_at = now
        self.waiting: deque[TokenRequest] = deque()
        self.asked: dict[str, int] = {}
        self.report_due_at: float | None = None
        self._free: deque[Token] = deque()
        self._dirty: dict[GrantId, _Grant] = {}
        self._blocked_until: dict[str, float] = {}
        self._denied: dict[str, bool] = {}
        self._is_spare: dict[str, bool] = {}
        self._prefetch_at = 0.0
        self._demand = 0.0
        self._demand_at = now
        self._last_retry_at = 0.0

    def adopt(self, limit: QuotaLimit, now: float) -> None:
        """Adopts the limit of a newer version; returns the tokens of a higher one."""
        is_lower = limit.rate < self.limit.rate or limit.burst < self.limit.burst
        self.limit = limit
        if is_lower:
            for token in self._free:
                self.settle(token, used=False, now=now)
            self._free.clear()

    def count_call(self, now: float) -> None:
        """Counts a call in the average rate of the account's calls."""
        self._demand = self._get_demand(now) + 1 / DEMAND_SECONDS
        self._demand_at = now
        self.last_call_at = now

    def _get_demand(self, now: float) -> float:
        elapsed = max(0.0, now - self._demand_at)
        return self._demand * max(0.0, 1 - elapsed / DEMAND_SECONDS)

    def distribute(self, now: float) -> None:
        """Gives free tokens to the calls that wait, the oldest call first."""
        self._drop_expired(now)
        while self.waiting and self._free:
            request = self.waiting.popleft()
            request.token = self._free.popleft()
            request.token.held_since = now
            request.decide(TokenState.HELD)

    def choose_member(self, skipped: set[str], now: float) -> str | None:
        """Returns the first member that may have tokens; None if there is none."""
        for member in self.members:
            if member not in skipped and self.can_ask(member, now):
                return member
        return None

    def refuse(self, skipped: set[str], late: set[str], now: float) -> None:
        """Refuses the waiting calls if no member is left to ask for a token.

        Args:
            skipped: Members that are not asked now.
            late: Those of them whose responses may still come. Calls wait for them unless
                other members have said that the account is over its quota.
            now: Current time.
        """
        if not self.waiting or any(self.asked.values()):
            return
        if self.choose_member(skipped, now) is not None:
            return
        times = [
            self._blocked_until[member]
            for member in self.members
            if self._denied.get(member) and not self.can_ask(member, now)
        ]
        if not times and not late.isdisjoint(self.members):
            return
        refused, self.waiting = self.waiting, deque()
        for request in refused:
            if times:
                request.retry_seconds = self._schedule_retry(min(times), now)
            request.decide(TokenState.EXCEEDED if times else TokenState.UNAVAILABLE)

    def _schedule_retry(self, earliest: float, now: float) -> float:
        """Returns the time after which a refused call may be repeated.

        Calls that are refused together get different times.
        """
        interval = min(1 / self.limit.rate, MAX_RETRY_SECONDS / 4)
        next_at = max(earliest, self._last_retry_at + interval)
        if next_at > now + MAX_RETRY_SECONDS:
            # The golden ratio keeps the times of successive rounds apart.
            next_at = earliest + interval * (self._last_retry_at * 0.618 % 1)
        self._last_retry_at = next_at
        return next_at - now

    def can_ask(self, member: str, now: float) -> bool:
        """Returns whether a member may have tokens of the account."""
        return self._blocked_until.get(member, 0.0) <= now

    def count_wanted(self) -> int:
        """Returns the number of calls for whose tokens no member is being asked."""
        return max(0, len(self.waiting) - sum(self.asked.values()))

    def count_prefetched(self, now: float) -> int:
        """Returns the number of tokens to ask for beyond those of waiting calls."""
        if now < self._prefetch_at:
            return 0
        expected = int(self._get_demand(now) * PREFETCH_SECONDS)
        missing = expected - len(self._free)
        # Asking for single tokens would cost a message for each call.
        return missing if missing * 2 >= expected else 0

    def build_item(
        self, member: str, *, wanted: int, prefetched: int, now: float
    ) -> QuotaItem:
        """Returns a request to a member with all reports that it should get."""
        uses = [
            GrantUse(each.grant, each.used, each.returned)
            for each in self._dirty.values()
            if each.member == member
        ]
        for use in uses:
            del self._dirty[use.grant]
        if not self._dirty:
            self.report_due_at = None
        self.asked[member] = wanted
        if prefetched:
            self._prefetch_at = now + PREFETCH_BACKOFF_SECONDS
        return QuotaItem(self.account, self.limit, wanted, prefetched, uses)

    def list_reported_members(self) -> set[str]:
        """Returns the members that wait for a report."""
        return {each.member for each in self._dirty.values()}

    def has_reports(self, member: str) -> bool:
        """Returns whether a member waits for a report."""
        return any(each.member == member for each in self._dirty.values())

    def is_report_due(self, member: str, now: float) -> bool:
        """Returns whether a member has waited long enough for a report."""
        if self.report_due_at is None or self.report_due_at > now:
            return False
        return self.has_reports(member)

    def receive(
        self, member: str, item: QuotaItem, grant: QuotaGrant, asked_at: float
    ) -> None:
        """Records a member's response to a request that was sent at a time."""
        self.asked.pop(member, None)
        self._is_spare[member] = grant.is_spare
        if grant.tokens:
            source = _Grant(
                member=member,
                grant=grant.grant,
                expires_at=asked_at + TOKEN_SECONDS,
                unsettled=grant.tokens,
            )
            self._free.extend(
                Token(source=source, held_since=asked_at) for _ in range(grant.tokens)
            )
        if item.prefetched and grant.tokens == item.wanted + item.prefetched:
            self._prefetch_at = 0.0

    def block(self, member: str, until: float, *, denied: bool) -> None:
        """Records that a member has no tokens before a time.

        Args:
            member: The member.
            until: Time at which it may be asked again.
            denied: Whether the account is over its share there; else the member does
                not issue its tokens now.
        """
        self._blocked_until[member] = until
        self._denied[member] = denied

    def settle(self, token: Token, *, used: bool, now: float) -> None:
        """Records that a token was used or will never be used."""
        source = token.source
        if used:
            source.used += 1
        else:
            source.returned += 1
        source.unsettled -= 1
        self._dirty[source.grant] = source
        # Returned tokens can be issued again, so they never wait.
        is_spare = used and self._is_spare.get(source.member, False)
        due_at = now + (SPARE_REPORT_SECONDS if is_spare else REPORT_SECONDS)
        self.report_due_at = min(self.report_due_at or due_at, due_at)

    def put_back(self, token: Token, now: float) -> None:
        """Makes the token of a call available to the next calls.

        The time for which the call has held it counts as idle time.
        """
        if token.is_valid(now):
            self._free.appendleft(token)
            self.distribute(now)
        else:
            self.settle(token, used=False, now=now)

    def return_idle(self, now: float) -> None:
        """Returns tokens that no call has needed for some time."""
        self._drop_expired(now)
        for token in list(self._free):
            if now - token.held_since >= IDLE_SECONDS:
                self._free.remove(token)
                self.settle(token, used=False, now=now)

    def _drop_expired(self, now: float) -> None:
        for token in [each for each in self._free if not each.is_valid(now)]:
            self._free.remove(token)
            self.settle(token, used=False, now=now)

    def is_quiet(self, now: float) -> bool:
        """Returns whether there is nothing to do before the account's next call."""
        return (
            not self._free
            and not self._dirty
            and not self.waiting
            and now - self.last_call_at > DEMAND_SECONDS
        )

    def is_idle(self, now: float) -> bool:
        """Returns whether nothing is lost if the account is forgotten."""
        return (
            self.is_quiet(now)
            and not self.asked
            and now - self.last_call_at > EXPIRY_SECONDS
        )
