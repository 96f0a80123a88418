"""Tokens for the attempts of calls whose account has a quota."""

import functools
from collections.abc import Sequence
from typing import Any, Protocol, Self, final

import trio

from goldcrestvane_common.ids import AccountId, DomainId, hash_text
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.accounts.account_tokens import (
    Token,
    TokenRequest,
    TokenState,
)
from goldcrestvane_daemon.accounts.directory import ClientAccount, Quota
from goldcrestvane_daemon.accounts.quota_items import QuotaItem
from goldcrestvane_daemon.accounts.quota_tokens import (
    LATE_SECONDS,
    PARK_SECONDS,
    SENT_SECONDS,
    QuotaTokens,
)
from goldcrestvane_daemon.clock import get_elapsed_time
from goldcrestvane_daemon.frontend.call_context import CallContext
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable
from goldcrestvane_daemon.frontend.metrics import (
    QUOTA_CALLS,
    QUOTA_EXCHANGES,
    QUOTA_TOKENS,
)
from goldcrestvane_daemon.frontend.refusals import QuotaExceeded, QuotaUnavailable
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import AcquireQuota, QuotaGrants
from goldcrestvane_daemon.ledger.view import Member, View
from goldcrestvane_daemon.tasks import Task, run_supervised

ANSWER_SECONDS = 1.0
"""Time for which a member's response is awaited. Its tokens can be used for another second
then. Calls ask other members sooner."""

MIN_INTERVAL_SECONDS = 0.01
"""Minimum interval between two requests to a member. It bounds the messages of a busy
account; what arises in the meantime goes into the next request."""

UPDATE_INTERVAL_SECONDS = 0.1
"""Interval at which reports are sent and unused tokens returned."""

RETRY_INTERVAL_SECONDS = 0.1
MAX_WAIT_SECONDS = 1.0
WAIT_SHARE = 0.3
"""Share of a call's remaining time, and the maximum, for which it waits for a member that
issues tokens. Members are back within a second after a power loss."""

UNAVAILABLE_RETRY_SECONDS = 0.3
"""Time after which a call that no member could decide on may be repeated."""

logger = get_logger("quota")


class QuotaSource(Protocol):
    """The members of the ledger that issue tokens."""

    def list_members(self, account: AccountId) -> Sequence[str]:
        """Returns the members of an account, in the order in which to ask them."""

    async def ask(self, member: str, request: AcquireQuota) -> QuotaGrants:
        """Asks a member for tokens; raises LedgerUnavailable."""

    def is_connected(self, member: str) -> bool:
        """Returns whether this frontend reaches a member without another one."""


@final
class LedgerQuotaSource:
    """Asks the members of the ledger for tokens."""

    def __init__(
        self, ledger: LedgerClient, *, address: str, domain: DomainId, issuers: int
    ) -> None:
        """Creates the source.

        Args:
            ledger: Client of the ledger.
            address: Address of this frontend, which spreads the requests of different
                frontends over the members.
            domain: Failure domain of this frontend, whose members are asked first.
            issuers: Maximum number of members that divide a quota.
        """
        self._issuers = issuers
        self._ledger = ledger
        self._address = address
        self._domain = domain
        self._view: View | None = None
        self._ranked: dict[AccountId, tuple[str, ...]] = {}

    def list_members(self, account: AccountId) -> Sequence[str]:
        """Returns the addresses of an account's members, the nearest first."""
        view = self._ledger.view
        if view is None:
            return ()
        if view is not self._view:
            self._view, self._ranked = view, {}
        ranked = self._ranked.get(account)
        if ranked is None:
            group = sorted(
                view.list_quota_issuers(account, self._issuers),
                key=functools.partial(self._rank, account),
            )
            ranked = self._ranked[account] = tuple(each.address for each in group)
        return ranked

    def _rank(self, account: AccountId, member: Member) -> tuple[bool, int]:
        spread = hash_text(f"{self._address} {account} {member.address}")
        return member.domain != self._domain, spread

    def is_connected(self, member: str) -> bool:
        """Returns whether this frontend reaches a member without another one."""
        return self._ledger.is_connected(member)

    async def ask(self, member: str, request: AcquireQuota) -> QuotaGrants:
        """Asks a member for tokens.

        Raises:
            LedgerUnavailable: It did not respond in time, or issues none.
        """
        try:
            answer = await self._ledger.call(member, request, ANSWER_SECONDS)
        except PeerUnreachable as error:
            raise LedgerUnavailable(str(error)) from error
        if not isinstance(answer, QuotaGrants):
            raise LedgerUnavailable(f"{member} issued no tokens: {answer!r:.80}.")
        return answer


@final
class QuotaClient:
    """Gets tokens for the attempts of this frontend's calls."""

    def __init__(self, source: QuotaSource | None, nursery: trio.Nursery) -> None:
        """Creates the client.

        Args:
            source: The members of the ledger; None if no account has a quota.
            nursery: Runs the requests to members.
        """
        self._source = source
        self._nursery = nursery
        self._tokens = QuotaTokens()
        self._holders: set[CallQuota] = set()
        self._is_updating = False

    def open(self, call: CallContext) -> "CallQuota":
        """Returns the quota of one call, also if its account has none."""
        account = call.account
        if account is None or account.quota is None:
            return CallQuota(self, call, None)
        return CallQuota(self, call, account)

    async def acquire(
        self, call: CallContext, account: ClientAccount, quota: Quota
    ) -> Token:
        """Returns a token for an attempt of a call.

        Raises:
            QuotaExceeded: The account is over its quota.
            QuotaUnavailable: No member that issues its tokens responds.
        """
        left = call.deadline - trio.current_time()
        give_up = trio.current_time() + min(MAX_WAIT_SECONDS, WAIT_SHARE * left)
        while True:
            request = await self._request(call, account, quota, give_up)
            if request.token is not None:
                return request.token
            if request.state is TokenState.EXCEEDED:
                QUOTA_CALLS.labels("exceeded").inc()
                raise QuotaExceeded(
                    f"Account {account.account} has used its quota of {quota.rate:g} "
                    f"requests per second with a burst of {quota.burst:g} (version "
                    f"{call.version}); retry in {request.retry_seconds:.3f} s.",
                    retry_after=request.retry_seconds,
                )
            if trio.current_time() + RETRY_INTERVAL_SECONDS > give_up:
                break
            await trio.sleep(RETRY_INTERVAL_SECONDS)
        QUOTA_CALLS.labels("unavailable").inc()
        raise QuotaUnavailable(
            f"No member of the ledger issues tokens of account {account.account} now; "
            "retry later.",
            retry_after=UNAVAILABLE_RETRY_SECONDS,
        )

    async def _request(
        self, call: CallContext, account: ClientAccount, quota: Quota, give_up: float
    ) -> TokenRequest:
        """Returns a request for a token once it is decided, at the latest at a time."""
        name = account.account
        members = self._source.list_members(name) if self._source else ()
        now = get_elapsed_time()
        request = self._tokens.request(account, quota, call.version, members, now)
        self._start_updates()
        self._ask_members(self._tokens.choose_members([name], now))
        if request.state is TokenState.HELD:
            QUOTA_CALLS.labels("held").inc()
        if request.state is not TokenState.WAITING:
            return request
        decided = trio.Event()
        request.on_decided = decided.set
        try:
            with trio.move_on_at(give_up):
                await decided.wait()
        except BaseException:
            self._tokens.cancel(name, request, get_elapsed_time())
            raise
        if request.state is TokenState.WAITING:
            self._tokens.cancel(name, request, get_elapsed_time())
        if request.token is not None:
            QUOTA_CALLS.labels("granted").inc()
        return request

    def add_holder(self, holder: "CallQuota") -> None:
        """Registers a call that has a token."""
        self._holders.add(holder)

    def remove_holder(self, holder: "CallQuota") -> None:
        """Removes a call that has no token any more."""
        self._holders.discard(holder)

    def put_back(self, account: ClientAccount, token: Token) -> None:
        """Makes a token that was not used available to other calls."""
        self._tokens.put_back(account.account, token, get_elapsed_time())

    def settle_used(self, account: ClientAccount, token: Token) -> None:
        """Records that an attempt with a token ran or may have run."""
        QUOTA_TOKENS.labels("used").inc()
        self._tokens.settle_used(account.account, token, get_elapsed_time())

    # Messages

    def _ask_members(self, members: set[str]) -> None:
        for member in members:
            items = self._tokens.build_items(member, get_elapsed_time())
            if items:
                self._nursery.start_soon(
                    run_supervised, Task.QUOTA, self._run_exchange, member, items
                )

    async def _run_exchange(self, member: str, items: list[QuotaItem]) -> None:
        try:
            await self._exchange(member, items)
        except Exception:
            # An error here must not end the calls of accounts without quotas.
            logger.exception("asking a member for tokens failed")
            self._tokens.fail(member, items, get_elapsed_time())

    async def _exchange(self, member: str, items: list[QuotaItem]) -> None:
        """Sends one request to a member, and what has arisen since after it."""
        asked_at = get_elapsed_time()
        assert self._source is not None
        is_relayed = not self._source.is_connected(member)

        def build_fields() -> dict[str, Any]:
            milliseconds = (get_elapsed_time() - asked_at) * 1000
            fields = {"member": member, "relayed": is_relayed}
            return {**fields, "ms": round(milliseconds, 1)}

        try:
            grants = await self._source.ask(member, AcquireQuota(items))
        except LedgerUnavailable as error:
            QUOTA_EXCHANGES.labels("failed").inc()
            logger.info(
                "a member issues no tokens",
                extra={**build_fields(), "reason": str(error)},
            )
            self._tokens.fail(member, items, get_elapsed_time())
        else:
            now = get_elapsed_time()
            tokens = sum(each.tokens for each in grants.items)
            QUOTA_TOKENS.labels("granted").inc(tokens)
            self._tokens.receive(
                member, items, grants.items, asked_at=asked_at, now=now
            )
            is_late = now - asked_at >= LATE_SECONDS
            QUOTA_EXCHANGES.labels("late" if is_late else "answered").inc()
            if is_late:
                logger.info(
                    "a member responded late",
                    extra={**build_fields(), "tokens": tokens},
                )
        self._ask_members(
            self._tokens.choose_members(
                [item.account for item in items], get_elapsed_time()
            )
            - {member}
        )
        pause = asked_at + MIN_INTERVAL_SECONDS - get_elapsed_time()
        await trio.sleep(max(0.0, pause))
        self._ask_members({member})

    def _start_updates(self) -> None:
        if not self._is_updating:
            self._is_updating = True
            self._nursery.start_soon(run_supervised, Task.QUOTA, self._run_updates)

    async def _run_updates(self) -> None:
        """Sends reports and returns tokens while accounts with quotas are active."""
        while not self._tokens.is_empty:
            await trio.sleep(UPDATE_INTERVAL_SECONDS)
            try:
                now = get_elapsed_time()
                for holder in list(self._holders):
                    holder.update(now)
                self._tokens.update(now)
                self._ask_members(self._tokens.list_members(now))
            except Exception:
                logger.exception("updating the tokens of accounts failed")
        self._is_updating = False


@final
class CallQuota:
    """The token of one call."""

    def __init__(
        self, client: QuotaClient, call: CallContext, account: ClientAccount | None
    ) -> None:
        """Creates the quota of a call.

        Args:
            client: Gets the tokens.
            call: The call.
            account: Its account; None if no quota applies to the call.
        """
        self._client = client
        self._call = call
        self._account = account
        self._token: Token | None = None
        self._attempt_began: float | None = None
        self._attempts_before = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.release()

    async def acquire(self) -> None:
        """Takes a token for the next attempt unless the call has a valid one.

        Raises:
            QuotaExceeded: The account is over its quota.
            QuotaUnavailable: No member that issues its tokens responds.
        """
        account = self._account
        if account is None or account.quota is None:
            return
        if self._token is not None:
            if self._token.is_valid(get_elapsed_time()):
                return
            self.release()
        self._token = await self._client.acquire(self._call, account, account.quota)
        self._client.add_holder(self)

    def begin_attempt(self) -> None:
        """Records that an attempt begins. Its token stays with it."""
        if self._account is not None:
            self._attempt_began = get_elapsed_time()
            self._attempts_before = len(self._call.attempted_targets)

    def end_attempt(self) -> None:
        """Uses the token if the attempt ran or may have run; else the call keeps it."""
        if self._account is None:
            return
        self._attempt_began = None
        if self._is_sent:
            self._settle_used()
        elif self._token is not None:
            self._token.held_since = get_elapsed_time()

    def release(self) -> None:
        """Makes an unused token available to other calls."""
        token, self._token = self._token, None
        self._client.remove_holder(self)
        if token is not None and self._account is not None:
            self._client.put_back(self._account, token)

    def update(self, now: float) -> None:
        """Settles the token of a running attempt; puts back that of a waiting call."""
        if self._token is None:
            return
        if self._attempt_began is None:
            if now - self._token.held_since >= PARK_SECONDS:
                self.release()
        elif self._is_sent and now - self._attempt_began >= SENT_SECONDS:
            self._settle_used()

    @property
    def _is_sent(self) -> bool:
        """Whether the attempt reached a target that has not rejected it."""
        return len(self._call.attempted_targets) > self._attempts_before

    def _settle_used(self) -> None:
        token, self._token = self._token, None
        self._client.remove_holder(self)
        if token is not None and self._account is not None:
            self._client.settle_used(self._account, token)
