"""Checks that a frontend's copies of the platform's objects are current.

A watch that waits looks the same whether nothing changes or its connection is dead. A copy
is therefore confirmed at intervals: by another frontend whose copy is the same and was
confirmed more recently, and otherwise by a call to the store that does not wait. One such
call serves several frontends.
"""

import random
from collections.abc import Mapping
from typing import Protocol, final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import ObjectStoreError
from goldcrestvane_daemon.clock import get_elapsed_time
from goldcrestvane_daemon.frontend.copy_bounds import CopyBounds
from goldcrestvane_daemon.frontend.copy_watcher import CopyWatcher
from goldcrestvane_daemon.frontend.metrics import COPY_CHECKS
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.frontend.snapshot import ChangeSource, Snapshot
from goldcrestvane_daemon.platform.store import ObjectKind, StoreChanges, StoreClient
from goldcrestvane_daemon.tasks import Task, run_supervised

logger = get_logger("directory")


class CheckedCopies(Protocol):
    """Receives what a check finds."""

    def needs_check(self, kind: ObjectKind) -> bool:
        """Returns whether the copy of a kind has to be current."""

    def apply_check(
        self, kind: ObjectKind, changes: StoreChanges, *, sent_at: float
    ) -> None:
        """Applies changes that the store returned to a check sent at `sent_at`."""

    def apply_copy(
        self, kind: ObjectKind, copy: StoreChanges, *, confirmed_at: float
    ) -> None:
        """Applies the newer copy of another frontend."""

    def apply_list(
        self,
        kind: ObjectKind,
        changes: StoreChanges,
        *,
        sent_at: float,
        after_outage: bool,
    ) -> None:
        """Applies the list that the store returned to a call sent at `sent_at`."""


@final
class CopyChecker:
    """Confirms the copies of this frontend."""

    def __init__(
        self,
        *,
        store: StoreClient,
        frontends: FrontendPeers,
        snapshots: Mapping[ObjectKind, Snapshot],
        copies: CheckedCopies,
        watcher: CopyWatcher,
        bounds: CopyBounds,
        rng: random.Random,
    ) -> None:
        """Creates a checker; `run` starts it.

        Args:
            store: Client of the platform's store.
            frontends: Frontends that may confirm a copy or have a newer one.
            snapshots: The copies.
            copies: Receives what a check finds.
            watcher: Watches that the checks may find to be dead.
            bounds: Ages at which a copy is checked.
            rng: Draws the age at which the store is asked.
        """
        self._store = store
        self._frontends = frontends
        self._snapshots = snapshots
        self._copies = copies
        self._watcher = watcher
        self._bounds = bounds
        self._rng = rng

    async def run(self) -> None:
        """Checks the copies until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind in self._snapshots:
                nursery.start_soon(
                    run_supervised,
                    Task.OBJECT_CHECK,
                    self._ask_frontends_periodically,
                    kind,
                )
                nursery.start_soon(
                    run_supervised,
                    Task.OBJECT_CHECK,
                    self._ask_store_periodically,
                    kind,
                )

    def _is_older_than(self, seconds: float, kind: ObjectKind) -> bool:
        """Returns whether a copy that has to be current needs a check."""
        age = self._snapshots[kind].get_age(get_elapsed_time())
        return age >= seconds and self._copies.needs_check(kind)

    async def _ask_frontends_periodically(self, kind: ObjectKind) -> None:
        while True:
            await trio.sleep(self._bounds.check_interval)
            if self._is_older_than(self._bounds.frontend_check_age, kind):
                await self._ask_frontends(kind)

    async def _ask_frontends(self, kind: ObjectKind) -> None:
        snapshot = self._snapshots[kind]
        sent_at = get_elapsed_time()
        digest = snapshot.compute_digest()
        copy = await self._frontends.fetch_copy(kind, snapshot.revision, digest)
        if copy is None or copy.age_seconds is None:
            return
        confirmed_at = sent_at - max(0.0, copy.age_seconds)
        if copy.digest == snapshot.compute_digest():
            snapshot.confirm(copy.revision, confirmed_at)
        elif copy.changes and copy.revision > snapshot.revision:
            if await self._watcher.wait_for_watch(kind, copy.revision):
                return
            logger.info(
                "adopted the copy of another frontend",
                extra={"kind": kind.value, "revision": copy.revision},
            )
            self._copies.apply_copy(kind, copy.changes, confirmed_at=confirmed_at)
            COPY_CHECKS.labels(kind.value, ChangeSource.PEER.value).inc()

    async def _ask_store_periodically(self, kind: ObjectKind) -> None:
        max_age = self._rng.uniform(*self._bounds.store_check_ages)
        while True:
            await trio.sleep(self._bounds.check_interval)
            is_old = self._is_older_than(max_age, kind)
            if is_old and self._watcher.is_available(kind):
                await self._ask_store(kind)
                max_age = self._rng.uniform(*self._bounds.store_check_ages)

    async def _ask_store(self, kind: ObjectKind) -> None:
        sent_at = get_elapsed_time()
        revision = self._snapshots[kind].revision
        try:
            changes = await self._store.get_changes(kind, revision)
        except ObjectStoreError as error:
            self._watcher.restart_watch(kind, error)
            return
        await self.apply_answer(kind, changes, sent_at)

    async def apply_answer(
        self, kind: ObjectKind, changes: StoreChanges, sent_at: float
    ) -> None:
        """Confirms or corrects a copy by the store's answer to a check.

        Args:
            kind: Kind of the objects.
            changes: Changes since a revision that the copy had.
            sent_at: Time at which the store was asked.
        """
        if self._snapshots[kind].revision >= changes.revision or not changes.objects:
            # The watch may have returned the changes before this call.
            self._snapshots[kind].confirm(changes.revision, sent_at)
            return
        if await self._watcher.wait_for_watch(kind, changes.revision):
            self._snapshots[kind].confirm(changes.revision, sent_at)
            return
        logger.warning(
            "the store has changes that the watch did not return",
            extra={"kind": kind.value, "revision": changes.revision},
        )
        COPY_CHECKS.labels(kind.value, ChangeSource.CHECK.value).inc()
        self._copies.apply_check(kind, changes, sent_at=sent_at)
        self._watcher.restart_watch(kind, None)
