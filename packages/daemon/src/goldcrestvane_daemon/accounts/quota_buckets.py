"""Tokens that one member of the ledger issues from its shares of the quotas.

Load pattern: an account sends close to its limit, through three frontends or through all
of them, while processes restart and messages are lost. Each of the k members of the
account's group issues an equal share from a bucket of its own, so that no member has to
ask another one. A token that was issued counts until its use was reported or it expired.
"""

from collections import deque
from typing import final

import msgspec

from goldcrestvane_common.ids import AccountId
from goldcrestvane_daemon.accounts.directory import Quota, QuotaTolerance
from goldcrestvane_daemon.accounts.issue_history import IssueHistory
from goldcrestvane_daemon.accounts.quota_items import (
    GrantId,
    GrantUse,
    QuotaGrant,
    QuotaItem,
    QuotaLimit,
)

TOKEN_SECONDS = 2.0
"""Time from a frontend's request for a token until the frontend may no longer use it."""

TOKEN_MARGIN_SECONDS = 1.0
"""Further time for which a member counts a token. It covers the connection to the target
and the transfer of a request that was begun just before the token expired."""

ISSUED_SECONDS = TOKEN_SECONDS + TOKEN_MARGIN_SECONDS
"""Time for which a member counts a token whose use nobody reports."""

MIN_SLACK = 6.0
"""Minimum slack in tokens for each member. With less, a member could have only one token
in use, and the small buckets of small quotas would overflow between two calls."""

START_SHARE = 0.2
"""Share of a member's slack that is its credit while tokens of a predecessor may be in
use. Two restarts within a token's lifetime need it twice."""

USEFUL_CAPACITY = 2.5
"""Capacity in tokens that a bucket should have. Smaller buckets overflow between two
calls, so that less than the limit can be used."""

CAPACITY_SHARE = 0.4
"""Maximum share of the rest of the slack that raises a small bucket's capacity."""

CREDIT_RETRY_SECONDS = 0.05
"""Time after which to ask again if too many tokens are in use. Frontends report the use
of tokens with their next request."""

RETRY_SPREAD_SECONDS = 0.25
"""Time over which the next requests of frontends without a token are spread."""

MAX_RETRY_SECONDS = 2.0
"""Maximum time after which a frontend is told to ask again, since limits change."""

EXPIRY_SECONDS = 30.0
"""Time after which an account is forgotten that no frontend has named again."""

ROUNDING = 1e-9


class QuotaShare(msgspec.Struct, frozen=True, kw_only=True):
    """One member's share of a quota.

    In a window, ``capacity + rate * window + credit + 2 * start_credit`` attempts may run
    with the tokens of a member that restarts at most twice. The sum over all members is
    within the tolerance of the quota.

    Attributes:
        rate: Tokens per second.
        capacity: Maximum number of tokens that can be issued at once.
        credit: Maximum number of issued tokens that are neither used nor returned.
        start_credit: The same, while tokens of a predecessor may be in use.
    """

    rate: float
    capacity: float
    credit: float
    start_credit: float


def count_issuers(tolerance: QuotaTolerance) -> int:
    """Returns the maximum number of members that divide each quota.

    It depends on nothing that changes while a deployment runs.
    """
    return max(1, int(tolerance.requests / MIN_SLACK))


def compute_share(quota: Quota, tolerance: QuotaTolerance, members: int) -> QuotaShare:
    """Returns the share of one of several members.

    Credits are at least one token, as otherwise the quota could not be used. If a
    deployment tolerates less than four requests beyond its quotas, the bound therefore
    holds with fewer restarts within a token's lifetime than two.
    """
    slack = tolerance.compute_slack(quota) / members
    burst = quota.burst / members
    start_credit = max(1.0, START_SHARE * slack)
    rest = max(0.0, slack - 2 * start_credit)
    raised = min(max(0.0, USEFUL_CAPACITY - burst), CAPACITY_SHARE * rest)
    raised = max(1.0 - burst, min(raised, rest - 1.0), 0.0)
    return QuotaShare(
        rate=quota.rate / members,
        capacity=burst + raised,
        credit=max(1.0, rest - raised),
        start_credit=start_credit,
    )


class _Issued(msgspec.Struct, kw_only=True):
    """Tokens of one grant that are in use, and the totals that were reported."""

    live: int
    expires_at: float
    used: int = 0
    returned: int = 0


@final
class QuotaBucket:
    """Tokens of one account at one member.

    Attributes:
        limit: Limit of the highest version that any frontend has named.
        share: The member's share of it.
        asked_at: Time of the last request.
        outstanding: Tokens issued and not yet reported as used, returned or expired.
        began: Time at which the member began to issue the account's tokens.
    """

    def __init__(
        self,
        limit: QuotaLimit,
        share: QuotaShare,
        *,
        members: int,
        began: float,
        now: float,
        history_seconds: float,
    ) -> None:
        """Creates a bucket as if it had existed since the member began to issue.

        Args:
            limit: Limit of the account.
            share: The member's share of it.
            members: Number of members that have a share.
            began: Time at which the member began to issue the account's tokens.
            now: Current time.
            history_seconds: Time for which issued tokens count when the limit rises.
        """
        self.limit = limit
        self.share = share
        self.asked_at = now
        self.outstanding = 0
        self._members = members
        self.began = began
        self._level = min(share.capacity, share.start_credit)
        self._refilled_at = began
        self._grants: dict[GrantId, _Issued] = {}
        self._order: deque[GrantId] = deque()
        self._next_retry_at = now
        self._history = IssueHistory(history_seconds)
        self._update(now)

    def adopt(
        self, limit: QuotaLimit, tolerance: QuotaTolerance, members: int, now: float
    ) -> None:
        """Adopts a limit with a higher version, or another number of members."""
        is_newer = limit.version > self.limit.version
        if not is_newer and members == self._members:
            return
        self._update(now)
        if is_newer:
            self.limit = limit
        share = compute_share(self.limit.quota, tolerance, members)
        if is_newer and members == self._members:
            # A higher limit takes effect at once. What was issued before counts as if the
            # limit had been in force then, so that a limit that was lowered and restored
            # does not grant its burst again.
            raised = self._level + max(0.0, share.capacity - self.share.capacity)
            backlog = self._history.compute_backlog(share.rate, now)
            unused = max(0.0, share.capacity - backlog)
            self._level = max(self._level, min(raised, unused))
        self.share, self._members = share, members
        self._level = min(self._level, share.capacity)

    def issue(self, grant: GrantId, *, wanted: int, prefetched: int, now: float) -> int:
        """Issues tokens and returns their number.

        Args:
            grant: Identifies the issued tokens.
            wanted: Tokens for calls that wait.
            prefetched: Tokens for expected calls. They are issued only while less than
                half of the credit is in use and more than half of the level is left, so
                that they are not missing at another frontend.
            now: Current time.
        """
        self._update(now)
        credit = self._get_credit(now)
        count = min(
            wanted,
            int(self._level + ROUNDING),
            int(credit - self.outstanding + ROUNDING),
        )
        count = max(0, count)
        if prefetched:
            spare = min(
                self._level - count - self.share.capacity / 2,
                credit / 2 - self.outstanding - count,
            )
            count += max(0, min(prefetched, int(spare + ROUNDING)))
        if count:
            self._level -= count
            self._history.add(count, now)
            self.outstanding += count
            self._grants[grant] = _Issued(live=count, expires_at=now + ISSUED_SECONDS)
            self._order.append(grant)
        return count

    def record_use(self, use: GrantUse, now: float) -> None:
        """Records what a frontend did with a grant; ignores grants that have expired."""
        self._update(now)
        issued = self._grants.get(use.grant)
        if issued is None:
            return
        used = min(issued.live, max(0, use.used - issued.used))
        issued.live -= used
        issued.used += used
        returned = min(issued.live, max(0, use.returned - issued.returned))
        issued.live -= returned
        issued.returned += returned
        self.outstanding -= used + returned
        self._level = min(self.share.capacity, self._level + returned)
        if returned:
            self._history.add(-returned, now)
        if not issued.live:
            del self._grants[use.grant]

    def schedule_retry(self, now: float) -> float:
        """Returns the seconds after which a frontend without a token should ask again.

        Frontends are told different times, so that the number of their requests follows
        the limit and not the number of frontends.
        """
        self._update(now)
        if self._level >= 1.0 - ROUNDING:
            return CREDIT_RETRY_SECONDS
        earliest = now + (1.0 - self._level) / self.share.rate
        step = min(1 / self.share.rate, RETRY_SPREAD_SECONDS / 8)
        next_at = max(earliest, self._next_retry_at + step)
        is_late = next_at > earliest + RETRY_SPREAD_SECONDS
        self._next_retry_at = earliest if is_late else next_at
        return min(MAX_RETRY_SECONDS, self._next_retry_at - now)

    def has_spare_credit(self, now: float) -> bool:
        """Returns whether less than half of the credit is in use."""
        return self.outstanding < self._get_credit(now) / 2

    def is_forgettable(self, now: float) -> bool:
        """Returns whether a new bucket would have the same state."""
        if self.asked_at > now - EXPIRY_SECONDS:
            return False
        self._update(now)
        return not self.outstanding and self._level >= self.share.capacity

    def _get_credit(self, now: float) -> float:
        is_new = now < self.began + ISSUED_SECONDS
        return self.share.start_credit if is_new else self.share.credit

    def _update(self, now: float) -> None:
        """Adds the tokens of the time since the last update and drops expired ones."""
        if now > self._refilled_at:
            added = self.share.rate * (now - self._refilled_at)
            self._level = min(self.share.capacity, self._level + added)
            self._refilled_at = now
        while self._order:
            issued = self._grants.get(self._order[0])
            if issued is not None:
                if issued.expires_at > now:
                    return
                self.outstanding -= issued.live
                del self._grants[self._order[0]]
            self._order.popleft()


@final
class QuotaBuckets:
    """The buckets of one member."""

    def __init__(self, tolerance: QuotaTolerance, first_grant: GrantId) -> None:
        """Creates the buckets of a process.

        Args:
            tolerance: Bounds within which quotas are enforced.
            first_grant: Id of the first grant; random, so that no report is mistaken for
                one about a grant of another process.
        """
        self._tolerance = tolerance
        self._next_grant = first_grant
        self._buckets: dict[AccountId, QuotaBucket] = {}

    def handle(
        self, item: QuotaItem, *, members: int, began: float, now: float
    ) -> QuotaGrant:
        """Records a frontend's reports on an account and issues tokens.

        Args:
            item: Request of a frontend.
            members: Number of members that have a share of the quota.
            began: Time at which this member began to issue the account's tokens.
            now: Current time.
        """
        bucket = self._get_bucket(item, members, began, now)
        for use in item.uses:
            bucket.record_use(use, now)
        grant = self._next_grant
        self._next_grant = GrantId(grant + 1)
        tokens = bucket.issue(
            grant, wanted=item.wanted, prefetched=item.prefetched, now=now
        )
        retry = bucket.schedule_retry(now) if tokens < item.wanted else 0.0
        return QuotaGrant(
            item.account, grant, tokens, retry, bucket.has_spare_credit(now)
        )

    def forget_idle(self, now: float) -> None:
        """Forgets the accounts that no frontend has named for some time."""
        for account, bucket in list(self._buckets.items()):
            if bucket.is_forgettable(now):
                del self._buckets[account]

    def _get_bucket(
        self, item: QuotaItem, members: int, began: float, now: float
    ) -> QuotaBucket:
        bucket = self._buckets.get(item.account)
        if bucket is None or bucket.began != began:
            limit = item.limit
            if bucket is not None and bucket.limit.version > limit.version:
                limit = bucket.limit
            share = compute_share(limit.quota, self._tolerance, members)
            bucket = self._buckets[item.account] = QuotaBucket(
                limit,
                share,
                members=members,
                began=began,
                now=now,
                history_seconds=self._tolerance.window_seconds + ISSUED_SECONDS,
            )
        bucket.adopt(item.limit, self._tolerance, members, now)
        bucket.asked_at = now
        return bucket
