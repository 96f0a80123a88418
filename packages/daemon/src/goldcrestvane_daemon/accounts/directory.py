"""Client accounts of a configuration and their API keys.

Only digests of keys are kept, so that no log line, error or metric can contain a key.
"""

import hashlib
from collections.abc import Collection, Iterable
from typing import NewType, final

import msgspec

from goldcrestvane_common.ids import AccountId, KeyId

KeyDigest = NewType("KeyDigest", bytes)

DIGEST_BYTES = 16
KEY_ID_DIGITS = 8
"""Length of a key's id in log lines. Two keys of a deployment rarely share one."""


def compute_key_digest(key: str) -> KeyDigest:
    """Returns the digest under which a key is looked up."""
    return KeyDigest(hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest())


def get_key_id(digest: KeyDigest) -> KeyId:
    """Returns the id that log lines show in place of a key."""
    return KeyId(digest.hex()[:KEY_ID_DIGITS])


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """Limit on the requests of an account, over all frontends together.

    Attributes:
        rate: Requests per second.
        burst: Requests beyond the rate that may come at once after a pause.
    """

    rate: float
    burst: float


class QuotaTolerance(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds within which quotas are enforced.

    In any window, at most ``(rate * window_seconds + burst) * (1 + overage) + requests``
    requests of an account may run.

    Attributes:
        window_seconds: Length of the sliding window.
        overage: Share by which the requests in a window may exceed the quota.
        requests: Number of further requests by which they may exceed it.
    """

    window_seconds: float = 5.0
    overage: float = 0.1
    requests: float = 20.0

    def compute_slack(self, quota: Quota) -> float:
        """Returns the requests in a window that may run beyond the quota."""
        allowed = quota.rate * self.window_seconds + quota.burst
        return allowed * self.overage + self.requests


class ClientAccount(msgspec.Struct, frozen=True, kw_only=True):
    """One client account.

    Attributes:
        account: Name of the account.
        priority: Priority of its calls, in place of the route's; None keeps the route's.
        quota: Limit on its requests; None if there is none.
    """

    account: AccountId
    priority: int | None = None
    quota: Quota | None = None


@final
class AccountDirectory:
    """The accounts of one configuration, found by the digests of their keys.

    Attributes:
        is_enabled: Whether the configuration defines accounts, even if it lists none.
            Without accounts, requests need no key.
    """

    def __init__(
        self,
        accounts: Iterable[tuple[ClientAccount, Collection[str]]] | None = None,
    ) -> None:
        """Creates a directory.

        Args:
            accounts: Each account with its keys; None if accounts are not used.
        """
        self.is_enabled = accounts is not None
        self._accounts: dict[AccountId, ClientAccount] = {}
        self._keys: dict[KeyDigest, ClientAccount] = {}
        for account, keys in accounts or ():
            self._accounts[account.account] = account
            for key in keys:
                self._keys[compute_key_digest(key)] = account

    def find(self, digest: KeyDigest) -> ClientAccount | None:
        """Returns the account that holds a key, or None if no account does."""
        return self._keys.get(digest)

    def get(self, account: AccountId) -> ClientAccount | None:
        """Returns an account by its name, or None if there is none."""
        return self._accounts.get(account)

    def __len__(self) -> int:
        return len(self._accounts)
