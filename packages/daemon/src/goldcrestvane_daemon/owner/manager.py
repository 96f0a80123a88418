"""Shard ownership of this sidecar: takeover, handover, publication and loss.

A handover asks the next owner to take over the shard while this owner still runs calls.
When such a call ends, the journal's fence rejects its record. The entry then retries
the call at the next owner, which joins the same attempt by its call ID.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, final

import trio

from goldcrestvane_common.errors import Unavailable, WrongOwner
from goldcrestvane_common.ids import Epoch, InstanceId, ShardId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    Accepted,
    AdoptRequest,
    Instance,
    InstanceState,
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

RECONCILE_INTERVAL_SECONDS = 0.5
MIN_RECONCILE_INTERVAL_SECONDS = 0.1
STARTUP_DELAY_SECONDS = 1.0
TAKEOVER_RETRY_SECONDS = 1.0
FLUSH_TIMEOUT_SECONDS = 2.0
SUCCESSOR_STAGGER_SECONDS = 3.0
ADOPT_TIMEOUT_SECONDS = 3.0
REBALANCE_INTERVAL_SECONDS = 1.0
PING_TIMEOUT_SECONDS = 1.0
UNRESPONSIVE_SECONDS = 10.0
"""How long a peer that did not respond is not offered a shard.

The instance list can still name a failed peer for this long.
"""

MAP_GRACE_SECONDS = 3.0
"""How long the next owner of a shard has to publish itself in the shard map.

Afterwards it is considered lost, and the owner in the map may take the shard over.
"""

MAX_CONCURRENT_TAKEOVERS = 16
MEMBERSHIP_STABLE_SECONDS = 3.0

logger = get_logger("ownership")


@final
@dataclass(frozen=True, kw_only=True)
class SucceededEpoch:
    """Epoch of a shard that is known to have a successor.

    Attributes:
        epoch: The epoch. The shard map is out of date while it has no later one.
        seen_at: Time on trio's clock at which the successor became known.
    """

    epoch: Epoch
    seen_at: float


@final
class ShardManager:
    """Acquires, publishes and gives up the shards of this sidecar.

    Attributes:
        owned: Shards that this sidecar owns, by number.
        shard_count: Total number of shards.
    """

    def __init__(
        self,
        *,
        objects: ObjectClient,
        transport: Transport,
        membership: Membership,
        recovery: CallRecovery,
        get_map: Callable[[], ShardMap],
        shard_count: int,
        rng: random.Random,
    ) -> None:
        self._objects = objects
        self._membership = membership
        self._recovery = recovery
        self._get_map = get_map
        self._map_writer = ShardMapWriter(objects, shard_count=shard_count)
        self._rng = rng
        self._transport = transport
        self._witness = WitnessClient(transport, membership)
        self._fence_sender = FenceSender(
            transport, list_peers=lambda: membership.list_live(Role.SIDECAR)
        )
        self._taking_over: set[ShardId] = set()
        self._takeover_limiter = trio.CapacityLimiter(MAX_CONCURRENT_TAKEOVERS)
        self._handing_over: set[ShardId] = set()
        self._succeeded: dict[ShardId, SucceededEpoch] = {}
        self._unresponsive_until: dict[InstanceId, float] = {}
        self._members: frozenset[InstanceId] = frozenset()
        self._members_since = 0.0
        self._nursery: trio.Nursery | None = None
        self._wakeup = trio.Event()
        self._index = ShardIndex(ShardMap([]), shard_count=shard_count)
        self._live: list[Instance] = []
        self._candidates: list[Instance] = []
        self._dead_since: dict[InstanceId, float] = {}
        self._ring = SuccessorRing([])
        self._watched_owners: dict[InstanceId, float] = {}
        self._seen_change_count = -1
        self.shard_count = shard_count
        self.owned: dict[ShardId, OwnedShard] = {}

    @property
    def _local_instance(self) -> Instance:
        return self._membership.local_instance

    def add_routes(self, router: Router) -> None:
        """Adds the route on which other owners hand over their shards."""
        router.add("POST", ADOPT_PATH, self._serve_adopt)

    def wake(self) -> None:
        """Triggers a reconciliation after the map or the membership has changed."""
        self._wakeup.set()

    async def run(self) -> None:
        """Reconciles ownership until cancelled."""
        await self._membership.ready.wait()
        await trio.sleep(STARTUP_DELAY_SECONDS)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._fence_sender.run)
            nursery.start_soon(self._rebalance)
            while True:
                await self._reconcile()
                earliest = trio.current_time() + MIN_RECONCILE_INTERVAL_SECONDS
                with trio.move_on_after(RECONCILE_INTERVAL_SECONDS):
                    await self._wakeup.wait()
                await trio.sleep_until(earliest)
                self._wakeup = trio.Event()

    async def _reconcile(self) -> None:
        shard_map = self._get_map()
        self._update_members(shard_map)
        self._remove_lost_shards(shard_map)
        self._membership.watch_peers(self._watched_owners)
        for shard in self._list_shards_to_take_over():
            entry = self._get_entry(shard_map, shard)
            logger.info("shard %s is taken over, since the map says %s", shard, entry)
            self._taking_over.add(shard)
            self._nursery.start_soon(self._take_over, shard)
        await self._publish_owned(shard_map)

    def _update_members(self, shard_map: ShardMap) -> None:
        """Rebuilds the data derived from the map and the members if either changed."""
        seen = self._membership.change_count
        if shard_map is self._index.shard_map and seen == self._seen_change_count:
            return
        self._seen_change_count = seen
        if shard_map is not self._index.shard_map:
            self._index = ShardIndex(shard_map, shard_count=self.shard_count)
        self._live = self._membership.list_live(Role.SIDECAR)
        candidates = self._membership.list_owner_candidates()
        if candidates != self._candidates:
            self._candidates = candidates
            self._ring = SuccessorRing(candidates)
        self._watched_owners = self._list_watched_owners()

    def _get_entry(self, shard_map: ShardMap, shard: ShardId) -> ShardOwner | None:
        return shard_map.shards[shard] if shard < len(shard_map.shards) else None

    def _remove_lost_shards(self, shard_map: ShardMap) -> None:
        for shard, owned in list(self.owned.items()):
            entry = self._get_entry(shard_map, shard)
            if entry is not None and entry.epoch > owned.journal.epoch:
                owned.journal.relinquish()
            if owned.journal.ownership_lost.is_set():
                logger.info("shard %s was taken over by another instance", shard)
                self._remove(shard, owned)

    def _remove(self, shard: ShardId, owned: OwnedShard) -> None:
        """Removes a shard that has another owner."""
        self.owned.pop(shard, None)
        self._note_successor(shard, owned.journal.epoch)

    def _note_successor(self, shard: ShardId, epoch: Epoch) -> None:
        self._succeeded[shard] = SucceededEpoch(
            epoch=epoch, seen_at=trio.current_time()
        )

    def _is_map_outdated(self, shard: ShardId) -> bool:
        """Returns whether a later owner than the one in the map may publish itself."""
        entry = self._get_entry(self._index.shard_map, shard)
        succeeded = self._succeeded.get(shard)
        if succeeded is None or (entry is not None and entry.epoch > succeeded.epoch):
            return False
        return trio.current_time() - succeeded.seen_at < MAP_GRACE_SECONDS

    def _list_watched_owners(self) -> dict[InstanceId, float]:
        """Returns the probe interval for each owner that this sidecar may succeed."""
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

    def _list_shards_to_take_over(self) -> list[ShardId]:
        candidates = [
            shard
            for owner in (self._local_instance.instance, *self._watched_owners)
            if self._should_take_over_from(owner)
            for shard in self._index.by_owner.get(owner, ())
        ]
        if self._live:
            candidates += [
                shard
                for shard in self._index.unowned
                if find_preferred_owner(shard, self._live) == self._local_instance
            ]
        return [
            shard
            for shard in candidates
            if shard not in self.owned
            and shard not in self._taking_over
            and not self._is_map_outdated(shard)
        ]

    def _should_take_over_from(self, owner: InstanceId) -> bool:
        """Returns whether this sidecar should take over an owner's shards now."""
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
            async with self._takeover_limiter:
                await owned.open()
            self._nursery.start_soon(journal.run)
            await self._fence_sender.fence(shard, journal.epoch)
            await self._recovery.resolve_unfinished_calls(owned)
        except OwnershipLost:
            logger.info("shard %s was acquired by another instance", shard)
        except ObjectStoreUnavailable as error:
            logger.warning("shard %s cannot be taken over: %s", shard, error)
            await trio.sleep(TAKEOVER_RETRY_SECONDS * self._rng.uniform(0.5, 1.5))
        else:
            self.owned[shard] = owned
            logger.info("shard %s was taken over with epoch %s", shard, journal.epoch)
            self.wake()
        finally:
            self._taking_over.discard(shard)

    async def _send_command(self, peer: Instance, path: str, command: Any) -> bool:
        """Sends a command to a peer and returns whether the peer executed it."""
        try:
            response = await self._transport.send(
                "POST", peer.address, path, value=command, timeout=ADOPT_TIMEOUT_SECONDS
            )
        except (ConnectFailed, ExchangeBroken):
            return False
        return response.status == 200

    async def _serve_adopt(self, request: Request) -> Response:
        shard = request.decode(AdoptRequest).shard
        if self._nursery is None:
            raise Unavailable(
                f"This sidecar is starting and cannot take over shard {shard} yet. Ask "
                "another sidecar.",
                retry_after=STARTUP_DELAY_SECONDS,
            )
        if self._local_instance.state is not InstanceState.LIVE:
            raise Unavailable(
                f"This sidecar is leaving and does not take over shard {shard}. Ask "
                "another sidecar.",
                retry_after=1.0,
            )
        if shard not in self.owned and shard not in self._taking_over:
            self._taking_over.add(shard)
            await self._take_over(shard)
        if shard not in self.owned:
            raise Unavailable(
                f"Shard {shard} cannot be taken over now. Ask another sidecar.",
                retry_after=1.0,
            )
        return JsonResponse(value=Accepted())

    async def hand_over_all(self) -> None:
        """Hands over every shard to another sidecar before this one shuts down.

        Shards whose takeover is under way follow when it has ended.
        """
        offered: set[ShardId] = set()
        while self._taking_over or not offered.issuperset(self.owned):
            pending = self.owned.keys() - offered
            offered |= pending
            live = self._membership.list_live(Role.SIDECAR)
            async with trio.open_nursery() as nursery:
                for shard in pending:
                    nursery.start_soon(self._hand_over, shard, rank_owners(shard, live))
            if self._taking_over:
                await trio.sleep(MIN_RECONCILE_INTERVAL_SECONDS)

    async def _hand_over(self, shard: ShardId, successors: list[Instance]) -> None:
        owned = self.owned.get(shard)
        if owned is None or shard in self._handing_over:
            return
        self._handing_over.add(shard)
        try:
            owned.stop_admitting()
            # The next owner can join only those calls whose start is in the journal.
            await owned.wait_durable(
                owned.append(), timeout_seconds=FLUSH_TIMEOUT_SECONDS
            )
            await self._offer_to_successors(shard, owned, successors)
        except WrongOwner:
            logger.info("shard %s was taken over before it was handed over", shard)
        finally:
            self._handing_over.discard(shard)

    async def _offer_to_successors(
        self, shard: ShardId, owned: OwnedShard, successors: list[Instance]
    ) -> None:
        for successor in successors:
            if successor == self._local_instance:
                continue
            if await self._send_command(successor, ADOPT_PATH, AdoptRequest(shard)):
                logger.info("shard %s was handed over to %s", shard, successor.instance)
                self._remove(shard, owned)
                owned.journal.relinquish()
                return
        owned.admitting = True
        logger.warning("no sidecar accepted shard %s; it stays here", shard)

    async def _rebalance(self) -> None:
        """Moves shards, one at a time, to their preferred owners."""
        while True:
            await trio.sleep(REBALANCE_INTERVAL_SECONDS * self._rng.uniform(0.5, 1.5))
            live = self._membership.list_live(Role.SIDECAR)
            members = frozenset(item.instance for item in live)
            if members != self._members:
                self._members = members
                self._members_since = trio.current_time()
            if trio.current_time() - self._members_since < MEMBERSHIP_STABLE_SECONDS:
                continue
            await self._move_misplaced_shard(live)

    async def _move_misplaced_shard(self, live: list[Instance]) -> None:
        """Hands one misplaced shard over to its preferred owner, if it responds.

        A lower-ranked sidecar would have to hand the shard over again later, and every
        handover delays the shard's calls.
        """
        now = trio.current_time()
        responsive = [
            item
            for item in live
            if self._unresponsive_until.get(item.instance, 0.0) <= now
        ]
        for shard, owned in self.owned.items():
            if not responsive or owned.journal.store_unavailable:
                continue
            preferred = find_preferred_owner(shard, responsive)
            if preferred == self._local_instance:
                continue
            if await self._is_responsive(preferred):
                await self._hand_over(shard, [preferred])
            else:
                self._unresponsive_until[preferred.instance] = (
                    now + UNRESPONSIVE_SECONDS
                )
            return

    async def _is_responsive(self, peer: Instance) -> bool:
        """Returns whether a listed peer responds to a ping."""
        try:
            response = await self._transport.send(
                "GET", peer.address, PING_PATH, timeout=PING_TIMEOUT_SECONDS
            )
        except (ConnectFailed, ExchangeBroken):
            return False
        return response.status == 200

    async def _publish_owned(self, shard_map: ShardMap) -> None:
        outdated = {}
        for shard, owned in self.owned.items():
            entry = self._get_entry(shard_map, shard)
            local_entry = self._build_entry(owned)
            if entry != local_entry:
                outdated[shard] = local_entry
        if not outdated:
            return
        try:
            await self._map_writer.publish(outdated)
        except ObjectStoreUnavailable as error:
            logger.warning("the shard map cannot be written: %s", error)

    def _build_entry(self, owned: OwnedShard) -> ShardOwner:
        return ShardOwner(
            self._local_instance.instance,
            self._local_instance.address,
            owned.journal.epoch,
        )
