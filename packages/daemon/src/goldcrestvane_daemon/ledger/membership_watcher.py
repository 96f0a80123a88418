"""Watches the members and candidates of the ledger in the platform's object store."""

from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.ids import InstanceId, Version
from goldcrestvane_common.json_parts import decode_or
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import ObjectStoreError, RevisionTooOld
from goldcrestvane_daemon.clock import get_elapsed_time
from goldcrestvane_daemon.ledger.service import LedgerService
from goldcrestvane_daemon.ledger.view import Member, View
from goldcrestvane_daemon.platform.store import (
    BATCH_SECONDS,
    ObjectKind,
    StoreClient,
    StoreObject,
)
from goldcrestvane_daemon.tasks import Task, run_supervised

WATCHED_KINDS = (ObjectKind.LEDGER, ObjectKind.RETIREMENTS)
VIEW_NAME = "view"
CANDIDATE_PREFIX = "candidate-"
WATCH_TIMEOUT_SECONDS = 30.0
"""Duration of one watch. Members also learn about views from each other."""

RETRY_DELAY_SECONDS = 0.5

logger = get_logger("membership")


@final
class MembershipWatcher:
    """Candidates for membership, and machines that drain before their retirement.

    Attributes:
        candidates: Registered processes with a disk.
        draining: Machines from which the operator wants all entries moved.
        drained: Machines that have no entries left; they never take a slot again.
        loaded_kinds: Kinds of objects that were listed at least once.
        changed: Set after each change.
    """

    def __init__(self, store: StoreClient, service: LedgerService) -> None:
        self._store = store
        self._service = service
        self._stored_view: View | None = None
        self._ledger_revision: Version | None = None
        self._unreadable_candidates: set[InstanceId] = set()
        self.candidates: dict[InstanceId, Member] = {}
        self.draining: set[InstanceId] = set()
        self.drained: set[InstanceId] = set()
        self.loaded_kinds: set[ObjectKind] = set()
        self.changed = trio.Event()

    @property
    def is_loaded(self) -> bool:
        """Whether all kinds were listed, so that decisions can rely on them."""
        return len(self.loaded_kinds) == len(WATCHED_KINDS)

    async def run(self) -> None:
        """Watches the object store until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind in WATCHED_KINDS:
                nursery.start_soon(
                    run_supervised, Task.MEMBERSHIP_WATCH, self._watch_kind, kind
                )

    async def wait_for_change(self, seconds: float) -> None:
        """Returns at the next change or after the given time."""
        with trio.move_on_after(seconds):
            await self.changed.wait()
        self.changed = trio.Event()

    async def _watch_kind(self, kind: ObjectKind) -> None:
        while True:
            try:
                asked_at = get_elapsed_time()
                changes = await self._store.list(kind)
                self._clear_kind(kind, changes.objects)
                while True:
                    for item in changes.objects:
                        self._apply_object(kind, item)
                    if kind is ObjectKind.LEDGER:
                        self._ledger_revision = changes.revision
                        await self._adopt_stored_view(asked_at)
                    self.loaded_kinds.add(kind)
                    self.changed.set()
                    await trio.sleep(BATCH_SECONDS)
                    asked_at = get_elapsed_time()
                    changes = await self._store.watch(
                        kind, changes.revision, WATCH_TIMEOUT_SECONDS
                    )
            except RevisionTooOld:
                continue
            except OSError as error:
                # The member keeps serving; the list that follows tries again.
                logger.error(
                    "recording the view failed; free space on the disk, or replace it",
                    extra={"reason": str(error)},
                )
                await trio.sleep(RETRY_DELAY_SECONDS)
            except ObjectStoreError as error:
                logger.warning(
                    "the object store is unavailable",
                    extra={"kind": kind.value, "reason": str(error)},
                )
                await trio.sleep(RETRY_DELAY_SECONDS)

    async def check_view(self) -> None:
        """Reads the newest view without waiting for a change, to confirm it."""
        if self._ledger_revision is None:
            return
        asked_at = get_elapsed_time()
        try:
            changes = await self._store.get_changes(
                ObjectKind.LEDGER, self._ledger_revision
            )
            for item in changes.objects:
                self._apply_object(ObjectKind.LEDGER, item)
            await self._adopt_stored_view(asked_at)
        except (ObjectStoreError, OSError) as error:
            logger.info("confirming the view failed", extra={"reason": str(error)})

    async def _adopt_stored_view(self, asked_at: float) -> None:
        """Adopts the view in the store, which was the newest one at a time."""
        view = self._stored_view
        if view is None:
            return
        await self._service.adopt_durably(view)
        if self._service.quotas is not None:
            self._service.quotas.lease.confirm(view.epoch, asked_at)

    def has_registered(self, instance: InstanceId) -> bool:
        """Returns whether a machine has registered, also if its entry is unreadable."""
        return instance in self.candidates or instance in self._unreadable_candidates

    def _clear_kind(self, kind: ObjectKind, listed: list[StoreObject]) -> None:
        """Forgets all that a new list replaces.

        What is known of an object stays if the list has it and it cannot be decoded.
        """
        kept = {item.name for item in listed if _decode_value(kind, item) is None}
        if kind is ObjectKind.RETIREMENTS:
            self.draining &= kept
            self.drained &= kept
            return
        self._unreadable_candidates.clear()
        self.candidates = {
            instance: member
            for instance, member in self.candidates.items()
            if CANDIDATE_PREFIX + instance in kept
        }

    def _apply_object(self, kind: ObjectKind, item: StoreObject) -> None:
        value = _decode_value(kind, item)
        if value is None and not item.deleted:
            logger.warning(
                "ignoring an object that cannot be decoded",
                extra={"kind": kind.value, "object": item.name},
            )
            if item.name.startswith(CANDIDATE_PREFIX):
                instance = InstanceId(item.name.removeprefix(CANDIDATE_PREFIX))
                self._unreadable_candidates.add(instance)
        elif kind is ObjectKind.RETIREMENTS:
            self._apply_retirement(item)
        elif isinstance(value, View):
            self._stored_view = value
        elif isinstance(value, Member):
            self.candidates[value.instance] = value
            self._unreadable_candidates.discard(value.instance)

    def _apply_retirement(self, item: StoreObject) -> None:
        instance = InstanceId(item.name)
        if item.deleted:
            self.draining.discard(instance)
            self.drained.discard(instance)
        elif b'"completed"' in item.status:
            self.draining.discard(instance)
            self.drained.add(instance)
        elif instance not in self.draining:
            self.draining.add(instance)
            logger.info("a machine starts draining", extra={"machine": instance})


def _decode_value(kind: ObjectKind, item: StoreObject) -> Any:
    """Decodes an object's value to the type that its name stands for.

    Returns:
        A `View`, a `Member` or the fields of a retirement; None if the value is none.
    """
    if kind is ObjectKind.RETIREMENTS:
        return decode_or(item.value, dict[str, msgspec.Raw], None)
    return decode_or(item.value, View if item.name == VIEW_NAME else Member, None)
