"""Decides which shards this sidecar owns: take-over, hand-over, publication, loss.

A hand-over asks the next owner to take the shard over while this owner still runs
calls. Their ends are then refused by the journal's fence, the entry repeats them to
the next owner, and that one joins the same attempts by their call ids.
"""

import random
from collections.abc import Callable
from typing import Any, final

import trio

from goldcrestvane_common.errors import Unavailable, WrongOwner
from goldcrestvane_common.ids import InstanceId, ShardId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    Accepted,
    AdoptRequest,
    Instance,
    Role,
    ShardMap,
    ShardOwner,
)
from goldcrestvane_common.objects import ObjectClient, ObjectStoreUnavailable
from goldcrestvane_common.paths import (
    ADOPT_PATH,
    PING_PATH,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Transport
from goldcrestvane_daemon.membership import Membership
from goldcrestvane_daemon.owner.fencing import FenceSender
from goldcrestvane_daemon.owner.journal import Journal, OwnershipLost
from goldcrestvane_daemon.owner.ranking import (
    SUCCESSOR_PROBE_SECONDS,
    SuccessorRing,
    find_preferred_owner,
    rank_owners,
)
from goldcrestvane_daemon.owner.recovery import CallRecovery
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)
from goldcrestvane_daemon.owner.shard_index import ShardIndex
from goldcrestvane_daemon.owner.shard_map import ShardMapWriter
from goldcrestvane_daemon.owner.witness import WitnessClient

RECONCILE_SECONDS = 0.5
MIN_PAUSE_SECONDS = 0.1
START_GRACE_SECONDS = 1.0
OPEN_RETRY_SECONDS = 1.0
FLUSH_WAIT_SECONDS = 2.0
SUCCESSOR_STAGGER_SECONDS = 3.0
ADOPT_TIMEOUT_SECONDS = 3.0
REBALANCE_SECONDS = 1.0
PING_TIMEOUT_SECONDS = 1.0
SILENT_SECONDS = 10.0
"""Time for which a peer that did not answer gets no shard; the list lags as long."""

MAX_OPENINGS = 16
SETTLED_SECONDS = 3.0

logger = get_logger("ownership")


@final
class ShardManager:
    """Owns the shards that fall to this sidecar.

    Attributes:
        owned: Open shards by number.
        shard_count: Number of shards in all.
    """

    def __init__(
        self,
        *,
        objects: ObjectClient,
        transport: Transport,
        membership: Membership,
        recovery: CallRecovery,
        read_map: Callable[[], ShardMap],
        shard_count: int,
        rng: random.Random,
    ) -> None:
        self._objects = objects
        self._membership = membership
        self._recovery = recovery
        self._read_map = read_map
        self._writer = ShardMapWriter(objects, shard_count=shard_count)
        self._rng = rng
        self._transport = transport
        self._witness = WitnessClient(transport, membership)
        self._fences = FenceSender(
            transport, list_peers=lambda: membership.list_live(Role.SIDECAR)
        )
        self._opening: set[ShardId] = set()
        self._open_limiter = trio.CapacityLimiter(MAX_OPENINGS)
        self._handing_over: set[ShardId] = set()
        self._silent_until: dict[InstanceId, float] = {}
        self._members: frozenset[InstanceId] = frozenset()
        self._members_since = 0.0
        self._nursery: trio.Nursery | None = None
        self._wakeup = trio.Event()
        self._index = ShardIndex(ShardMap([]), shard_count=shard_count)
        self._live: list[Instance] = []
        self._candidates: list[Instance] = []
        self._dead_since: dict[InstanceId, float] = {}
        self._ring = SuccessorRing([])
        self._watched: dict[InstanceId, float] = {}
        self._seen_change = -1
        self.shard_count = shard_count
        self.owned: dict[ShardId, OwnedShard] = {}

    @property
    def _local_instance(self) -> Instance:
        return self._membership.local_instance

    def add_routes(self, router: Router) -> None:
        """Serves owners that give shards up."""
        router.add("POST", ADOPT_PATH, self._serve_adopt)

    def wake(self) -> None:
        """Runs the next reconciliation at once, after news of map or members."""
        self._wakeup.set()

    async def run(self) -> None:
        """Reconciles ownership until cancelled."""
        await self._membership.ready.wait()
        await trio.sleep(START_GRACE_SECONDS)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._fences.run)
            nursery.start_soon(self._rebalance)
            while True:
                await self._reconcile()
                earliest = trio.current_time() + MIN_PAUSE_SECONDS
                with trio.move_on_after(RECONCILE_SECONDS):
                    await self._wakeup.wait()
                await trio.sleep_until(earliest)
                self._wakeup = trio.Event()

    async def _reconcile(self) -> None:
        shard_map = self._read_map()
        self._note_members(shard_map)
        self._drop_lost(shard_map)
        self._membership.watch_peers(self._watched)
        for shard in self._list_falling_here():
            self._opening.add(shard)
            self._nursery.start_soon(self._take_over, shard)
        await self._publish_owned(shard_map)

    def _note_members(self, shard_map: ShardMap) -> None:
        """Arranges map and members anew when one of them has changed."""
        seen = self._membership.change_count
        if shard_map is self._index.shard_map and seen == self._seen_change:
            return
        self._seen_change = seen
        if shard_map is not self._index.shard_map:
            self._index = ShardIndex(shard_map, shard_count=self.shard_count)
        self._live = self._membership.list_live(Role.SIDECAR)
        candidates = self._membership.list_owner_candidates()
        if candidates != self._candidates:
            self._candidates = candidates
            self._ring = SuccessorRing(candidates)
        self._watched = self._list_watched_owners()

    def _get_entry(self, shard_map: ShardMap, shard: ShardId) -> ShardOwner | None:
        return shard_map.shards[shard] if shard < len(shard_map.shards) else None

    def _drop_lost(self, shard_map: ShardMap) -> None:
        for shard, owned in list(self.owned.items()):
            entry = self._get_entry(shard_map, shard)
            if entry is not None and entry.epoch > owned.journal.epoch:
                owned.journal.relinquish()
            if owned.journal.ownership_lost.is_set():
                logger.info("shard %s was lost to another owner", shard)
                del self.owned[shard]

    def _list_watched_owners(self) -> dict[InstanceId, float]:
        """Returns the owners this sidecar is an heir of, with the probes' periods."""
        watched: dict[InstanceId, float] = {}
        for owner in self._index.by_owner:
            successors = self._ring.find_successors(owner)
            if (
                self._local_instance in successors
                and owner != self._local_instance.instance
            ):
                watched[owner] = SUCCESSOR_PROBE_SECONDS[
                    successors.index(self._local_instance)
                ]
        return watched

    def _list_falling_here(self) -> list[ShardId]:
        falling = [
            shard
            for owner in (self._local_instance.instance, *self._watched)
            if self._is_successor_of(owner)
            for shard in self._index.by_owner.get(owner, ())
        ]
        if self._live:
            falling += [
                shard
                for shard in self._index.unowned
                if find_preferred_owner(shard, self._live) == self._local_instance
            ]
        return [
            shard
            for shard in falling
            if shard not in self.owned and shard not in self._opening
        ]

    def _is_successor_of(self, owner: InstanceId) -> bool:
        """Returns whether an owner's shards are to be opened here now."""
        if owner == self._local_instance.instance:
            return self._local_instance in self._live
        if not self._membership.is_dead(owner):
            self._dead_since.pop(owner, None)
            return False
        successors = self._ring.find_successors(owner)
        if self._local_instance not in successors:
            return False
        now = trio.current_time()
        waited = now - self._dead_since.setdefault(owner, now)
        return (
            waited >= successors.index(self._local_instance) * SUCCESSOR_STAGGER_SECONDS
        )

    async def _take_over(self, shard: ShardId) -> None:
        journal = Journal(self._objects, shard, self._local_instance.instance)
        owned = OwnedShard(
            shard, self._local_instance.instance, journal, witness=self._witness
        )
        try:
            async with self._open_limiter:
                await owned.open()
            self._nursery.start_soon(journal.run)
            await self._fences.fence(shard, journal.epoch)
            await self._recovery.resolve_unfinished_calls(owned)
        except OwnershipLost:
            logger.info("shard %s went to another instance", shard)
        except ObjectStoreUnavailable as error:
            logger.warning("shard %s cannot be opened: %s", shard, error)
            await trio.sleep(OPEN_RETRY_SECONDS * self._rng.uniform(0.5, 1.5))
        else:
            self.owned[shard] = owned
            logger.info("shard %s is owned with epoch %s", shard, journal.epoch)
            self.wake()
        finally:
            self._opening.discard(shard)

    async def _send_order(self, peer: Instance, path: str, order: Any) -> bool:
        """Sends an order to a peer; returns whether it was carried out."""
        try:
            reply = await self._transport.send(
                "POST", peer.address, path, value=order, timeout=ADOPT_TIMEOUT_SECONDS
            )
        except (ConnectFailed, ExchangeBroken):
            return False
        return reply.status == 200

    async def _serve_adopt(self, request: Request) -> Response:
        shard = request.decode(AdoptRequest).shard
        if shard not in self.owned and shard not in self._opening:
            self._opening.add(shard)
            await self._take_over(shard)
        if shard not in self.owned:
            raise Unavailable(
                f"Shard {shard} cannot be taken over now; ask another sidecar.",
                retry_after=1.0,
            )
        return JsonResponse(value=Accepted())

    async def hand_over_all(self) -> None:
        """Gives every shard to another sidecar, before this one leaves."""
        live = self._membership.list_live(Role.SIDECAR)
        async with trio.open_nursery() as nursery:
            for shard in list(self.owned):
                nursery.start_soon(self._hand_over, shard, rank_owners(shard, live))

    async def _hand_over(self, shard: ShardId, successors: list[Instance]) -> None:
        owned = self.owned.get(shard)
        if owned is None or shard in self._handing_over:
            return
        self._handing_over.add(shard)
        try:
            owned.stop_admitting()
            # The next owner joins running calls by the starts that it finds.
            await owned.wait_durable(owned.append(), wait=FLUSH_WAIT_SECONDS)
            await self._find_adopter(shard, owned, successors)
        except WrongOwner:
            logger.info("shard %s was taken over before its hand-over", shard)
        finally:
            self._handing_over.discard(shard)

    async def _find_adopter(
        self, shard: ShardId, owned: OwnedShard, successors: list[Instance]
    ) -> None:
        for successor in successors:
            if successor == self._local_instance:
                continue
            if await self._send_order(successor, ADOPT_PATH, AdoptRequest(shard)):
                logger.info("shard %s was handed over to %s", shard, successor.instance)
                self.owned.pop(shard, None)
                owned.journal.relinquish()
                return
        owned.admitting = True
        logger.warning("shard %s found no adopter and stays here", shard)

    async def _rebalance(self) -> None:
        """Moves shards, one at a time, to the sidecars that rank first for them."""
        while True:
            await trio.sleep(REBALANCE_SECONDS * self._rng.uniform(0.5, 1.5))
            live = self._membership.list_live(Role.SIDECAR)
            members = frozenset(item.instance for item in live)
            if members != self._members:
                self._members = members
                self._members_since = trio.current_time()
            if trio.current_time() - self._members_since < SETTLED_SECONDS:
                continue
            await self._move_misplaced(live)

    async def _move_misplaced(self, live: list[Instance]) -> None:
        """Hands one shard to its first owner, if that one answers.

        Only the first owner will do: a shard that goes to a lower rank comes back, and
        its calls wait meanwhile.
        """
        now = trio.current_time()
        answering = [
            item for item in live if self._silent_until.get(item.instance, 0.0) <= now
        ]
        for shard, owned in self.owned.items():
            if not answering or owned.journal.store_unavailable:
                continue
            first = find_preferred_owner(shard, answering)
            if first == self._local_instance:
                continue
            if await self._answers(first):
                await self._hand_over(shard, [first])
            else:
                self._silent_until[first.instance] = now + SILENT_SECONDS
            return

    async def _answers(self, peer: Instance) -> bool:
        """Tells whether a peer that the list still names answers now."""
        try:
            reply = await self._transport.send(
                "GET", peer.address, PING_PATH, timeout=PING_TIMEOUT_SECONDS
            )
        except (ConnectFailed, ExchangeBroken):
            return False
        return reply.status == 200

    async def _publish_owned(self, shard_map: ShardMap) -> None:
        missing = {}
        for shard, owned in self.owned.items():
            entry = self._get_entry(shard_map, shard)
            own_entry = self._build_entry(owned)
            if entry != own_entry:
                missing[shard] = own_entry
        if not missing:
            return
        try:
            await self._writer.publish(missing)
        except ObjectStoreUnavailable as error:
            logger.warning("the shard map cannot be written: %s", error)

    def _build_entry(self, owned: OwnedShard) -> ShardOwner:
        return ShardOwner(
            self._local_instance.instance,
            self._local_instance.address,
            owned.journal.epoch,
        )
