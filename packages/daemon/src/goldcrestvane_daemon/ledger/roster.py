"""What the platform's store says of the ledger's members and candidates."""

from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import ObjectStoreError, RevisionTooOld
from goldcrestvane_daemon.ledger.service import LedgerService
from goldcrestvane_daemon.ledger.view import Member, View
from goldcrestvane_daemon.platform.store import ObjectKind, StoreClient, StoreObject

WATCHED_KINDS = (ObjectKind.LEDGER, ObjectKind.RETIREMENTS)
VIEW_NAME = "view"
CANDIDATE_PREFIX = "candidate-"
WATCH_SECONDS = 10.0
RETRY_SECONDS = 0.5

logger = get_logger("membership")


@final
class MembershipWatcher:
    """Candidates for membership, and machines that are to be emptied.

    Attributes:
        candidates: Processes with disks that have registered.
        draining: Machines that are to be emptied.
        drained: Machines whose emptying is completed; they take no slot again.
        loaded_kinds: Kinds of objects that were read at least once.
        changed: Set when something has changed.
    """

    def __init__(self, store: StoreClient, service: LedgerService) -> None:
        self._store = store
        self._service = service
        self._adopted: View | None = None
        self.candidates: dict[InstanceId, Member] = {}
        self.draining: set[InstanceId] = set()
        self.drained: set[InstanceId] = set()
        self.loaded_kinds: set[ObjectKind] = set()
        self.changed = trio.Event()

    @property
    def is_loaded(self) -> bool:
        """Whether all kinds were read, so that decisions can rely on them."""
        return len(self.loaded_kinds) == len(WATCHED_KINDS)

    async def run(self) -> None:
        """Follows the store until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind in WATCHED_KINDS:
                nursery.start_soon(self._follow, kind)

    async def wait_for_change(self, seconds: float) -> None:
        """Returns at the next change, or after a time."""
        with trio.move_on_after(seconds):
            await self.changed.wait()
        self.changed = trio.Event()

    async def _follow(self, kind: ObjectKind) -> None:
        while True:
            try:
                changes = await self._store.list(kind)
                self._begin_list(kind)
                while True:
                    for item in changes.objects:
                        self._take_object(kind, item)
                    if self._adopted is not None:
                        await self._service.adopt_durably(self._adopted)
                    self.loaded_kinds.add(kind)
                    self.changed.set()
                    changes = await self._store.watch(
                        kind, changes.revision, WATCH_SECONDS
                    )
            except RevisionTooOld:
                continue
            except ObjectStoreError as error:
                logger.warning(
                    "the object store does not answer",
                    extra={"kind": kind.value, "reason": str(error)},
                )
                await trio.sleep(RETRY_SECONDS)

    def _begin_list(self, kind: ObjectKind) -> None:
        if kind is ObjectKind.RETIREMENTS:
            self.draining.clear()
            self.drained.clear()
        else:
            self.candidates.clear()

    def _take_object(self, kind: ObjectKind, item: StoreObject) -> None:
        if kind is ObjectKind.RETIREMENTS:
            self._take_retirement(item)
            return
        try:
            if item.name == VIEW_NAME:
                view = msgspec.json.decode(item.value, type=View)
                self._adopted = view
            elif item.name.startswith(CANDIDATE_PREFIX):
                member = msgspec.json.decode(item.value, type=Member)
                self.candidates[member.instance] = member
        except msgspec.DecodeError as error:
            logger.warning(
                "ignored an unreadable object",
                extra={"object": item.name, "reason": str(error)},
            )

    def _take_retirement(self, item: StoreObject) -> None:
        instance = InstanceId(item.name)
        if item.deleted:
            self.draining.discard(instance)
            self.drained.discard(instance)
        elif b'"completed"' in item.status:
            self.draining.discard(instance)
            self.drained.add(instance)
        elif instance not in self.draining:
            self.draining.add(instance)
            logger.info("a machine is to be emptied", extra={"machine": instance})
