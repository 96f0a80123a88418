"""Error responses that the system sends instead of a target's response.

Statuses 429 and 503 promise that the call has not run and never will. Statuses 502 and 504
make no such promise.
"""

from typing import ClassVar

import msgspec

NOT_RUN_STATUSES = frozenset((429, 503))


class Refusal(Exception):
    """Base class of the error responses of the system.

    Attributes:
        status: HTTP status.
        retry_after: Seconds after which the client may retry; None if not stated.
    """

    status: ClassVar[int] = 503

    def __init__(self, message: str, *, retry_after: float | None = None) -> None:
        super().__init__(message)
        self.retry_after = retry_after

    @property
    def kind(self) -> str:
        """Stable name of the refusal in logs and responses."""
        return type(self).__name__

    def encode(self) -> bytes:
        """Returns the JSON body of the response."""
        return msgspec.json.encode({"error": {"kind": self.kind, "message": str(self)}})


NOT_RUN_STATUSES = frozenset({429, 503})
"""Statuses that promise that the call has not run."""


class InvalidCall(Refusal):
    """The call lacks a required header, or a header has an invalid value."""

    status = 400


class UnknownRoute(Refusal):
    """The configuration in force has no route for the call."""

    status = 404


class UnknownTurn(Refusal):
    """The turn that the call continues does not exist."""

    status = 404


class BudgetSpent(Refusal):
    """The call exceeds the program's token budget."""

    status = 402


class UnknownKey(Refusal):
    """The call needs an API key, and no account holds the one that it has, if any."""

    status = 401


class KeyUnconfirmed(Refusal):
    """The copy of the configuration is too old to decide on the call's API key."""


class NotConfigured(Refusal):
    """This process has no configuration yet."""


class LedgerDown(Refusal):
    """The ledger cannot confirm that the call may run."""


class NoTarget(Refusal):
    """No target of the service accepts calls now."""


class UnknownOrigin(Refusal):
    """It is not known which software version began the stream to resume."""


class UnknownOutput(Refusal):
    """The events of a stored stream that its client has got are not known."""


class Overloaded(Refusal):
    """The call cannot be served before its deadline."""


class QuotaExceeded(Refusal):
    """The account has used its quota."""

    status = 429


class QuotaUnavailable(Refusal):
    """No member of the ledger that issues the account's tokens responds."""


class CrashedTargets(Refusal):
    """Targets died each time they ran the call; it is not run again."""


class OutcomeUnknown(Refusal):
    """The target failed; the call may have run and is not run again."""

    status = 502


class StreamStalled(Refusal):
    """The target sent no event for longer than the client waits for one."""

    status = 504


class TimedOut(Refusal):
    """The deadline passed while the call may have been running."""

    status = 504
