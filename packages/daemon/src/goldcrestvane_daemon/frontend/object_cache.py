"""Follows the platform's store: configuration, targets, and members of the ledger."""

from collections.abc import Callable
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import InstanceId, Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import ObjectStoreError, RevisionTooOld
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.ledger.roster import VIEW_NAME
from goldcrestvane_daemon.ledger.view import View
from goldcrestvane_daemon.platform.object_decoding import (
    CONFIGURATION_NAME,
    decode_configuration,
    decode_target,
)
from goldcrestvane_daemon.platform.store import (
    ObjectKind,
    StoreChanges,
    StoreClient,
    StoreObject,
)
from goldcrestvane_daemon.routes import RouteTable
from goldcrestvane_daemon.targets import Target, TargetState, TargetTable

WATCH_SECONDS = 10.0
"""A shorter watch costs more calls; a silent connection is noticed by keep-alive."""

FIRST_ANSWER_SECONDS = 0.3
"""Time after its start at which a process stops relying on the store alone."""

RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 1.0
MISSING_CHECK_SECONDS = 0.1

WATCHED_KINDS = (ObjectKind.CONFIGURATION, ObjectKind.TARGETS, ObjectKind.LEDGER)

RETURN_SECONDS = 2.0
"""After an outage, entries of live targets are back within this time."""

REMOVAL_MARGIN_SECONDS = 0.4
"""How much sooner than its bound a removed target is dropped: the delay of a watch, a
check of the missing ones and the way to the target."""

logger = get_logger("directory")


@final
class _Copy:
    """The objects of one kind, complete up to a revision of the store."""

    def __init__(self) -> None:
        self.objects: dict[str, StoreObject] = {}
        self.revision = Version(0)


@final
class ObjectCache:
    """What this process believes of the platform's objects.

    Attributes:
        routes: The configuration in force; None before the first one.
        synced: Set once there is a configuration and the targets were listed.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        targets: TargetTable,
        ledger: LedgerClient,
        frontends: FrontendPeers,
        drain_seconds: float,
        changed: Callable[[Target | None], None],
    ) -> None:
        """Creates a directory; `run` fills it.

        Args:
            store: Client of the platform's store.
            targets: Table to keep up to date.
            ledger: Told of new members.
            frontends: Asked while the store does not answer.
            drain_seconds: Time after which a leaving target gets no new call.
            changed: Called after each change of the targets, with one that is gone.
        """
        self._store = store
        self._targets = targets
        self._ledger = ledger
        self._changed = changed
        self._frontends = frontends
        self._removal_seconds = max(0.0, drain_seconds - REMOVAL_MARGIN_SECONDS)
        self._copies = {kind: _Copy() for kind in WATCHED_KINDS}
        self._missing: dict[InstanceId, float] = {}
        self.routes: RouteTable | None = None
        self.synced = trio.Event()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind in WATCHED_KINDS:
                nursery.start_soon(self._follow, kind)
            nursery.start_soon(self._drop_missing)
            nursery.start_soon(self._ask_at_start)

    async def _ask_at_start(self) -> None:
        """Asks other frontends while a store that hangs leaves this one without news."""
        while any(copy.revision == 0 for copy in self._copies.values()):
            await trio.sleep(FIRST_ANSWER_SECONDS)
            for kind, copy in self._copies.items():
                if copy.revision == 0:
                    await self._ask_frontends(kind)

    async def _follow(self, kind: ObjectKind) -> None:
        pause = RETRY_SECONDS
        reachable = True
        while True:
            try:
                changes = await self._store.list(kind)
                if not reachable:
                    logger.info("the store answers again", extra={"kind": kind.value})
                self._take_list(kind, changes, after_outage=not reachable)
                reachable = True
                pause = RETRY_SECONDS
                while True:
                    changes = await self._store.watch(
                        kind, self._copies[kind].revision, WATCH_SECONDS
                    )
                    self._take_changes(kind, changes)
            except RevisionTooOld as error:
                logger.info("listing anew", extra={"reason": str(error)})
            except ObjectStoreError as error:
                if reachable:
                    logger.warning(
                        "the store does not answer",
                        extra={"kind": kind.value, "reason": str(error)},
                    )
                reachable = False
                await self._ask_frontends(kind)
                await trio.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_SECONDS)

    async def _ask_frontends(self, kind: ObjectKind) -> None:
        """Takes over a newer copy from a frontend that the store does answer."""
        copy = await self._frontends.fetch_objects(kind, self._copies[kind].revision)
        if copy is not None and copy.revision > self._copies[kind].revision:
            logger.info(
                "took over a frontend's copy",
                extra={"kind": kind.value, "revision": copy.revision},
            )
            self._take_list(kind, copy, after_outage=True)

    def get_objects(self, kind: ObjectKind, since: Version) -> StoreChanges | None:
        """Returns all objects of a kind, or None when no newer ones are known."""
        copy = self._copies[kind]
        if copy.revision <= since:
            return None
        return StoreChanges(list(copy.objects.values()), copy.revision)

    def _take_list(
        self, kind: ObjectKind, changes: StoreChanges, *, after_outage: bool
    ) -> None:
        copy = self._copies[kind]
        copy.objects = {item.name: item for item in changes.objects}
        copy.revision = max(copy.revision, changes.revision)
        if kind is ObjectKind.TARGETS:
            self._note_missing(changes, after_outage=after_outage)
        for item in changes.objects:
            self._take(kind, item)
        self._check_complete()

    def _take_changes(self, kind: ObjectKind, changes: StoreChanges) -> None:
        copy = self._copies[kind]
        for item in changes.objects:
            copy.objects.pop(item.name, None)
            if not item.deleted:
                copy.objects[item.name] = item
            self._take(kind, item)
        copy.revision = max(copy.revision, changes.revision)
        self._check_complete()

    def _check_complete(self) -> None:
        if self.routes is not None and self._copies[ObjectKind.TARGETS].revision:
            self.synced.set()

    def _take(self, kind: ObjectKind, item: StoreObject) -> None:
        if kind is ObjectKind.TARGETS:
            self._take_target(item)
        elif kind is ObjectKind.CONFIGURATION:
            self._take_configuration(item)
        else:
            self._take_view(item)

    def _take_configuration(self, item: StoreObject) -> None:
        if item.name != CONFIGURATION_NAME or item.deleted:
            return
        try:
            configuration = decode_configuration(item.value)
        except msgspec.DecodeError as error:
            logger.error("unreadable configuration", extra={"reason": str(error)})
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
            },
        )
        self._changed(None)

    def _take_view(self, item: StoreObject) -> None:
        if item.name != VIEW_NAME or item.deleted:
            return
        try:
            self._ledger.adopt(msgspec.json.decode(item.value, type=View))
        except msgspec.DecodeError as error:
            logger.error("unreadable view", extra={"reason": str(error)})

    def _take_target(self, item: StoreObject) -> None:
        instance = InstanceId(item.name)
        self._missing.pop(instance, None)
        if item.deleted:
            self._take_removal(instance)
            return
        target = decode_target(item.name, item.value)
        if target is None:
            logger.warning("ignored a target's entry", extra={"target": instance})
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
                },
            )
            self._changed(replaced)

    def _take_removal(self, instance: InstanceId) -> None:
        """Drops a target that leaves, and gives any other one the time to return.

        The removal of a ready target may be a lapse of its entry during an outage that
        this process has not noticed. A target that leaves without saying so serves on
        for at least the same time.
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
            logger.info("target gone", extra={"target": instance, "reason": reason})
            self._changed(target)

    def _note_missing(self, changes: StoreChanges, *, after_outage: bool) -> None:
        """Notes targets that a new list lacks.

        Entries lapse while the store is away, though their targets live; they get
        the time to return. At any other time a missing target is gone.
        """
        listed = {item.name for item in changes.objects}
        until = trio.current_time() + (RETURN_SECONDS if after_outage else 0.0)
        for target in self._targets.list_all():
            if target.instance not in listed:
                self._missing.setdefault(target.instance, until)
        self._expire_missing()

    async def _drop_missing(self) -> None:
        while True:
            await trio.sleep(MISSING_CHECK_SECONDS)
            self._expire_missing()

    def _expire_missing(self) -> None:
        now = trio.current_time()
        for instance, until in list(self._missing.items()):
            if until <= now:
                del self._missing[instance]
                self._remove(instance, "not listed")
