"""Cache of the platform's objects: configuration, targets and members of the ledger."""

import math
from collections.abc import Callable
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import InstanceId, Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import ObjectStoreError, RevisionTooOld
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.metrics import COPY_AGE_SECONDS
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.frontend.snapshot import ChangeSource, Snapshot
from goldcrestvane_daemon.ledger.membership_watcher import VIEW_NAME
from goldcrestvane_daemon.ledger.view import View
from goldcrestvane_daemon.platform.object_decoding import (
    CONFIGURATION_NAME,
    decode_configuration,
    decode_target,
)
from goldcrestvane_daemon.platform.store import (
    BATCH_SECONDS,
    ObjectKind,
    StoreChanges,
    StoreClient,
    StoreObject,
)
from goldcrestvane_daemon.routes import RouteTable
from goldcrestvane_daemon.targets import Target, TargetState, TargetTable

WATCH_TIMEOUT_SECONDS = 10.0
"""Duration of one watch. Shorter watches cost more calls, and keep-alive detects dead
connections."""

STARTUP_FETCH_SECONDS = 0.3
"""Time after which a new process also asks other frontends for the objects that the
store has not returned, and the interval at which it repeats this."""

INITIAL_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 1.0
EXPIRY_CHECK_SECONDS = 0.1

VIEW_CHECK_SECONDS = 2.0
"""Interval at which a frontend that cannot reach the ledger reads the view again."""

WATCHED_KINDS = (ObjectKind.CONFIGURATION, ObjectKind.TARGETS, ObjectKind.LEDGER)

RELISTING_SECONDS = 2.0
"""Time within which live targets restore their entries after an outage of the store."""

REMOVAL_MARGIN_SECONDS = 0.4
"""Margin by which a removed target is dropped before its drain time ends. It covers the
delay of a watch, the expiry check and the time that a call takes to reach the target."""

logger = get_logger("directory")


@final
class ObjectCache:
    """Cache of the platform's objects in this process.

    Attributes:
        routes: Routes of the configuration in force; None before the first one.
        synced: Set once the configuration is known and the targets were listed.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        targets: TargetTable,
        ledger: LedgerClient,
        frontends: FrontendPeers,
        drain_seconds: float,
        on_change: Callable[[Target | None], None],
    ) -> None:
        """Creates an empty cache; `run` fills it.

        Args:
            store: Client of the platform's store.
            targets: Table that the cache updates.
            ledger: Ledger client that receives new views.
            frontends: Frontends to fetch objects from while the store does not answer.
            drain_seconds: Time after which a leaving target gets no new call.
            on_change: Called after each change of the targets or the configuration,
                with the target that was removed or replaced, if any.
        """
        self._store = store
        self._targets = targets
        self._ledger = ledger
        self._on_change = on_change
        self._frontends = frontends
        self._removal_seconds = max(0.0, drain_seconds - REMOVAL_MARGIN_SECONDS)
        self._snapshots = {kind: Snapshot() for kind in WATCHED_KINDS}
        self._missing: dict[InstanceId, float] = {}
        self.routes: RouteTable | None = None
        self.synced = trio.Event()

    async def run(self) -> None:
        """Watches the store until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind in WATCHED_KINDS:
                nursery.start_soon(self._watch_kind, kind)
            nursery.start_soon(self._maintain_periodically)
            nursery.start_soon(self._fetch_at_startup)

    async def _fetch_at_startup(self) -> None:
        """Fetches objects from other frontends while the store hangs at startup."""
        while any(snapshot.revision == 0 for snapshot in self._snapshots.values()):
            await trio.sleep(STARTUP_FETCH_SECONDS)
            for kind, snapshot in self._snapshots.items():
                if snapshot.revision == 0:
                    await self._fetch_from_frontends(kind)

    async def _watch_kind(self, kind: ObjectKind) -> None:
        retry_seconds = INITIAL_RETRY_SECONDS
        reachable = True
        while True:
            try:
                sent_at = trio.current_time()
                changes = await self._store.list(kind)
                if not reachable:
                    logger.info(
                        "the store answers again",
                        extra={"kind": kind.value, "age": self._get_age(kind)},
                    )
                self._apply_list(
                    kind, changes, sent_at=sent_at, after_outage=not reachable
                )
                reachable = True
                retry_seconds = INITIAL_RETRY_SECONDS
                while True:
                    await trio.sleep(BATCH_SECONDS)
                    if kind is ObjectKind.LEDGER and self._ledger.view is not None:
                        await self._wait_while_reachable()
                        break
                    sent_at = trio.current_time()
                    changes = await self._store.watch(
                        kind, self._snapshots[kind].revision, WATCH_TIMEOUT_SECONDS
                    )
                    self._apply_changes(kind, changes, sent_at=sent_at)
            except RevisionTooOld as error:
                logger.info(
                    "listing again after a gap in the history",
                    extra={"reason": str(error)},
                )
            except ObjectStoreError as error:
                if reachable:
                    logger.warning(
                        "the store does not answer",
                        extra={
                            "kind": kind.value,
                            "reason": str(error),
                            "age": self._get_age(kind),
                        },
                    )
                reachable = False
                await self._fetch_from_frontends(kind)
                await trio.sleep(retry_seconds)
                retry_seconds = min(2 * retry_seconds, MAX_RETRY_SECONDS)

    async def _wait_while_reachable(self) -> None:
        """Returns once the known members of the ledger seem to be gone.

        Until then newer views come from the members themselves.
        """
        while True:
            await trio.sleep(VIEW_CHECK_SECONDS)
            if not self._ledger.is_reachable:
                return

    async def _fetch_from_frontends(self, kind: ObjectKind) -> None:
        """Adopts a newer snapshot from another frontend, if one has it."""
        snapshot = await self._frontends.fetch_objects(
            kind, self._snapshots[kind].revision
        )
        if snapshot is not None and snapshot.revision > self._snapshots[kind].revision:
            logger.info(
                "adopted a snapshot of another frontend",
                extra={"kind": kind.value, "revision": snapshot.revision},
            )
            # The age of the other frontend's copy is unknown.
            self._apply_list(
                kind,
                snapshot,
                sent_at=-math.inf,
                after_outage=True,
                source=ChangeSource.PEER,
            )

    def _get_age(self, kind: ObjectKind) -> float:
        return round(self._snapshots[kind].get_age(trio.current_time()), 3)

    def _measure_ages(self) -> None:
        for kind in WATCHED_KINDS:
            COPY_AGE_SECONDS.labels(kind.value).set(self._get_age(kind))

    def get_objects(self, kind: ObjectKind, since: Version) -> StoreChanges | None:
        """Returns all objects of a kind, or None if they are not newer than `since`."""
        snapshot = self._snapshots[kind]
        if snapshot.revision <= since:
            return None
        return StoreChanges(list(snapshot.objects.values()), snapshot.revision)

    def _apply_list(
        self,
        kind: ObjectKind,
        changes: StoreChanges,
        *,
        sent_at: float,
        after_outage: bool,
        source: ChangeSource = ChangeSource.LIST,
    ) -> None:
        if not self._snapshots[kind].replace(changes, confirmed_at=sent_at):
            return
        if kind is ObjectKind.TARGETS:
            self._mark_missing(changes, after_outage=after_outage)
        for item in changes.objects:
            self._apply(kind, item, source)
        self._update_synced()

    def _apply_changes(
        self, kind: ObjectKind, changes: StoreChanges, *, sent_at: float
    ) -> None:
        if not self._snapshots[kind].update(changes, confirmed_at=sent_at):
            return
        for item in changes.objects:
            self._apply(kind, item, ChangeSource.WATCH)
        self._update_synced()

    def _update_synced(self) -> None:
        if self.routes is not None and self._snapshots[ObjectKind.TARGETS].revision:
            self.synced.set()

    def _apply(self, kind: ObjectKind, item: StoreObject, source: ChangeSource) -> None:
        if kind is ObjectKind.TARGETS:
            self._apply_target(item, source)
        elif kind is ObjectKind.CONFIGURATION:
            self._apply_configuration(item, source)
        else:
            self._apply_view(item)

    def _apply_configuration(self, item: StoreObject, source: ChangeSource) -> None:
        if item.name != CONFIGURATION_NAME or item.deleted:
            return
        try:
            configuration = decode_configuration(item.value)
        except msgspec.DecodeError as error:
            logger.error(
                "cannot decode the configuration", extra={"reason": str(error)}
            )
            return
        current = self.routes.configuration.version if self.routes else Version(0)
        if configuration.version <= current:
            return
        self.routes = RouteTable(configuration)
        logger.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "before": current,
                "routes": len(configuration.routes),
                "revision": item.version,
                "source": source.value,
            },
        )
        self._on_change(None)

    def _apply_view(self, item: StoreObject) -> None:
        if item.name != VIEW_NAME or item.deleted:
            return
        try:
            self._ledger.adopt(msgspec.json.decode(item.value, type=View))
        except msgspec.DecodeError as error:
            logger.error(
                "cannot decode the view of the ledger", extra={"reason": str(error)}
            )

    def _apply_target(self, item: StoreObject, source: ChangeSource) -> None:
        instance = InstanceId(item.name)
        self._missing.pop(instance, None)
        if item.deleted:
            self._apply_removal(instance)
            return
        target = decode_target(item.name, item.value)
        if target is None:
            logger.warning(
                "ignored an invalid target entry", extra={"target": instance}
            )
            self._remove(instance, "unreadable")
            return
        before = self._targets.get(instance)
        if self._targets.put(target):
            replaced = before if before and before.key != target.key else None
            logger.info(
                "target",
                extra={
                    "target": instance,
                    "service": target.service,
                    "state": target.state.value,
                    "revision": item.version,
                    "source": source.value,
                },
            )
            self._on_change(replaced)

    def _apply_removal(self, instance: InstanceId) -> None:
        """Removes a draining target at once, and any other target after a delay.

        The entry of a ready target may have expired during an outage that this process
        has not noticed, so the target gets time to restore it. A target that leaves
        without draining still serves calls for at least this long.
        """
        target = self._targets.get(instance)
        if target is None or target.state is TargetState.DRAINING:
            self._remove(instance, "removed")
            return
        logger.info("a ready target is no longer listed", extra={"target": instance})
        self._missing[instance] = trio.current_time() + self._removal_seconds

    def _remove(self, instance: InstanceId, reason: str) -> None:
        target = self._targets.get(instance)
        if target is not None and self._targets.remove(instance):
            logger.info(
                "removed a target", extra={"target": instance, "reason": reason}
            )
            self._on_change(target)

    def _mark_missing(self, changes: StoreChanges, *, after_outage: bool) -> None:
        """Marks targets that a new list does not contain.

        Entries of live targets expire while the store is unavailable. After an outage
        such targets get time to restore their entries; otherwise a missing target is
        removed at once.
        """
        listed = {item.name for item in changes.objects}
        expires_at = trio.current_time() + (RELISTING_SECONDS if after_outage else 0.0)
        for target in self._targets.list_all():
            if target.instance not in listed:
                self._missing.setdefault(target.instance, expires_at)
        self._expire_missing()

    async def _maintain_periodically(self) -> None:
        while True:
            await trio.sleep(EXPIRY_CHECK_SECONDS)
            self._expire_missing()
            self._measure_ages()

    def _expire_missing(self) -> None:
        now = trio.current_time()
        for instance, expires_at in list(self._missing.items()):
            if expires_at <= now:
                del self._missing[instance]
                self._remove(instance, "not listed")
