"""Messages between frontends."""

import msgspec

from goldcrestvane_common.ids import Fingerprint, Version
from goldcrestvane_daemon.frontend.crash_tracker import TrackedDeaths
from goldcrestvane_daemon.ledger.messages import Request as LedgerRequest
from goldcrestvane_daemon.ledger.messages import Response as LedgerResponse
from goldcrestvane_daemon.platform.store import StoreChanges


class Relay(msgspec.Struct, frozen=True, tag="relay", array_like=True):
    """Asks a frontend to relay a request to a member of the ledger."""

    address: str
    request: LedgerRequest
    timeout_seconds: float


class FetchObjects(msgspec.Struct, frozen=True, tag="objects", array_like=True):
    """Asks a frontend for its copy of the platform's objects of one kind.

    Attributes:
        kind: Name of the kind.
        since: Revision that the sender has. Only a newer copy is returned.
        digest: Hash of the sender's copy. A copy with the same hash is not returned.
    """

    kind: str
    since: Version
    digest: str = ""


class ReportDeaths(msgspec.Struct, frozen=True, tag="deaths", array_like=True):
    """Reports targets that died while they ran a request.

    Attributes:
        fingerprint: Identifies the request.
        targets: The targets.
        cleared: Targets that the request did not crash, since another target has answered
            it whole.
    """

    fingerprint: Fingerprint
    targets: list[str]
    cleared: list[str] = []


class FetchDeaths(msgspec.Struct, frozen=True, tag="known_deaths", array_like=True):
    """Asks a frontend for the requests of which it knows that targets died with them."""


FrontendRequest = Relay | FetchObjects | ReportDeaths | FetchDeaths


class Relayed(msgspec.Struct, frozen=True, tag="relayed", array_like=True):
    """The member's response; None if the relay cannot reach the member either."""

    response: LedgerResponse | None


class ObjectsCopy(msgspec.Struct, frozen=True, tag="copy", array_like=True):
    """State of a frontend's copy of one kind.

    Attributes:
        changes: All objects; None if the copy is not newer than the sender's.
        revision: Revision of the copy.
        digest: Hash of the copy.
        age_seconds: Time since the copy is known to have been complete; None if there
            is no copy.
    """

    changes: StoreChanges | None
    revision: Version = Version(0)
    digest: str = ""
    age_seconds: float | None = None


class ReportAccepted(msgspec.Struct, frozen=True, tag="noted", array_like=True):
    """Acknowledges a report."""


class KnownDeaths(msgspec.Struct, frozen=True, tag="died", array_like=True):
    """Requests with which targets died, those that were tracked last."""

    deaths: list[TrackedDeaths]


FrontendResponse = Relayed | ObjectsCopy | ReportAccepted | KnownDeaths
