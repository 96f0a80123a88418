"""Membership of the ledger: bootstrap, joining, replacement of lost members, leaving.

Each membership change is a conditional update of one object in the platform's object
store. A joining member first makes its peers adopt the new view, so that no writer with
an older view can count their votes, and then copies their entries.
"""

from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_common.json_parts import decode_or
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import (
    ObjectStoreError,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
)
from goldcrestvane_daemon.clock import get_elapsed_time
from goldcrestvane_daemon.ledger.copying import PartitionCopier
from goldcrestvane_daemon.ledger.frames import PeerConnection, PeerUnreachable
from goldcrestvane_daemon.ledger.log import EntryLog
from goldcrestvane_daemon.ledger.loss_decision import LossPoll
from goldcrestvane_daemon.ledger.membership_watcher import (
    CANDIDATE_PREFIX,
    VIEW_NAME,
    MembershipWatcher,
)
from goldcrestvane_daemon.ledger.messages import (
    GetMemberState,
    MemberState,
    Response,
    Write,
)
from goldcrestvane_daemon.ledger.service import LedgerService
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.view import (
    Member,
    View,
    build_first_view,
)
from goldcrestvane_daemon.platform.store import ObjectKind, StoreClient, StoreObject
from goldcrestvane_daemon.tasks import Task, run_supervised

BOOTSTRAP_WAIT_SECONDS = 1.5
"""Minimum wait for the other initial members.

Machines start within 0.3 s, and a process takes a second to start.
"""

MAX_BOOTSTRAP_WAIT_SECONDS = 5.0
"""Wait after which the registered candidates create the first view on their own."""

STEP_INTERVAL_SECONDS = 0.4
PROBE_TIMEOUT_SECONDS = 0.5
PROBES_UNTIL_LOST = 5
"""Consecutive failed probes, about 2 s, after which a standby replaces a member."""

WRITE_TIMEOUT_SECONDS = 0.5
"""Timeout of a forwarded write, which usually takes 20 ms."""

logger = get_logger("membership")


class RetirementStatus(msgspec.Struct, frozen=True):
    """Progress of draining a machine, reported to the operator."""

    state: str


@final
class LedgerMembership:
    """Maintains the membership of one process in the ledger."""

    def __init__(
        self,
        *,
        local_member: Member,
        tolerated_losses: int,
        store: StoreClient,
        service: LedgerService,
        state: LedgerState,
        log: EntryLog,
        nursery: trio.Nursery,
    ) -> None:
        self._local_member = local_member
        self._tolerated_losses = tolerated_losses
        self._store = store
        self._service = service
        self._log = log
        self._nursery = nursery
        self._watcher = MembershipWatcher(store, service)
        self._copier = PartitionCopier(
            local_member.instance, service, state, self._get_peer
        )
        self._peers: dict[str, PeerConnection] = {}
        self._missed_probes: dict[InstanceId, int] = {}
        self._reported_draining = False
        self._started = trio.current_time()

    async def run(self) -> None:
        """Maintains the membership until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watcher.run)
            nursery.start_soon(run_supervised, Task.MEMBERSHIP, self._run_steps)
            nursery.start_soon(run_supervised, Task.PROBES, self._probe)
            if self._service.quotas is not None:
                nursery.start_soon(
                    run_supervised,
                    Task.QUOTA_ISSUE,
                    self._service.quotas.run,
                    self._watcher.check_view,
                )

    # Peers

    def _get_peer(self, address: str) -> PeerConnection:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = PeerConnection(address, Response)
            self._nursery.start_soon(peer.run)
        return peer

    async def call_member(self, address: str, request: Write) -> Any:
        """Sends a write to another member.

        Raises:
            PeerUnreachable: The member did not respond; it may have written the entry.
        """
        return await self._get_peer(address).call(
            request, timeout=WRITE_TIMEOUT_SECONDS
        )

    def _list_others(self) -> list[Member]:
        view = self._service.view
        slots = view.slots if view else ()
        return [each for each in slots if each.instance != self._local_member.instance]

    async def _probe(self) -> None:
        """Probes the other members and counts consecutive failures of each."""
        while True:
            others = self._list_others()
            async with trio.open_nursery() as nursery:
                for member in others:
                    nursery.start_soon(self._probe_member, member)
            self._service.unreachable = [
                member.instance for member in others if not self._responds(member)
            ]
            await trio.sleep(STEP_INTERVAL_SECONDS)

    async def _probe_member(self, member: Member) -> None:
        peer = self._get_peer(member.address)
        asked_at = get_elapsed_time()
        try:
            state = await peer.call(GetMemberState(), timeout=PROBE_TIMEOUT_SECONDS)
        except PeerUnreachable:
            self._missed_probes[member.instance] = (
                self._missed_probes.get(member.instance, 0) + 1
            )
            return
        if isinstance(state, MemberState):
            self._missed_probes[member.instance] = 0
            if self._service.quotas is not None:
                self._service.quotas.lease.confirm_by_peer(state, asked_at)

    # Decisions

    async def _run_steps(self) -> None:
        while True:
            await self._watcher.wait_for_change(STEP_INTERVAL_SECONDS)
            if not self._watcher.is_loaded:
                continue
            try:
                await self._take_step()
            except (ObjectStoreError, PeerUnreachable, OSError) as error:
                logger.warning("a membership step failed", extra={"reason": str(error)})
                await trio.sleep(STEP_INTERVAL_SECONDS)

    async def _take_step(self) -> None:
        if (
            self._watcher.candidates.get(self._local_member.instance)
            != self._local_member
        ):
            await self._register()
            return
        view = self._service.view
        if view is None:
            await self._bootstrap()
            return
        member_in_view = view.find(self._local_member.instance)
        if member_in_view is None:
            await self._join_as_standby(view)
        elif (
            member_in_view.disk != self._local_member.disk
            or member_in_view.address != self._local_member.address
        ):
            await self._update_view(
                view, view.replace(self._local_member.instance, self._local_member)
            )
        elif not self._service.holdings.is_recorded:
            await self._copy_pending(view)
        elif self._local_member.instance in self._watcher.draining:
            await self._leave(view)
        elif member_in_view == next(filter(self._responds, view.slots)):
            await self._report_unused_machines(view)

    async def _report_unused_machines(self, view: View) -> None:
        """Reports machines as drained that never ran a process of the ledger."""
        for instance in sorted(self._watcher.draining):
            if self._watcher.has_registered(instance) or view.find(instance):
                continue
            await self._report_completed(instance)
            logger.info("a machine has no entries", extra={"machine": instance})

    async def _register(self) -> None:
        name = CANDIDATE_PREFIX + self._local_member.instance
        known = {item.name: item for item in (await self._list_ledger())}
        if name in known:
            await self._store.replace(
                ObjectKind.LEDGER, name, self._local_member, known[name].version
            )
        else:
            await self._store.create(ObjectKind.LEDGER, name, self._local_member)
        self._watcher.candidates[self._local_member.instance] = self._local_member

    async def _list_ledger(self) -> list[StoreObject]:
        return (await self._store.list(ObjectKind.LEDGER)).objects

    async def _bootstrap(self) -> None:
        """Creates the first view once enough candidates have registered."""
        waited = trio.current_time() - self._started
        group = 2 * self._tolerated_losses + 1
        enough = (
            len(self._watcher.candidates) >= group and waited >= BOOTSTRAP_WAIT_SECONDS
        )
        if not enough and waited < MAX_BOOTSTRAP_WAIT_SECONDS:
            return
        members = list(self._watcher.candidates.values())
        view = build_first_view(members, tolerated_losses=self._tolerated_losses)
        try:
            await self._store.create(ObjectKind.LEDGER, VIEW_NAME, view)
        except ObjectVersionConflict:
            return
        logger.info("created the first view", extra={"members": len(members)})

    async def _join_as_standby(self, view: View) -> None:
        """Takes a free slot or the slot of a lost or draining member."""
        if self._local_member.instance in self._watcher.draining:
            await self._report_drained(view)
            return
        if self._local_member.instance in self._watcher.drained:
            # The operator removes this machine, so a slot that it took would be lost.
            return
        all_respond = all(
            self._missed_probes.get(member.instance) == 0 for member in view.slots
        )
        for member in view.slots:
            # A draining member keeps its slot while another one may be lost, whose slot
            # this process must then take.
            is_draining = member.instance in self._watcher.draining
            if (is_draining and all_respond) or await self._is_lost(view, member):
                logger.info("replacing a member", extra={"member": member.instance})
                await self._update_view(
                    view, view.replace(member.instance, self._local_member)
                )
                return
        missing = len(view.slots) < 2 * self._tolerated_losses + 1
        if missing and all_respond and await self._are_others_synced(view):
            # Adds a member only if all others respond. A member that fails its probes,
            # or was not probed yet, must first be replaced or respond.
            await self._update_view(view, view.add(self._local_member))

    async def _is_lost(self, view: View, member: Member) -> bool:
        """Returns whether this process and the other members cannot reach a member."""
        if self._responds(member):
            return False
        others = [each for each in view.slots if each.instance != member.instance]
        poll = LossPoll(
            member.instance,
            asked=len(others),
            tolerated_losses=view.tolerated_losses,
        )

        async def ask(other: Member) -> None:
            try:
                poll.record(
                    await self._get_peer(other.address).call(
                        GetMemberState(), timeout=PROBE_TIMEOUT_SECONDS
                    )
                )
            except PeerUnreachable as error:
                logger.debug("a member does not answer", extra={"reason": str(error)})

        async with trio.open_nursery() as nursery:
            for other in others:
                nursery.start_soon(ask, other)
        return poll.is_lost

    def _responds(self, member: Member) -> bool:
        """Returns whether a member is this one or has answered a recent probe."""
        return self._missed_probes.get(member.instance, 0) < PROBES_UNTIL_LOST

    async def _update_view(self, view: View, changed: View) -> None:
        """Writes the next view unless another process has changed the view."""
        stored = [each for each in await self._list_ledger() if each.name == VIEW_NAME]
        if not stored:
            raise ObjectStoreUnavailable("The view is missing from the object store.")
        current = decode_or(stored[0].value, View, None)
        if current is None:
            raise ObjectStoreUnavailable("The view in the store cannot be decoded.")
        if current.epoch != view.epoch:
            await self._service.adopt_durably(current)
            return
        await self._store.replace(
            ObjectKind.LEDGER, VIEW_NAME, changed, stored[0].version
        )
        await self._service.adopt_durably(changed)
        self._watcher.changed.set()

    async def _copy_pending(self, view: View) -> None:
        """Copies pending partitions, and records once the disk has all its entries."""
        await self._copier.copy_pending(view)
        if self._service.view is not view:
            return
        if not self._service.holdings.is_complete:
            await trio.sleep(STEP_INTERVAL_SECONDS)
            return
        await self._log.write_synced_view(view)
        self._service.holdings.synced = view

    async def _are_others_synced(self, view: View) -> bool:
        """Returns whether all other members have all entries of this view on disk.

        Slots are added and removed only then. Otherwise several members of a group
        could wait to copy the same partition from each other.

        Raises:
            PeerUnreachable: A member did not respond.
        """
        for member in self._list_others():
            state = await self._get_peer(member.address).call(
                GetMemberState(), timeout=PROBE_TIMEOUT_SECONDS
            )
            if not isinstance(state, MemberState) or not state.synced:
                return False
            if state.epoch != view.epoch:
                return False
        return True

    async def _leave(self, view: View) -> None:
        """Gives up the slot of this draining machine unless a standby can take it."""
        if not self._reported_draining:
            await self._store.write_status(
                ObjectKind.RETIREMENTS,
                self._local_member.instance,
                RetirementStatus("running"),
            )
            self._reported_draining = True
        if await self._has_live_standby(view):
            return
        if len(view.slots) - 1 < view.write_quorum:
            # Too few disks would have the entries to lose one of them.
            return
        if await self._are_others_synced(view):
            await self._update_view(view, view.remove(self._local_member.instance))

    async def _has_live_standby(self, view: View) -> bool:
        """Returns whether a reachable candidate without a slot can take one."""
        members = {member.instance for member in view.slots}
        for candidate in list(self._watcher.candidates.values()):
            leaving = self._watcher.draining | self._watcher.drained
            if candidate.instance in members | leaving:
                continue
            peer = self._get_peer(candidate.address)
            with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
                await peer.connected.wait()
            if peer.is_connected:
                return True
        return False

    async def _report_drained(self, view: View) -> None:
        """Copies all entries to the members and reports this machine as drained."""
        if not await self._are_others_synced(view):
            return
        for member in self._list_others():
            await self._copier.push_entries(view, member)
        await self._report_completed(self._local_member.instance)
        logger.info("drained this machine", extra={"epoch": view.epoch})

    async def _report_completed(self, instance: InstanceId) -> None:
        await self._store.write_status(
            ObjectKind.RETIREMENTS, instance, RetirementStatus("completed")
        )
        self._watcher.draining.discard(instance)
        self._watcher.drained.add(instance)
