"""Parts of the messages in which frontends ask members of the ledger for tokens.

A token permits one attempt of one account at a target.
"""

from typing import NewType

import msgspec

from goldcrestvane_common.ids import AccountId, Version
from goldcrestvane_daemon.accounts.directory import Quota

GrantId = NewType("GrantId", int)


class QuotaLimit(msgspec.Struct, frozen=True, array_like=True):
    """Limit of an account as a frontend knows it.

    Attributes:
        version: Version of the configuration that states it.
        rate: Requests per second.
        burst: Requests beyond the rate that may come at once after a pause.
    """

    version: Version
    rate: float
    burst: float

    @property
    def quota(self) -> Quota:
        """The limit without its version."""
        return Quota(rate=self.rate, burst=self.burst)


class GrantUse(msgspec.Struct, frozen=True, array_like=True):
    """What a frontend has done with the tokens of one grant so far.

    The numbers are totals, so that a lost, repeated or late report does no harm.

    Attributes:
        grant: The grant.
        used: Tokens whose attempts ran or may have run.
        returned: Tokens that the frontend will never use.
    """

    grant: GrantId
    used: int
    returned: int


class QuotaItem(msgspec.Struct, frozen=True, array_like=True):
    """Request of a frontend for the tokens of one account.

    Attributes:
        account: Name of the account.
        limit: Its limit.
        wanted: Tokens for calls that wait for them.
        prefetched: Further tokens for calls that are expected.
        uses: Use of earlier grants.
    """

    account: AccountId
    limit: QuotaLimit
    wanted: int = 0
    prefetched: int = 0
    uses: list[GrantUse] = []


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """Response of a member to one item.

    Attributes:
        account: Name of the account.
        grant: Identifies the granted tokens in later reports.
        tokens: Number of tokens granted.
        retry_seconds: Time after which the next token may be available if calls were
            left without one; None if the member issues no tokens of the account now.
        is_spare: Whether the member has so much credit left that reports on the use of
            its tokens can wait for the next request.
    """

    account: AccountId
    grant: GrantId = GrantId(0)
    tokens: int = 0
    retry_seconds: float | None = 0.0
    is_spare: bool = False
