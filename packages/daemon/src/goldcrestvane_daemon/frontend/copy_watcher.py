"""Watches the platform's store and lists the objects again after a failure."""

from collections.abc import Mapping
from typing import Protocol, final

import trio

from goldcrestvane_common.ids import Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import ObjectStoreError, RevisionTooOld
from goldcrestvane_daemon.clock import get_elapsed_time
from goldcrestvane_daemon.frontend.copy_bounds import LIST_TIMEOUT_SECONDS
from goldcrestvane_daemon.frontend.snapshot import Snapshot
from goldcrestvane_daemon.platform.store import (
    BATCH_SECONDS,
    ObjectKind,
    StoreChanges,
    StoreClient,
)
from goldcrestvane_daemon.tasks import Task, run_supervised

WATCH_TIMEOUT_SECONDS = 10.0
"""Duration of one watch. Shorter watches cost more calls."""

RETURN_SECONDS = 0.1
"""Time within which a watch that works returns a change that is in the store."""

logger = get_logger("directory")


class WatchedCopies(Protocol):
    """Receives what the store returns."""

    def apply_list(
        self,
        kind: ObjectKind,
        changes: StoreChanges,
        *,
        sent_at: float,
        after_outage: bool,
    ) -> None:
        """Applies the list that the store returned to a call sent at `sent_at`."""

    def apply_watch(
        self, kind: ObjectKind, changes: StoreChanges, *, sent_at: float
    ) -> None:
        """Applies changes that a watch sent at `sent_at` returned."""

    async def wait_until_needed(self, kind: ObjectKind) -> bool:
        """Waits while a kind needs no watch; returns whether it had to wait."""


@final
class CopyWatcher:
    """Lists and watches kinds of objects."""

    def __init__(
        self,
        *,
        store: StoreClient,
        snapshots: Mapping[ObjectKind, Snapshot],
        copies: WatchedCopies,
        retry_seconds: float,
    ) -> None:
        """Creates a watcher; `run` starts it.

        Args:
            store: Client of the platform's store.
            snapshots: The copies.
            copies: Receives what the store returns.
            retry_seconds: Pause between two calls to a store that does not answer.
        """
        self._store = store
        self._snapshots = snapshots
        self._copies = copies
        self._retry_seconds = retry_seconds
        self._retry_lock = trio.Lock()
        self._answered = True
        self._unavailable: set[ObjectKind] = set()
        self._watches: dict[ObjectKind, trio.CancelScope] = {}
        self._pauses: dict[ObjectKind, trio.CancelScope] = {}
        self._returned = {kind: trio.Event() for kind in snapshots}
        self._watch_errors: dict[ObjectKind, ObjectStoreError] = {}

    async def run(self) -> None:
        """Watches the store until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind in self._snapshots:
                nursery.start_soon(
                    run_supervised, Task.OBJECT_WATCH, self._follow_kind, kind
                )

    def is_available(self, kind: ObjectKind) -> bool:
        """Returns whether there is a copy and the store answered the last list.

        A watch that fails does not show that the store is unavailable.
        """
        return kind not in self._unavailable and self._snapshots[kind].revision > 0

    def restart_watch(self, kind: ObjectKind, error: ObjectStoreError | None) -> None:
        """Ends the watch of a kind; with an error, the kind is listed again."""
        scope = self._watches.get(kind)
        if scope is None:
            return
        if error is not None:
            self._watch_errors[kind] = error
        scope.cancel()

    async def wait_for_watch(self, kind: ObjectKind, revision: Version) -> bool:
        """Gives the watch time to return a revision that a check has found.

        When a target is removed, only the watch shows that it was just now. A check
        shows no more than that it was after the copy was last confirmed.

        Returns:
            Whether the copy has the revision. If not, the watch may be dead.
        """
        if kind in self._pauses:
            self._pauses[kind].cancel()
        elif kind not in self._watches:
            return False
        with trio.move_on_after(RETURN_SECONDS):
            while self._snapshots[kind].revision < revision:
                await self._returned[kind].wait()
        return self._snapshots[kind].revision >= revision

    async def _follow_kind(self, kind: ObjectKind) -> None:
        while True:
            try:
                await self._list_kind(kind)
                await self._watch_kind(kind)
            except RevisionTooOld as error:
                logger.info(
                    "listing again after a gap in the history",
                    extra={"reason": str(error)},
                )
            except ObjectStoreError as error:
                logger.warning(
                    "a watch got no answer",
                    extra={
                        "kind": kind.value,
                        "reason": str(error),
                        "age": self._get_age(kind),
                    },
                )

    async def _list_kind(self, kind: ObjectKind) -> None:
        """Lists a kind, and tries again until the store answers."""
        if await self._try_list(kind):
            return
        while True:
            # One kind at a time calls a store that does not answer.
            async with self._retry_lock:
                if not self._answered:
                    await trio.sleep(self._retry_seconds)
                if await self._try_list(kind):
                    return

    async def _try_list(self, kind: ObjectKind) -> bool:
        """Lists a kind once; returns whether the store answered."""
        sent_at = get_elapsed_time()
        try:
            changes = await self._store.list(kind, timeout=LIST_TIMEOUT_SECONDS)
        except ObjectStoreError as error:
            self._answered = False
            if kind not in self._unavailable:
                self._unavailable.add(kind)
                logger.warning(
                    "the store does not answer",
                    extra={
                        "kind": kind.value,
                        "reason": str(error),
                        "age": self._get_age(kind),
                    },
                )
            return False
        self._answered = True
        after_outage = kind in self._unavailable
        if after_outage:
            self._unavailable.discard(kind)
            logger.info(
                "the store answers again",
                extra={"kind": kind.value, "age": self._get_age(kind)},
            )
        self._copies.apply_list(
            kind, changes, sent_at=sent_at, after_outage=after_outage
        )
        return True

    async def _watch_kind(self, kind: ObjectKind) -> None:
        """Watches a kind; returns when it should be listed again.

        Raises:
            ObjectStoreError: The watch failed, or a check showed that it is dead.
        """
        while True:
            await self._pause(kind)
            if await self._copies.wait_until_needed(kind):
                return
            sent_at = get_elapsed_time()
            with trio.CancelScope() as scope:
                self._watches[kind] = scope
                try:
                    changes = await self._store.watch(
                        kind, self._snapshots[kind].revision, WATCH_TIMEOUT_SECONDS
                    )
                finally:
                    del self._watches[kind]
                self._copies.apply_watch(kind, changes, sent_at=sent_at)
                self._returned[kind].set()
                self._returned[kind] = trio.Event()
            error = self._watch_errors.pop(kind, None)
            if error is not None:
                raise error

    async def _pause(self, kind: ObjectKind) -> None:
        """Waits between two watches, so that the next one returns a batch of changes."""
        with trio.move_on_after(BATCH_SECONDS) as scope:
            self._pauses[kind] = scope
            await trio.sleep_forever()
        del self._pauses[kind]

    def _get_age(self, kind: ObjectKind) -> float:
        return round(self._snapshots[kind].get_age(get_elapsed_time()), 3)
