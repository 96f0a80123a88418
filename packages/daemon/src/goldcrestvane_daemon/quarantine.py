"""Quarantine of requests that were running on a target when it died.

A request is identified by its fingerprint. After one death it becomes a suspect: it
runs alone, on one target at a time, and only under a claim that all owners see. If the
target survives, the suspect is cleared. After a second death the request is refused
permanently.
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
from goldcrestvane_common.json_parts import decode_or
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
SUSPECT_RETENTION_SECONDS = 3600.0
REFUSED_RETENTION_SECONDS = 7 * 86_400.0
MAX_UPDATE_ATTEMPTS = 16
WRITE_TIMEOUT_SECONDS = 3.0
PEER_TIMEOUT_SECONDS = 1.0
CLAIM_RETRY_AFTER_SECONDS = 2.0

logger = get_logger("quarantine")


class QuarantineStatus(Enum):
    """Restriction under which a request may run."""

    UNRESTRICTED = "free"
    ISOLATED = "alone"
    REFUSED = "refused"


class Suspect(msgspec.Struct, frozen=True, omit_defaults=True):
    """A request that was running on a target when the target died.

    Attributes:
        deaths: Ids of the deaths; a death that is reported twice is listed once.
        time: Time of the latest death, in seconds since the epoch, UTC.
        claimed_until: Time at which the claim of the owner that runs the request
            expires, in seconds since the epoch, UTC; 0 when it is not claimed.
    """

    deaths: list[str]
    time: float
    claimed_until: float = 0.0

    @property
    def is_refused(self) -> bool:
        """Whether the request is refused permanently."""
        return len(self.deaths) >= DEATHS_UNTIL_REFUSED


class QuarantineList(msgspec.Struct, frozen=True):
    """Value of the object ``control/quarantine/{service}``."""

    suspects: dict[Fingerprint, Suspect] = {}


class DeathReport(msgspec.Struct, frozen=True):
    """Reports the requests that were running on a target when it died.

    Attributes:
        service: Service of the target.
        death: Id of the death.
        fingerprints: Fingerprints of the requests.
    """

    service: ServiceId
    death: str
    fingerprints: list[Fingerprint]


@final
class Quarantine:
    """Tracks suspects and shares them with other processes.

    The object ``control/quarantine/{service}`` on the platform is authoritative.
    Deaths that peers report are also kept in memory.
    """

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
        self._local_views: dict[ServiceId, tuple[Version, QuarantineList]] = {}
        self._reported_deaths: dict[ServiceId, dict[Fingerprint, set[str]]] = {}

    def add_routes(self, router: Router) -> None:
        """Accepts death reports from peers that cannot reach the platform."""
        router.add("POST", QUARANTINE_PATH, self._serve_report)

    async def _serve_report(self, request: Request) -> Response:
        self._record_report(request.decode(DeathReport))
        return JsonResponse(value=Accepted())

    def _record_report(self, report: DeathReport) -> None:
        deaths = self._reported_deaths.setdefault(report.service, {})
        for fingerprint in report.fingerprints:
            deaths.setdefault(fingerprint, set()).add(report.death)

    def get_status(
        self, service: ServiceId, fingerprint: Fingerprint
    ) -> QuarantineStatus:
        """Returns how a request may run."""
        deaths = set(self._reported_deaths.get(service, {}).get(fingerprint, ()))
        suspect = self._read_view(service).suspects.get(fingerprint)
        if suspect is not None:
            deaths.update(suspect.deaths)
        if len(deaths) >= DEATHS_UNTIL_REFUSED:
            return QuarantineStatus.REFUSED
        return QuarantineStatus.ISOLATED if deaths else QuarantineStatus.UNRESTRICTED

    def _read_view(self, service: ServiceId) -> QuarantineList:
        local_version, local_view = self._local_views.get(
            service, (Version(0), QuarantineList())
        )
        stored = self._feed.get_object(QUARANTINE_PREFIX + service)
        if stored is None or stored.version <= local_version:
            return local_view
        view: QuarantineList | None = decode_or(stored.value, QuarantineList, None)
        if view is None:
            logger.error(
                "cannot decode the suspects of %s at version %s; keeping those of "
                "version %s",
                service,
                stored.version,
                local_version,
            )
            view = local_view
        self._local_views[service] = (stored.version, view)
        return view

    async def report_death(self, report: DeathReport) -> None:
        """Marks requests as suspects, before their owners learn of the death.

        While the platform is unavailable, the report is sent to the peers directly.
        """
        self._record_report(report)
        logger.warning(
            "a target of %s died while it ran %s requests",
            report.service,
            len(report.fingerprints),
        )
        try:
            with trio.fail_after(WRITE_TIMEOUT_SECONDS):
                await self._update(report.service, _AddDeaths(report))
        except (ObjectStoreError, trio.TooSlowError) as error:
            logger.warning("cannot record the death on the platform: %s", error)
            await self._notify_peers(report)

    async def _notify_peers(self, report: DeathReport) -> None:
        with trio.move_on_after(PEER_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for peer in self._membership.list_live(Role.SIDECAR):
                    nursery.start_soon(self._notify_peer, peer.address, report)

    async def _notify_peer(self, address: str, report: DeathReport) -> None:
        try:
            await self._transport.send("POST", address, QUARANTINE_PATH, value=report)
        except (ConnectFailed, ExchangeBroken):
            return

    async def claim_exclusive(
        self, service: ServiceId, fingerprint: Fingerprint, *, seconds: float
    ) -> None:
        """Claims the exclusive right to run a suspect.

        Args:
            service: Service of the request.
            fingerprint: Fingerprint of the request.
            seconds: Time until the claim expires; the caller passes the time until
                the deadline of the call.

        Raises:
            Unavailable: Another owner runs it, or the platform is unavailable.
            RequestQuarantined: It is refused permanently.
        """
        claim = _Claim(fingerprint, time.time() + seconds)
        try:
            with trio.fail_after(WRITE_TIMEOUT_SECONDS):
                view = await self._update(service, claim)
        except (ObjectStoreError, trio.TooSlowError) as error:
            raise Unavailable(
                "A target died while it ran this request, and the request cannot be "
                "run in isolation while the platform is unavailable. Send it again "
                "later.",
                retry_after=CLAIM_RETRY_AFTER_SECONDS,
            ) from error
        suspect = view.suspects.get(fingerprint)
        if suspect is not None and suspect.is_refused:
            raise build_quarantine_error()
        if suspect is not None and suspect.claimed_until != claim.until:
            raise Unavailable(
                "A target died while it ran this request, and another owner is "
                "running it in isolation. Send it again later.",
                retry_after=CLAIM_RETRY_AFTER_SECONDS,
            )

    async def release_claim(
        self, service: ServiceId, fingerprint: Fingerprint, *, target_survived: bool
    ) -> None:
        """Clears a suspect whose target survived; otherwise releases its claim."""
        if target_survived:
            self._reported_deaths.get(service, {}).pop(fingerprint, None)
        try:
            with trio.fail_after(WRITE_TIMEOUT_SECONDS):
                await self._update(service, _ReleaseClaim(fingerprint, target_survived))
        except (ObjectStoreError, trio.TooSlowError) as error:
            logger.warning("a suspect stays claimed until the claim expires: %s", error)

    async def _update(
        self, service: ServiceId, change: "_AddDeaths | _Claim | _ReleaseClaim"
    ) -> QuarantineList:
        key = QUARANTINE_PREFIX + service
        for _ in range(MAX_UPDATE_ATTEMPTS):
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
            self._local_views[service] = (version, changed)
            return changed
        raise ObjectStoreUnavailable(
            "Too many concurrent updates of the quarantine; try again later."
        )


class _AddDeaths:
    """Adds a death to each request of a report and removes expired suspects."""

    def __init__(self, report: DeathReport) -> None:
        self._report = report

    def apply(
        self, suspects: Mapping[Fingerprint, Suspect]
    ) -> dict[Fingerprint, Suspect]:
        now = time.time()
        changed = dict(_drop_expired(suspects.items(), now))
        for fingerprint in self._report.fingerprints:
            suspect = changed.get(fingerprint, Suspect([], now))
            if self._report.death not in suspect.deaths:
                deaths = [*suspect.deaths, self._report.death]
                changed[fingerprint] = Suspect(deaths, now)
        return changed


def _drop_expired(
    items: Iterable[tuple[Fingerprint, Suspect]], now: float
) -> Iterable[tuple[Fingerprint, Suspect]]:
    for fingerprint, suspect in items:
        retention_seconds = (
            REFUSED_RETENTION_SECONDS
            if suspect.is_refused
            else SUSPECT_RETENTION_SECONDS
        )
        if now - suspect.time < retention_seconds:
            yield fingerprint, suspect


class _Claim:
    """Claims a suspect that no owner has claimed."""

    def __init__(self, fingerprint: Fingerprint, until: float) -> None:
        self._fingerprint = fingerprint
        self.until = until

    def apply(
        self, suspects: Mapping[Fingerprint, Suspect]
    ) -> dict[Fingerprint, Suspect]:
        changed = dict(suspects)
        suspect = changed.get(self._fingerprint)
        is_unclaimed = suspect is not None and suspect.claimed_until < time.time()
        if suspect is not None and is_unclaimed and not suspect.is_refused:
            changed[self._fingerprint] = msgspec.structs.replace(
                suspect, claimed_until=self.until
            )
        return changed


class _ReleaseClaim:
    """Clears a suspect, or only releases its claim."""

    def __init__(self, fingerprint: Fingerprint, target_survived: bool) -> None:
        self._fingerprint = fingerprint
        self._target_survived = target_survived

    def apply(
        self, suspects: Mapping[Fingerprint, Suspect]
    ) -> dict[Fingerprint, Suspect]:
        changed = dict(suspects)
        suspect = changed.get(self._fingerprint)
        if suspect is None or suspect.is_refused:
            return changed
        if self._target_survived:
            del changed[self._fingerprint]
        else:
            changed[self._fingerprint] = msgspec.structs.replace(
                suspect, claimed_until=0.0
            )
        return changed


def build_quarantine_error() -> RequestQuarantined:
    """Returns the error for a request that is refused permanently."""
    return RequestQuarantined(
        f"{DEATHS_UNTIL_REFUSED} targets died while they ran this request. "
        "Do not send it again; report it to the operator of the service.",
        field="body",
    )
