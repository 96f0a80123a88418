"""Tokens of accounts at one frontend: which are held, and which member to ask for more.

Load pattern: a busy account enters through three frontends while nineteen are idle, or
through sixty frontends with less than one request each. Tokens follow the calls: a
frontend asks for what its waiting calls need, and for what it expects within half a
second if the members have tokens to spare.
"""

from collections.abc import Iterable, Sequence
from typing import final

import msgspec

from goldcrestvane_common.ids import AccountId, Version
from goldcrestvane_daemon.accounts.account_tokens import (
    AccountTokens,
    Token,
    TokenRequest,
    TokenState,
)
from goldcrestvane_daemon.accounts.directory import ClientAccount, Quota
from goldcrestvane_daemon.accounts.quota_items import (
    QuotaGrant,
    QuotaItem,
    QuotaLimit,
)
from goldcrestvane_daemon.response_times import ResponseTimeout

SENT_SECONDS = 0.1
"""Time after which an attempt that was sent counts as run. Targets reject calls faster; a
token whose use was reported is not used again."""

PARK_SECONDS = 0.4
"""Time for which a waiting call keeps its token. A call that waits longer for a target
takes another token when it is sent, so that calls in queues do not use up the credit."""

LATE_SECONDS = 0.15
MAX_LATE_SECONDS = 0.5
"""Minimum and maximum time after which the calls that wait for a member's response also ask
another member. A packet that is lost once is sent again after 0.2 s."""

UNRESPONSIVE_SECONDS = 1.0
"""Time for which a member that could not be reached is not asked."""

NOT_ISSUING_SECONDS = 0.2
"""Time for which a member that issues no tokens of an account is not asked for them."""


class _Member(msgspec.Struct):
    """What a frontend knows of a member, for all accounts.

    Attributes:
        asked_at: Time at which it was asked, while its response is awaited.
        is_late: Whether other members are asked since this one has not responded yet.
        unresponsive_until: Time before which it is not asked.
    """

    asked_at: float | None = None
    is_late: bool = False
    unresponsive_until: float = 0.0

    def may_be_asked(self, now: float) -> bool:
        """Returns whether a request may be sent to the member."""
        return self.asked_at is None and self.unresponsive_until <= now


@final
class QuotaTokens:
    """Tokens of all accounts at one frontend."""

    def __init__(self) -> None:
        self._accounts: dict[AccountId, AccountTokens] = {}
        self._members: dict[str, _Member] = {}
        self._late_after = ResponseTimeout(
            minimum=LATE_SECONDS, maximum=MAX_LATE_SECONDS
        )

    @property
    def is_empty(self) -> bool:
        """Whether no account has had a call recently."""
        return not self._accounts

    def request(
        self,
        account: ClientAccount,
        quota: Quota,
        version: Version,
        members: Sequence[str],
        now: float,
    ) -> TokenRequest:
        """Requests a token for an attempt of a call.

        Args:
            account: The account of the call.
            quota: Its limit.
            version: Version of the configuration that states the limit.
            members: Members that issue its tokens, in the order in which to ask them.
            now: Current time.
        """
        limit = QuotaLimit(version, quota.rate, quota.burst)
        tokens = self._accounts.get(account.account)
        if tokens is None:
            tokens = AccountTokens(account.account, limit, now)
            self._accounts[account.account] = tokens
        if version > tokens.limit.version:
            tokens.adopt(limit, now)
        tokens.members = members
        tokens.count_call(now)
        request = TokenRequest()
        tokens.waiting.append(request)
        tokens.distribute(now)
        tokens.refuse(self._list_skipped(now), self._list_late(), now)
        return request

    def cancel(self, account: AccountId, request: TokenRequest, now: float) -> None:
        """Ends a request, whether or not it has got a token."""
        if request.token is not None:
            self.put_back(account, request.token, now)
            request.token = None
        elif request.state is TokenState.WAITING:
            self._accounts[account].waiting.remove(request)

    def put_back(self, account: AccountId, token: Token, now: float) -> None:
        """Makes a token available to the next calls."""
        tokens = self._accounts.get(account)
        if tokens is not None:
            tokens.put_back(token, now)

    def settle_used(self, account: AccountId, token: Token, now: float) -> None:
        """Records that an attempt with a token ran or may have run."""
        tokens = self._accounts.get(account)
        if tokens is not None:
            tokens.settle(token, used=True, now=now)

    def choose_members(self, accounts: Iterable[AccountId], now: float) -> set[str]:
        """Returns the member to ask for the tokens of each account."""
        skipped = self._list_skipped(now)
        found = {
            self._accounts[account].choose_member(skipped, now)
            for account in accounts
            if account in self._accounts
        }
        return {member for member in found if member is not None}

    def build_items(self, member: str, now: float) -> list[QuotaItem]:
        """Returns what to ask a member now; marks it as being asked unless empty.

        A member gets one request at a time.
        """
        known = self._members.setdefault(member, _Member())
        if not known.may_be_asked(now):
            return []
        skipped = self._list_skipped(now)
        due: list[AccountTokens] = []
        items: list[QuotaItem] = []
        for tokens in self._accounts.values():
            if tokens.is_quiet(now):
                continue
            wanted = prefetched = 0
            if tokens.choose_member(skipped, now) == member:
                wanted = tokens.count_wanted()
                prefetched = tokens.count_prefetched(now)
            if wanted or prefetched or tokens.is_report_due(member, now):
                items.append(
                    tokens.build_item(
                        member, wanted=wanted, prefetched=prefetched, now=now
                    )
                )
            else:
                due.append(tokens)
        if items:
            # Reports that are not due yet go with the others.
            items += [
                tokens.build_item(member, wanted=0, prefetched=0, now=now)
                for tokens in due
                if tokens.has_reports(member)
            ]
        known.asked_at = now if items else None
        return items

    def list_members(self, now: float) -> set[str]:
        """Returns the members that may have to be asked."""
        busy = [each for each in self._accounts.values() if not each.is_quiet(now)]
        members = self.choose_members([each.account for each in busy], now)
        for tokens in busy:
            members.update(tokens.list_reported_members())
        return members

    def receive(
        self,
        member: str,
        items: list[QuotaItem],
        grants: list[QuotaGrant],
        *,
        asked_at: float,
        now: float,
    ) -> None:
        """Records a member's response to a request that was sent at a time."""
        self._end_request(member)
        self._late_after.record(now - asked_at)
        by_account = {grant.account: grant for grant in grants}
        for item in items:
            tokens = self._accounts.get(item.account)
            if tokens is None:
                continue
            missing = QuotaGrant(item.account, retry_seconds=None)
            grant = by_account.get(item.account, missing)
            tokens.receive(member, item, grant, asked_at)
            if grant.retry_seconds is None:
                tokens.block(member, now + NOT_ISSUING_SECONDS, denied=False)
            elif grant.tokens < item.wanted:
                tokens.block(member, now + grant.retry_seconds, denied=True)
        self._settle_requests(items, now)

    def fail(self, member: str, items: list[QuotaItem], now: float) -> None:
        """Records that a member could not be reached; its reports are dropped."""
        self._end_request(member).unresponsive_until = now + UNRESPONSIVE_SECONDS
        for item in items:
            tokens = self._accounts.get(item.account)
            if tokens is not None:
                tokens.asked.pop(member, None)
        self._settle_requests(items, now)

    def _end_request(self, member: str) -> _Member:
        known = self._members[member]
        known.asked_at, known.is_late = None, False
        return known

    def _settle_requests(self, items: list[QuotaItem], now: float) -> None:
        skipped, late = self._list_skipped(now), self._list_late()
        for item in items:
            tokens = self._accounts.get(item.account)
            if tokens is not None:
                tokens.distribute(now)
                tokens.refuse(skipped, late, now)

    def _list_skipped(self, now: float) -> set[str]:
        """Returns the members that are not asked now."""
        return {
            member
            for member, known in self._members.items()
            if known.is_late or known.unresponsive_until > now
        }

    def _list_late(self) -> set[str]:
        return {member for member, known in self._members.items() if known.is_late}

    def _mark_late(self, now: float) -> None:
        """Frees the calls that wait for late members to ask others as well."""
        for member, known in self._members.items():
            if known.asked_at is None or known.is_late:
                continue
            if now - known.asked_at >= self._late_after.seconds:
                known.is_late = True
                for tokens in self._accounts.values():
                    tokens.asked.pop(member, None)

    def update(self, now: float) -> None:
        """Finds late members, returns unused tokens and forgets idle accounts."""
        self._mark_late(now)
        skipped, late = self._list_skipped(now), self._list_late()
        for account, tokens in list(self._accounts.items()):
            if not tokens.is_quiet(now):
                tokens.return_idle(now)
                tokens.refuse(skipped, late, now)
            elif tokens.is_idle(now):
                del self._accounts[account]
