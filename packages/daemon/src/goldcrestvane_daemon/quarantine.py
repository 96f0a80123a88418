"""Requests that stood at a target when it died, and those that are refused for good.

A request is known by its fingerprint. After one death it is a suspect: it runs alone,
on one target at a time, and only under a claim that all owners see. If it survives,
it is cleared; after a second death it is refused for good.
"""

import time
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import RequestQuarantined, Unavailable
from goldcrestvane_common.feed import ControlFeed
from goldcrestvane_common.ids import Fingerprint, ServiceId, Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    Accepted,
    Role,
)
from goldcrestvane_common.objects import (
    ObjectClient,
    ObjectStoreError,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    WriteOutcomeUnknown,
)
from goldcrestvane_common.paths import (
    QUARANTINE_PATH,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Transport
from goldcrestvane_daemon.membership import Membership

QUARANTINE_PREFIX = "control/quarantine/"
DEATHS_UNTIL_REFUSED = 2
SUSPECT_SECONDS = 3600.0
REFUSED_SECONDS = 7 * 86_400.0
MAX_WRITE_ATTEMPTS = 16
WRITE_TIMEOUT_SECONDS = 3.0
PEER_TIMEOUT_SECONDS = 1.0
CLAIM_RETRY_SECONDS = 2.0

logger = get_logger("quarantine")


class QuarantineStatus(Enum):
    """How a request may run."""

    UNRESTRICTED = "free"
    ISOLATED = "alone"
    REFUSED = "refused"


class Suspect(msgspec.Struct, frozen=True, omit_defaults=True):
    """A request that stood at a target when it died.

    Attributes:
        deaths: Ids of the deaths, each counted once however often it is reported.
        time: Time of the latest death, in seconds since the epoch, UTC.
        claimed_until: Until when one owner runs it alone; 0 when none does.
    """

    deaths: list[str]
    time: float
    claimed_until: float = 0.0

    @property
    def is_refused(self) -> bool:
        """Whether the request is refused for good."""
        return len(self.deaths) >= DEATHS_UNTIL_REFUSED


class QuarantineList(msgspec.Struct, frozen=True):
    """Value of the object ``control/quarantine/{service}``."""

    suspects: dict[Fingerprint, Suspect] = {}


class DeathReport(msgspec.Struct, frozen=True):
    """Requests that stood at a target when it died.

    Attributes:
        service: Service of the target.
        death: Id of the death.
        fingerprints: The requests.
    """

    service: ServiceId
    death: str
    fingerprints: list[Fingerprint]


@final
class Quarantine:
    """What this process knows of suspects; the platform's object decides."""

    def __init__(
        self,
        *,
        objects: ObjectClient,
        feed: ControlFeed,
        membership: Membership,
        transport: Transport,
    ) -> None:
        self._objects = objects
        self._feed = feed
        self._membership = membership
        self._transport = transport
        self._own_views: dict[ServiceId, tuple[Version, QuarantineList]] = {}
        self._reported: dict[ServiceId, dict[Fingerprint, set[str]]] = {}

    def add_routes(self, router: Router) -> None:
        """Serves peers that cannot reach the platform."""
        router.add("POST", QUARANTINE_PATH, self._serve_report)

    async def _serve_report(self, request: Request) -> Response:
        self._note_report(request.decode(DeathReport))
        return JsonResponse(value=Accepted())

    def _note_report(self, report: DeathReport) -> None:
        known = self._reported.setdefault(report.service, {})
        for fingerprint in report.fingerprints:
            known.setdefault(fingerprint, set()).add(report.death)

    def get_status(
        self, service: ServiceId, fingerprint: Fingerprint
    ) -> QuarantineStatus:
        """Returns how a request may run."""
        deaths = set(self._reported.get(service, {}).get(fingerprint, ()))
        suspect = self._read_view(service).suspects.get(fingerprint)
        if suspect is not None:
            deaths.update(suspect.deaths)
        if len(deaths) >= DEATHS_UNTIL_REFUSED:
            return QuarantineStatus.REFUSED
        return QuarantineStatus.ISOLATED if deaths else QuarantineStatus.UNRESTRICTED

    def _read_view(self, service: ServiceId) -> QuarantineList:
        own_version, own = self._own_views.get(service, (Version(0), QuarantineList()))
        stored = self._feed.get_object(QUARANTINE_PREFIX + service)
        if stored is None or stored.version <= own_version:
            return own
        view: QuarantineList = stored.decode(QuarantineList)
        self._own_views[service] = (stored.version, view)
        return view

    async def report_death(self, report: DeathReport) -> None:
        """Makes suspects of requests, before their owners learn of the death.

        While the platform is down the peers are told directly.
        """
        self._note_report(report)
        logger.warning(
            "a target of %s died with %s requests",
            report.service,
            len(report.fingerprints),
        )
        try:
            with trio.fail_after(WRITE_TIMEOUT_SECONDS):
                await self._update(report.service, _AddDeaths(report))
        except (ObjectStoreError, trio.TooSlowError) as error:
            logger.warning("the platform does not record the death: %s", error)
            await self._tell_peers(report)

    async def _tell_peers(self, report: DeathReport) -> None:
        with trio.move_on_after(PEER_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for peer in self._membership.list_live(Role.SIDECAR):
                    nursery.start_soon(self._tell_peer, peer.address, report)

    async def _tell_peer(self, address: str, report: DeathReport) -> None:
        try:
            await self._transport.send("POST", address, QUARANTINE_PATH, value=report)
        except (ConnectFailed, ExchangeBroken):
            return

    async def claim_exclusive(
        self, service: ServiceId, fingerprint: Fingerprint, *, seconds: float
    ) -> None:
        """Claims the right to run a suspect, for as long as its deadline.

        Raises:
            Unavailable: Another owner runs it, or the platform is down.
            RequestQuarantined: It has been refused for good meanwhile.
        """
        claim = _Claim(fingerprint, time.time() + seconds)
        try:
            with trio.fail_after(WRITE_TIMEOUT_SECONDS):
                view = await self._update(service, claim)
        except (ObjectStoreError, trio.TooSlowError) as error:
            raise Unavailable(
                "A target died with this request, and the platform is down, so it "
                "cannot be run alone now. Send it again later.",
                retry_after=CLAIM_RETRY_SECONDS,
            ) from error
        suspect = view.suspects.get(fingerprint)
        if suspect is not None and suspect.is_refused:
            raise build_quarantine_error()
        if suspect is not None and suspect.claimed_until != claim.until:
            raise Unavailable(
                "A target died with this request and it runs alone just now. "
                "Send it again later.",
                retry_after=CLAIM_RETRY_SECONDS,
            )

    async def release_claim(
        self, service: ServiceId, fingerprint: Fingerprint, *, target_survived: bool
    ) -> None:
        """Clears a suspect that ran well, or gives its claim back."""
        if target_survived:
            self._reported.get(service, {}).pop(fingerprint, None)
        try:
            with trio.fail_after(WRITE_TIMEOUT_SECONDS):
                await self._update(service, _ReleaseClaim(fingerprint, target_survived))
        except (ObjectStoreError, trio.TooSlowError) as error:
            logger.warning("a suspect stays claimed until its deadline: %s", error)

    async def _update(
        self, service: ServiceId, change: "_AddDeaths | _Claim | _ReleaseClaim"
    ) -> QuarantineList:
        key = QUARANTINE_PREFIX + service
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._objects.read(key)
            current = stored.decode(QuarantineList) if stored else QuarantineList()
            version = stored.version if stored else Version(0)
            changed = QuarantineList(change.apply(current.suspects))
            if changed == current:
                return current
            try:
                version = await self._objects.write(
                    key, changed, expected_version=version
                )
            except (ObjectVersionConflict, WriteOutcomeUnknown):
                continue
            self._own_views[service] = (version, changed)
            return changed
        raise ObjectStoreUnavailable("The quarantine changes all the time; try later.")


class _AddDeaths:
    """Adds one death to each request of a report, and drops old entries."""

    def __init__(self, report: DeathReport) -> None:
        self._report = report

    def apply(
        self, suspects: Mapping[Fingerprint, Suspect]
    ) -> dict[Fingerprint, Suspect]:
        now = time.time()
        changed = dict(_drop_old(suspects.items(), now))
        for fingerprint in self._report.fingerprints:
            known = changed.get(fingerprint, Suspect([], now))
            if self._report.death not in known.deaths:
                deaths = [*known.deaths, self._report.death]
                changed[fingerprint] = Suspect(deaths, now)
        return changed


def _drop_old(
    items: Iterable[tuple[Fingerprint, Suspect]], now: float
) -> Iterable[tuple[Fingerprint, Suspect]]:
    for fingerprint, suspect in items:
        kept = REFUSED_SECONDS if suspect.is_refused else SUSPECT_SECONDS
        if now - suspect.time < kept:
            yield fingerprint, suspect


class _Claim:
    """Claims a suspect that nobody runs."""

    def __init__(self, fingerprint: Fingerprint, until: float) -> None:
        self._fingerprint = fingerprint
        self.until = until

    def apply(
        self, suspects: Mapping[Fingerprint, Suspect]
    ) -> dict[Fingerprint, Suspect]:
        changed = dict(suspects)
        known = changed.get(self._fingerprint)
        free = known is not None and known.claimed_until < time.time()
        if known is not None and free and not known.is_refused:
            changed[self._fingerprint] = msgspec.structs.replace(
                known, claimed_until=self.until
            )
        return changed


class _ReleaseClaim:
    """Clears a suspect, or gives its claim back."""

    def __init__(self, fingerprint: Fingerprint, target_survived: bool) -> None:
        self._fingerprint = fingerprint
        self._target_survived = target_survived

    def apply(
        self, suspects: Mapping[Fingerprint, Suspect]
    ) -> dict[Fingerprint, Suspect]:
        changed = dict(suspects)
        known = changed.get(self._fingerprint)
        if known is None or known.is_refused:
            return changed
        if self._target_survived:
            del changed[self._fingerprint]
        else:
            changed[self._fingerprint] = msgspec.structs.replace(
                known, claimed_until=0.0
            )
        return changed


def build_quarantine_error() -> RequestQuarantined:
    """Returns the error of a request that is refused for good."""
    return RequestQuarantined(
        f"{DEATHS_UNTIL_REFUSED} targets died while they ran this request. "
        "Do not send it again; report it to the operator of the service.",
        field="body",
    )
