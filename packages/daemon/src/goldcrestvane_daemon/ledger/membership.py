"""How a process with a disk becomes a member, replaces a lost one, and leaves.

Each change of the members is one conditional update of one object of the platform.
A joining member lets its peers adopt the new view first, so that no writer with an
older view counts their votes any more, and copies their entries after that.
"""

from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import (
    ObjectStoreError,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
)
from goldcrestvane_daemon.ledger.frames import PeerConnection, PeerUnreachable
from goldcrestvane_daemon.ledger.log import EntryLog
from goldcrestvane_daemon.ledger.messages import (
    EntriesMerged,
    EntryPage,
    GetMemberState,
    MemberState,
    PullEntries,
    PushEntries,
    Response,
    Write,
)
from goldcrestvane_daemon.ledger.roster import (
    CANDIDATE_PREFIX,
    VIEW_NAME,
    MembershipWatcher,
)
from goldcrestvane_daemon.ledger.service import LedgerService
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.view import Member, View, build_first_view
from goldcrestvane_daemon.platform.store import ObjectKind, StoreClient, StoreObject

BOOTSTRAP_WAIT_SECONDS = 1.5
"""Wait for the other founders; machines start within 0.3 s, a process takes a second."""

MAX_BOOTSTRAP_WAIT_SECONDS = 5.0
"""After this wait the members that are there found the ledger without the others."""

STEP_INTERVAL_SECONDS = 0.4
PROBE_SECONDS = 0.5
PROBES_UNTIL_LOST = 5
"""Probes in a row without an answer after which a spare replaces a member: 2 s."""

WRITE_SECONDS = 0.5
"""Time for which another member is asked to write an entry; 20 ms are usual."""

PULL_SECONDS = 3.0
MERGE_ENTRIES = 200

logger = get_logger("membership")


class RetirementStatus(msgspec.Struct, frozen=True):
    """What the operator reads of a machine that is being emptied."""

    state: str


def has_all_entries(listed: Member | None, log: EntryLog) -> bool:
    """Tells whether a disk has every entry that its member must have.

    Founders begin with no entries. Any other member has copied them once.
    """
    if listed is None or listed.disk != log.disk:
        return False
    return listed.since == 1 or log.read_synced_epoch() >= listed.since


@final
class LedgerMembership:
    """The part of one process in the ledger's membership."""

    def __init__(
        self,
        *,
        own: Member,
        tolerated_losses: int,
        store: StoreClient,
        service: LedgerService,
        state: LedgerState,
        log: EntryLog,
        nursery: trio.Nursery,
    ) -> None:
        self._own = own
        self._tolerated_losses = tolerated_losses
        self._store = store
        self._service = service
        self._state = state
        self._log = log
        self._nursery = nursery
        self._watcher = MembershipWatcher(store, service)
        self._peers: dict[str, PeerConnection] = {}
        self._misses: dict[InstanceId, int] = {}
        self._reported_running = False
        self._started = trio.current_time()

    async def run(self) -> None:
        """Takes part until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watcher.run)
            nursery.start_soon(self._act)
            nursery.start_soon(self._probe)

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
            PeerUnreachable: It did not answer; it may have written the entry.
        """
        return await self._get_peer(address).call(request, timeout=WRITE_SECONDS)

    def _list_others(self) -> list[Member]:
        view = self._service.view
        slots = view.slots if view else ()
        return [each for each in slots if each.instance != self._own.instance]

    async def _probe(self) -> None:
        """Counts the probes in a row that each other member has missed."""
        while True:
            others = self._list_others()
            async with trio.open_nursery() as nursery:
                for member in others:
                    nursery.start_soon(self._probe_member, member)
            self._service.unreachable = [
                member.instance
                for member in others
                if self._misses.get(member.instance, 0) >= PROBES_UNTIL_LOST
            ]
            await trio.sleep(STEP_INTERVAL_SECONDS)

    async def _probe_member(self, member: Member) -> None:
        peer = self._get_peer(member.address)
        try:
            state = await peer.call(GetMemberState(), timeout=PROBE_SECONDS)
        except PeerUnreachable:
            self._misses[member.instance] = self._misses.get(member.instance, 0) + 1
            return
        if isinstance(state, MemberState):
            self._misses[member.instance] = 0

    # Decisions

    async def _act(self) -> None:
        while True:
            await self._watcher.wait_for_change(STEP_INTERVAL_SECONDS)
            if not self._watcher.is_loaded:
                continue
            try:
                await self._take_step()
            except (ObjectStoreError, PeerUnreachable, OSError) as error:
                logger.warning(
                    "a step of membership failed", extra={"reason": str(error)}
                )
                await trio.sleep(STEP_INTERVAL_SECONDS)

    async def _take_step(self) -> None:
        if self._watcher.candidates.get(self._own.instance) != self._own:
            await self._register()
            return
        view = self._service.view
        if view is None:
            await self._bootstrap()
            return
        listed = view.find(self._own.instance)
        if listed is None:
            await self._join_as_standby(view)
        elif listed.disk != self._own.disk or listed.address != self._own.address:
            await self._update_view(view, view.replace(self._own.instance, self._own))
        elif not self._service.votes:
            await self._complete(view, listed)
        elif self._own.instance in self._watcher.draining:
            await self._leave(view)

    async def _register(self) -> None:
        name = CANDIDATE_PREFIX + self._own.instance
        known = {item.name: item for item in (await self._list_ledger())}
        if name in known:
            await self._store.replace(
                ObjectKind.LEDGER, name, self._own, known[name].version
            )
        else:
            await self._store.create(ObjectKind.LEDGER, name, self._own)
        self._watcher.candidates[self._own.instance] = self._own

    async def _list_ledger(self) -> list[StoreObject]:
        return (await self._store.list(ObjectKind.LEDGER)).objects

    async def _bootstrap(self) -> None:
        """Creates the first view once enough members are there."""
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
        logger.info("founded the ledger", extra={"members": len(members)})

    async def _join_as_standby(self, view: View) -> None:
        """Takes a free slot, or that of a member that is lost or to be emptied."""
        if self._own.instance in self._watcher.draining:
            await self._report_drained(view)
            return
        if self._own.instance in self._watcher.drained:
            # The operator takes this machine away; a slot would be lost with it.
            return
        for member in view.slots:
            if member.instance in self._watcher.draining or await self._is_lost(
                view, member
            ):
                logger.info("replacing a member", extra={"member": member.instance})
                await self._update_view(view, view.replace(member.instance, self._own))
                return
        missing = len(view.slots) < 2 * self._tolerated_losses + 1
        all_answer = all(
            self._misses.get(member.instance) == 0 for member in view.slots
        )
        if missing and all_answer:
            # A member that does not answer, or was not asked yet, is replaced, or back,
            # before one is added.
            await self._update_view(view, view.add(self._own))

    async def _is_lost(self, view: View, member: Member) -> bool:
        """Tells whether a majority of the others cannot reach a member either."""
        if self._misses.get(member.instance, 0) < PROBES_UNTIL_LOST:
            return False
        agreeing = 0
        others = [each for each in view.slots if each.instance != member.instance]
        for other in others:
            state = await self._get_peer(other.address).call(
                GetMemberState(), timeout=PROBE_SECONDS
            )
            if isinstance(state, MemberState) and member.instance in state.unreachable:
                agreeing += 1
        return agreeing * 2 > len(others)

    async def _update_view(self, view: View, changed: View) -> None:
        """Writes the next view, unless another process was first."""
        stored = [each for each in await self._list_ledger() if each.name == VIEW_NAME]
        if not stored:
            raise ObjectStoreUnavailable("The view is missing from the object store.")
        current = msgspec.json.decode(stored[0].value, type=View)
        if current.epoch != view.epoch:
            await self._service.adopt_durably(current)
            return
        await self._store.replace(
            ObjectKind.LEDGER, VIEW_NAME, changed, stored[0].version
        )
        await self._service.adopt_durably(changed)
        self._watcher.changed.set()

    async def _complete(self, view: View, listed: Member) -> None:
        """Copies what this member must have, and votes from then on."""
        if has_all_entries(listed, self._log):
            self._service.votes = True
            logger.info("votes again", extra={"epoch": view.epoch})
            return
        answered = set()
        for member in self._list_others():
            try:
                await self._pull(view, member)
                answered.add(member.instance)
            except PeerUnreachable as error:
                logger.warning(
                    "cannot copy from a member",
                    extra={"member": member.instance, "reason": str(error)},
                )
        if not view.can_join(self._own.instance, answered):
            return
        if self._service.view is not view:
            return
        await self._log.write_synced_epoch(listed.since)
        self._service.votes = True
        logger.info(
            "copied all entries and votes",
            extra={"epoch": view.epoch, "copied_from": sorted(answered)},
        )

    async def _pull(self, view: View, member: Member) -> None:
        position: int | None = 0
        peer = self._get_peer(member.address)
        with trio.move_on_after(PROBE_SECONDS):
            await peer.connected.wait()
        while position is not None:
            page = await peer.call(PullEntries(view, position), timeout=PULL_SECONDS)
            if not isinstance(page, EntryPage) or page.epoch < view.epoch:
                raise PeerUnreachable(f"{member.instance} answered {page!r:.80}.")
            if page.entries and not await self._service.store(page.entries):
                raise PeerUnreachable("The own disk refused the entries.")
            position = page.next_position

    async def _leave(self, view: View) -> None:
        """Empties this machine while no spare has taken its slot."""
        if not self._reported_running:
            await self._store.write_status(
                ObjectKind.RETIREMENTS, self._own.instance, RetirementStatus("running")
            )
            self._reported_running = True
        if await self._has_live_standby(view):
            return
        # Entries that only this member and one other have must not go uncounted
        # between its leaving and its last hand-over.
        if await self._hand_over(view):
            await self._update_view(view, view.remove(self._own.instance))

    async def _has_live_standby(self, view: View) -> bool:
        """Tells whether a process that is no member could take a slot."""
        members = {member.instance for member in view.slots}
        for candidate in list(self._watcher.candidates.values()):
            leaving = self._watcher.draining | self._watcher.drained
            if candidate.instance in members | leaving:
                continue
            peer = self._get_peer(candidate.address)
            with trio.move_on_after(PROBE_SECONDS):
                await peer.connected.wait()
            if peer.is_connected:
                return True
        return False

    async def _report_drained(self, view: View) -> None:
        """Hands over all entries, then tells the operator that none is left here."""
        if not await self._hand_over(view):
            return
        await self._store.write_status(
            ObjectKind.RETIREMENTS, self._own.instance, RetirementStatus("completed")
        )
        self._watcher.draining.discard(self._own.instance)
        self._watcher.drained.add(self._own.instance)
        logger.info("emptied this machine", extra={"epoch": view.epoch})

    async def _hand_over(self, view: View) -> bool:
        """Gives all entries to every other member; returns whether all have them.

        Raises:
            PeerUnreachable: A member did not answer.
        """
        members = self._list_others()
        for member in members:
            state = await self._get_peer(member.address).call(
                GetMemberState(), timeout=PROBE_SECONDS
            )
            if not isinstance(state, MemberState) or not state.votes:
                return False
        entries = list(self._state.iterate_entries())
        for member in members:
            for start in range(0, max(1, len(entries)), MERGE_ENTRIES):
                part = entries[start : start + MERGE_ENTRIES]
                answer = await self._get_peer(member.address).call(
                    PushEntries(view, part), timeout=PULL_SECONDS
                )
                if not isinstance(answer, EntriesMerged):
                    raise PeerUnreachable(
                        f"{member.instance} did not take the entries."
                    )
        return True
