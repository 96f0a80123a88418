"""Applies the decision on API keys to calls."""

import math
from collections.abc import Callable
from typing import Protocol, final

import trio

from goldcrestvane_daemon.accounts.authentication import (
    Authentication,
    KeyBounds,
    KeyDecision,
    authenticate,
)
from goldcrestvane_daemon.accounts.directory import AccountDirectory
from goldcrestvane_daemon.frontend.call_context import CallContext
from goldcrestvane_daemon.frontend.metrics import KEY_DECISIONS
from goldcrestvane_daemon.frontend.refusals import KeyUnconfirmed, Refusal, UnknownKey
from goldcrestvane_daemon.platform.headers import remove_client_identity
from goldcrestvane_daemon.routes import RouteTable

UNCONFIRMED_COPY_RETRY_SECONDS = 0.5
"""Retry delay while nothing confirms the copy. Another frontend may have a newer one, and
this one asks the store at this interval."""

MIN_RETRY_SECONDS = 0.1


class AccountSource(Protocol):
    """The configuration in force and its age."""

    @property
    def routes(self) -> RouteTable | None:
        """Routes and accounts of the configuration in force; None before the first one."""

    def get_configuration_age(self) -> float:
        """Returns the seconds since the configuration is known to be the newest."""

    def get_key_check_delay(self) -> float:
        """Returns the seconds until an unknown key may cause the next confirmation."""

    async def confirm_for_key(self) -> None:
        """Waits for a limited time until the copy may tell that a key is unknown."""


@final
class AccountGate:
    """Checks the API keys of calls on arrival and before each attempt."""

    def __init__(self, source: AccountSource, bounds: KeyBounds) -> None:
        self._source = source
        self._bounds = bounds

    async def admit(self, call: CallContext) -> None:
        """Checks the key of a call that has just arrived and sets the call's account.

        Without accounts, the call is left as it is.

        Raises:
            UnknownKey: The call needs a key, and no account holds the one that it has.
            KeyUnconfirmed: The copy of the configuration is too old to tell.
        """
        if self._get_directory() is None:
            return
        found = self._authenticate_arrival(call)
        if found.decision is KeyDecision.UNCONFIRMED_KEY:
            with trio.CancelScope(deadline=call.deadline):
                await self._source.confirm_for_key()
            found = self._authenticate_arrival(call)
        KEY_DECISIONS.labels("arrival", found.decision.value).inc()
        self._raise_refusal(call, found.decision)
        call.account = found.account

    def recheck(self, call: CallContext) -> None:
        """Checks the key of a call that is about to be sent to a target.

        The newest known configuration decides, whatever its age: a call is judged by the
        age of the copy at its arrival. If the configuration has no accounts any more, the
        call keeps the account under which the ledger has it.

        Raises:
            UnknownKey: No account holds the key any more.
            KeyUnconfirmed: The key belongs to another account than before.
        """
        if self._get_directory() is None:
            return
        found = self._authenticate(call, copy_age=0.0)
        KEY_DECISIONS.labels("attempt", found.decision.value).inc()
        self._raise_refusal(call, found.decision)
        before = call.account.account if call.account else None
        now = found.account.account if found.account else None
        if before != now:
            raise KeyUnconfirmed(
                f"The call's account changed from {before} to {now} while the call "
                "waited; send the call again.",
                retry_after=MIN_RETRY_SECONDS,
            )
        call.account = found.account

    def _get_directory(self) -> AccountDirectory | None:
        """Returns the accounts in force, or None if there are none."""
        routes = self._source.routes
        accounts = routes.configuration.accounts if routes else None
        return accounts if accounts is not None and accounts.is_enabled else None

    def _authenticate_arrival(self, call: CallContext) -> Authentication:
        call.copy_age = self._source.get_configuration_age()
        return self._authenticate(call, copy_age=call.copy_age)

    def _authenticate(self, call: CallContext, *, copy_age: float) -> Authentication:
        """Returns the decision on a call by the newest known configuration."""
        routes = self._source.routes
        assert routes is not None
        if call.accounts_version is None:
            call.headers = remove_client_identity(call.headers)
            call.key_digest = call.headers.key_digest
        call.accounts_version = routes.configuration.version
        path = call.head.path.decode("latin-1")
        route = routes.find(call.headers.host, path) or call.route
        return authenticate(
            routes.configuration.accounts,
            call.key_digest,
            is_anonymous=route.anonymous,
            copy_age=copy_age,
            bounds=self._bounds,
        )

    def _raise_refusal(self, call: CallContext, decision: KeyDecision) -> None:
        build = _REFUSALS.get(decision)
        if build is not None:
            raise build(call, self._source.get_key_check_delay())


def _build_unknown_key(call: CallContext, _: float) -> Refusal:
    if call.key_digest is None:
        return UnknownKey(
            "The call has no API key; send one as `Authorization: Token KEY`."
        )
    return UnknownKey("No account has the call's API key; send the key of an account.")


def _build_unconfirmed_key(call: CallContext, check_delay: float) -> Refusal:
    return KeyUnconfirmed(
        "No account has the call's API key, but a newer configuration than this "
        f"process's may have it: {_describe_age(call)}; retry later.",
        retry_after=max(MIN_RETRY_SECONDS, check_delay),
    )


def _build_unconfirmed_copy(call: CallContext, _: float) -> Refusal:
    return KeyUnconfirmed(
        f"The call's API key may have been revoked since: {_describe_age(call)}; "
        "retry later.",
        retry_after=UNCONFIRMED_COPY_RETRY_SECONDS,
    )


def _describe_age(call: CallContext) -> str:
    if call.copy_age is None or math.isinf(call.copy_age):
        return "the newest one is not in force here"
    return f"this one was confirmed {call.copy_age:.1f} s ago"


_REFUSALS: dict[KeyDecision, Callable[[CallContext, float], Refusal]] = {
    KeyDecision.UNKNOWN_KEY: _build_unknown_key,
    KeyDecision.UNCONFIRMED_KEY: _build_unconfirmed_key,
    KeyDecision.UNCONFIRMED_COPY: _build_unconfirmed_copy,
}
