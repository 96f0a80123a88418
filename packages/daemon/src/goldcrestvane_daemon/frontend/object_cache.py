"""Cache of the platform's objects: configuration, targets and members of the ledger."""

import random
from collections.abc import Callable
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import InstanceId, Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.accounts.authentication import KeyBounds
from goldcrestvane_daemon.clock import get_elapsed_time
from goldcrestvane_daemon.frontend.configuration_copy import ConfigurationCopy
from goldcrestvane_daemon.frontend.copy_bounds import RELISTING_SECONDS, CopyBounds
from goldcrestvane_daemon.frontend.copy_checker import CopyChecker
from goldcrestvane_daemon.frontend.copy_confirmer import CopyConfirmer
from goldcrestvane_daemon.frontend.copy_watcher import CopyWatcher
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.metrics import COPY_AGE_SECONDS
from goldcrestvane_daemon.frontend.peer_messages import FetchObjects, ObjectsCopy
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.frontend.snapshot import ChangeSource, Snapshot
from goldcrestvane_daemon.ledger.membership_watcher import VIEW_NAME
from goldcrestvane_daemon.ledger.view import View
from goldcrestvane_daemon.platform.object_decoding import decode_target
from goldcrestvane_daemon.platform.store import (
    ObjectKind,
    StoreChanges,
    StoreClient,
    StoreObject,
)
from goldcrestvane_daemon.routes import RouteTable
from goldcrestvane_daemon.targets import Target, TargetState, TargetTable
from goldcrestvane_daemon.tasks import Task, run_supervised

EXPIRY_CHECK_SECONDS = 0.1

VIEW_CHECK_SECONDS = 2.0
"""Interval at which a frontend that cannot reach the ledger reads the view again."""

MAX_LOGGED_BYTES = 200
"""Part of an invalid entry that is logged."""

WATCHED_KINDS = (ObjectKind.CONFIGURATION, ObjectKind.TARGETS, ObjectKind.LEDGER)

logger = get_logger("directory")


class Delivery(msgspec.Struct, frozen=True, kw_only=True):
    """How changes reached this process.

    Attributes:
        source: Where the changes came from.
        confirmed_at: Time at which the copy is complete with these changes.
        removal_at: Time until which targets are used whose entries were removed.
    """

    source: ChangeSource
    confirmed_at: float
    removal_at: float


@final
class ObjectCache:
    """Cache of the platform's objects in this process.

    Attributes:
        synced: Set once the configuration is known and the targets were listed.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        targets: TargetTable,
        ledger: LedgerClient,
        frontends: FrontendPeers,
        bounds: CopyBounds,
        key_bounds: KeyBounds = KeyBounds(),
        rng: random.Random,
        on_change: Callable[[Target | None], None],
    ) -> None:
        """Creates an empty cache; `run` fills it.

        Args:
            store: Client of the platform's store.
            targets: Table that the cache updates.
            ledger: Ledger client that receives new views.
            frontends: Frontends whose copies may confirm or replace those of this one.
            bounds: Time bounds of the deployment.
            key_bounds: Bounds on the age of the copy by which API keys are decided.
            rng: Draws the times of checks.
            on_change: Called after each change of the targets or the configuration,
                with the target that was removed or replaced, if any.
        """
        self._targets = targets
        self._ledger = ledger
        self._on_change = on_change
        self._bounds = bounds
        self._snapshots = {kind: Snapshot() for kind in WATCHED_KINDS}
        self._snapshots_by_name = {
            kind.value: snapshot for kind, snapshot in self._snapshots.items()
        }
        self._missing: dict[InstanceId, float] = {}
        self._watcher = CopyWatcher(
            store=store,
            snapshots=self._snapshots,
            copies=self,
            retry_seconds=bounds.retry_seconds,
        )
        self._checker = CopyChecker(
            store=store,
            frontends=frontends,
            snapshots=self._snapshots,
            copies=self,
            watcher=self._watcher,
            bounds=bounds,
            rng=rng,
        )
        configuration = self._snapshots[ObjectKind.CONFIGURATION]
        self._configuration = ConfigurationCopy(configuration)
        self._confirmer = CopyConfirmer(
            store=store,
            snapshot=configuration,
            copies=self,
            checker=self._checker,
            bounds=key_bounds,
            is_needed=self._configuration.may_have_accounts,
            rng=rng,
        )
        self.synced = trio.Event()

    @property
    def routes(self) -> RouteTable | None:
        """Routes of the configuration in force; None before the first one."""
        return self._configuration.routes

    async def run(self) -> None:
        """Keeps the copies current until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watcher.run)
            nursery.start_soon(self._checker.run)
            nursery.start_soon(self._confirmer.run)
            nursery.start_soon(
                run_supervised, Task.OBJECT_EXPIRY, self._maintain_periodically
            )

    async def wait_until_needed(self, kind: ObjectKind) -> bool:
        """Waits while a kind needs no watch; returns whether it had to wait.

        Newer views come from the members of the ledger as long as these are reachable.
        """
        if kind is not ObjectKind.LEDGER or self._ledger.view is None:
            return False
        while True:
            await trio.sleep(VIEW_CHECK_SECONDS)
            if not self._ledger.is_reachable:
                return True

    def needs_check(self, kind: ObjectKind) -> bool:
        """Returns whether the copy of a kind has to be current."""
        if kind is not ObjectKind.LEDGER:
            return True
        return self._ledger.view is None or not self._ledger.is_reachable

    def get_copy(self, request: FetchObjects) -> ObjectsCopy:
        """Returns the state of the copy of a kind, for another frontend.

        A frontend of another version may ask for a kind of which this one has no copy.
        """
        snapshot = self._snapshots_by_name.get(request.kind)
        if snapshot is None or snapshot.revision == 0:
            return ObjectsCopy(None)
        digest = snapshot.compute_digest()
        changes = None
        if snapshot.revision > request.since and digest != request.digest:
            changes = StoreChanges(list(snapshot.objects.values()), snapshot.revision)
        age = snapshot.get_age(get_elapsed_time())
        return ObjectsCopy(changes, snapshot.revision, digest, age)

    def get_revision(self, kind: ObjectKind) -> Version:
        """Returns the revision of the copy of a kind; 0 if there is none."""
        return self._snapshots[kind].revision

    def get_configuration_age(self) -> float:
        """Returns the seconds since the configuration in force is known to be the newest.

        Infinite if it is known not to be.
        """
        return self._configuration.get_age()

    def get_key_check_delay(self) -> float:
        """Returns the seconds until an unknown key may cause the next request."""
        return self._confirmer.get_key_check_delay()

    async def confirm_for_key(self) -> None:
        """Waits for a limited time until the copy may tell that a key is unknown."""
        await self._confirmer.confirm_for_key()

    def _measure_ages(self) -> None:
        now = get_elapsed_time()
        for kind, snapshot in self._snapshots.items():
            COPY_AGE_SECONDS.labels(kind.value).set(snapshot.get_age(now))

    def apply_list(
        self,
        kind: ObjectKind,
        changes: StoreChanges,
        *,
        sent_at: float,
        after_outage: bool,
    ) -> None:
        """Applies the list that the store returned to a call sent at `sent_at`.

        Entries of live targets expire while the store is unavailable. After an outage
        such targets get time to restore their entries.
        """
        removal_at = self._get_removal_time(kind)
        if after_outage:
            removal_at = get_elapsed_time() + RELISTING_SECONDS
        delivery = Delivery(
            source=ChangeSource.LIST, confirmed_at=sent_at, removal_at=removal_at
        )
        self._replace(kind, changes, delivery)

    def apply_copy(
        self, kind: ObjectKind, copy: StoreChanges, *, confirmed_at: float
    ) -> None:
        """Applies the newer copy of another frontend."""
        delivery = Delivery(
            source=ChangeSource.PEER,
            confirmed_at=confirmed_at,
            removal_at=self._get_removal_time(kind),
        )
        self._replace(kind, copy, delivery)

    def apply_watch(
        self, kind: ObjectKind, changes: StoreChanges, *, sent_at: float
    ) -> None:
        """Applies changes that a watch sent at `sent_at` returned."""
        delivery = Delivery(
            source=ChangeSource.WATCH,
            confirmed_at=sent_at,
            removal_at=get_elapsed_time() + self._bounds.removal_seconds,
        )
        self._update(kind, changes, delivery)

    def apply_check(
        self, kind: ObjectKind, changes: StoreChanges, *, sent_at: float
    ) -> None:
        """Applies changes that the store returned to a check sent at `sent_at`."""
        delivery = Delivery(
            source=ChangeSource.CHECK,
            confirmed_at=sent_at,
            removal_at=self._get_removal_time(kind),
        )
        self._update(kind, changes, delivery)

    def _get_removal_time(self, kind: ObjectKind) -> float:
        """Returns until when targets are used that are missing from a newer copy.

        They may have been removed right after the present copy was confirmed. While the
        store is unavailable, their entries may only have expired.
        """
        if not self._watcher.is_available(kind):
            return get_elapsed_time() + RELISTING_SECONDS
        return self._snapshots[kind].confirmed_at + self._bounds.removal_seconds

    def _update(
        self, kind: ObjectKind, changes: StoreChanges, delivery: Delivery
    ) -> None:
        """Merges the changes since a revision that the copy had."""
        snapshot = self._snapshots[kind]
        before = snapshot.position
        updated = snapshot.update(changes, confirmed_at=delivery.confirmed_at)
        self._apply_all(kind, updated, delivery, before)
        self._update_synced()

    def _replace(
        self, kind: ObjectKind, changes: StoreChanges, delivery: Delivery
    ) -> None:
        """Replaces the copy by a list of all objects, unless the list is older."""
        snapshot = self._snapshots[kind]
        before = snapshot.position
        if not snapshot.replace(changes, confirmed_at=delivery.confirmed_at):
            return
        if kind is ObjectKind.TARGETS:
            self._mark_missing(changes, delivery.removal_at)
        self._apply_all(kind, changes.objects, delivery, before)
        self._update_synced()

    def _apply_all(
        self,
        kind: ObjectKind,
        items: list[StoreObject],
        delivery: Delivery,
        before: tuple[Version, float],
    ) -> None:
        """Puts objects in force; those that fail do not keep the others from it.

        Raises:
            ExceptionGroup: Some failed. The copy is back at its position before them.
        """
        failed, errors = [], []
        for item in items:
            try:
                self._apply(kind, item, delivery)
            except Exception as error:
                failed.append(item)
                errors.append(error)
        if errors:
            self._snapshots[kind].take_back(failed, before)
            raise ExceptionGroup("objects could not be put in force", errors)

    def _update_synced(self) -> None:
        if self.routes is not None and self._snapshots[ObjectKind.TARGETS].revision:
            self.synced.set()

    def _apply(self, kind: ObjectKind, item: StoreObject, delivery: Delivery) -> None:
        if kind is ObjectKind.TARGETS:
            self._apply_target(item, delivery)
        elif kind is ObjectKind.CONFIGURATION:
            if self._configuration.apply(item, delivery.source):
                self._on_change(None)
        else:
            self._apply_view(item)

    def _apply_view(self, item: StoreObject) -> None:
        if item.name != VIEW_NAME or item.deleted:
            return
        try:
            self._ledger.adopt(msgspec.json.decode(item.value, type=View))
        except msgspec.DecodeError as error:
            logger.error(
                "cannot decode the view of the ledger", extra={"reason": str(error)}
            )

    def _apply_target(self, item: StoreObject, delivery: Delivery) -> None:
        instance = InstanceId(item.name)
        if item.deleted:
            self._apply_removal(instance, delivery.removal_at)
            return
        self._missing.pop(instance, None)
        target = decode_target(item.name, item.value)
        if target is None:
            logger.warning(
                "ignored an invalid target entry",
                extra={"target": instance, "entry": str(item.value[:MAX_LOGGED_BYTES])},
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
                    "software": target.software,
                    "state": target.state.value,
                    "revision": item.version,
                    "source": delivery.source.value,
                },
            )
            self._on_change(replaced)

    def _apply_removal(self, instance: InstanceId, removal_at: float) -> None:
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
        self._missing.setdefault(instance, removal_at)

    def _remove(self, instance: InstanceId, reason: str) -> None:
        target = self._targets.get(instance)
        if target is not None and self._targets.remove(instance):
            logger.info(
                "removed a target", extra={"target": instance, "reason": reason}
            )
            self._on_change(target)

    def _mark_missing(self, changes: StoreChanges, removal_at: float) -> None:
        """Marks the targets that a new list does not contain."""
        listed = {item.name for item in changes.objects}
        for target in self._targets.list_all():
            if target.instance not in listed:
                self._missing.setdefault(target.instance, removal_at)
        self._expire_missing()

    async def _maintain_periodically(self) -> None:
        while True:
            await trio.sleep(EXPIRY_CHECK_SECONDS)
            self._expire_missing()
            self._confirm_targets()
            self._measure_ages()

    def _confirm_targets(self) -> None:
        """Confirms the entries that are listed too long after a sign of their target's end."""
        confirmed_at = self._snapshots[ObjectKind.TARGETS].confirmed_at
        self._targets.confirm(confirmed_at - self._bounds.stale_entry_seconds)

    def _expire_missing(self) -> None:
        now = get_elapsed_time()
        for instance, expires_at in list(self._missing.items()):
            if expires_at <= now:
                del self._missing[instance]
                self._remove(instance, "not listed")
