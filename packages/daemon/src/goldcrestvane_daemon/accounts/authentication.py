"""Decides whether a call may run with the API key that it was sent with.

Load pattern that this module handles: keys are added and revoked while frontends are cut
off from the store, frozen or just started, so that the copy of the configuration by which
a frontend decides may be behind.
"""

from enum import Enum

import msgspec

from goldcrestvane_daemon.accounts.directory import (
    AccountDirectory,
    ClientAccount,
    KeyDigest,
)

REVOCATION_MARGIN_SHARE = 0.1
"""Part of the revocation bound by which calls are refused before it. It covers differences
between the clocks of the store, the clients and this machine."""

MAX_UNKNOWN_KEY_AGE_SECONDS = 1.0
"""Age up to which a copy may tell that a key does not exist. A client abandons its whole
program after that answer."""


class KeyDecision(Enum):
    """Result of the check of a call's key."""

    ADMITTED = "admitted"
    """The key belongs to an account."""

    ANONYMOUS = "anonymous"
    """The call needs no key and runs without an account."""

    UNKNOWN_KEY = "unknown_key"
    """The call needs a key, and no account holds the one that it has, if any."""

    UNCONFIRMED_KEY = "unconfirmed_key"
    """The copy has no account for the key, but a newer configuration may have one."""

    UNCONFIRMED_COPY = "unconfirmed_copy"
    """The key belongs to an account, but may have been revoked since."""


class _KeyState(Enum):
    """What the copy of the configuration tells of a call's key."""

    NONE = "none"
    KNOWN = "known"
    UNKNOWN = "unknown"


class KeyBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on the age of a copy by which calls are judged.

    Attributes:
        max_copy_age: Seconds for which a copy may admit keys; None if revocations have
            no bound.
        max_unknown_key_age: Seconds for which a copy may reject unknown keys.
    """

    max_copy_age: float | None = None
    max_unknown_key_age: float = MAX_UNKNOWN_KEY_AGE_SECONDS

    def may_admit(self, copy_age: float) -> bool:
        """Returns whether a copy of this age in seconds may admit a key."""
        return self.max_copy_age is None or copy_age < self.max_copy_age


def build_key_bounds(revocation_seconds: float | None) -> KeyBounds:
    """Returns the bounds for a revocation bound in seconds; None if there is none."""
    if revocation_seconds is None:
        return KeyBounds()
    return KeyBounds(max_copy_age=revocation_seconds * (1 - REVOCATION_MARGIN_SHARE))


class Authentication(msgspec.Struct, frozen=True):
    """Decision on a call, with its account if it is admitted."""

    decision: KeyDecision
    account: ClientAccount | None = None


_RECENT_DECISIONS = {
    # (state of the key, whether the route is anonymous)
    (_KeyState.NONE, False): KeyDecision.UNKNOWN_KEY,
    (_KeyState.NONE, True): KeyDecision.ANONYMOUS,
    (_KeyState.UNKNOWN, False): KeyDecision.UNKNOWN_KEY,
    (_KeyState.UNKNOWN, True): KeyDecision.ANONYMOUS,
    (_KeyState.KNOWN, False): KeyDecision.ADMITTED,
    (_KeyState.KNOWN, True): KeyDecision.ADMITTED,
}
"""Decisions by a copy that is recent enough."""

_OLD_COPY_DECISIONS = {
    (_KeyState.UNKNOWN, False): KeyDecision.UNCONFIRMED_KEY,
    (_KeyState.KNOWN, False): KeyDecision.UNCONFIRMED_COPY,
    (_KeyState.KNOWN, True): KeyDecision.UNCONFIRMED_COPY,
}
"""Decisions that differ if the copy is too old for what it tells of the key."""


def authenticate(
    directory: AccountDirectory,
    digest: KeyDigest | None,
    *,
    is_anonymous: bool,
    copy_age: float,
    bounds: KeyBounds,
) -> Authentication:
    """Decides whether a call may run.

    Args:
        directory: Accounts of the copy of the configuration.
        digest: Digest of the call's key; None if it has none.
        is_anonymous: Whether the route needs no key.
        copy_age: Seconds since the copy is known to have been current.
        bounds: Bounds on the age.
    """
    if not directory.is_enabled:
        return Authentication(KeyDecision.ANONYMOUS)
    account = None if digest is None else directory.find(digest)
    state, is_recent = _KeyState.NONE, True
    if account is not None:
        state, is_recent = _KeyState.KNOWN, bounds.may_admit(copy_age)
    elif digest is not None:
        state = _KeyState.UNKNOWN
        is_recent = copy_age <= bounds.max_unknown_key_age
    decision = _RECENT_DECISIONS[state, is_anonymous]
    if not is_recent:
        decision = _OLD_COPY_DECISIONS.get((state, is_anonymous), decision)
    return Authentication(
        decision, account if decision is KeyDecision.ADMITTED else None
    )
