"""Witnesses: peers that hold records while the platform is unavailable.

While it cannot commit, an owner copies its queued records to sidecars in other failure
domains before it acknowledges a call. The next owner collects these copies and commits
the records that the journal lacks. A witness holds its copies only in memory, so the
records are lost if the owner and all its witnesses die before the platform recovers.
"""

import time
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import WrongOwner
from goldcrestvane_common.ids import Epoch, InstanceId, ShardId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    Accepted,
    Instance,
    Role,
)
from goldcrestvane_common.paths import (
    WITNESS_COLLECT_PATH,
    WITNESS_PATH,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Transport
from goldcrestvane_daemon.membership import Membership
from goldcrestvane_daemon.owner.journal import Journal
from goldcrestvane_daemon.owner.ranking import rank_owners
from goldcrestvane_daemon.owner.records import Record

WITNESS_COUNT = 2
COLLECT_PEER_COUNT = 8
"""Number of peers that a takeover queries.

Owners choose the highest-ranked eligible peers as witnesses, so the copies are expected
among the first peers of the ranking.
"""

REPLICATE_TIMEOUT_SECONDS = 1.0
COLLECT_TIMEOUT_SECONDS = 1.0
MAX_HELD_RECORDS = 50_000
MAX_COPY_AGE_SECONDS = 3600.0

logger = get_logger("witness")


class WitnessCopy(msgspec.Struct, frozen=True):
    """Copy of the queued records of an owner, in order.

    Attributes:
        shard: Shard of the records.
        epoch: Epoch of the owner.
        first: Number of journal records that precede the first record of the copy.
        records: The records.
    """

    shard: ShardId
    epoch: Epoch
    first: int
    records: list[Record]


class CollectRequest(msgspec.Struct, frozen=True):
    """Requests the copy of a shard and fences its former owners.

    Attributes:
        shard: Shard that was taken over.
        epoch: Epoch of the new owner.
    """

    shard: ShardId
    epoch: Epoch


class CollectResponse(msgspec.Struct, frozen=True):
    """Latest copy of a shard that a witness holds, if any."""

    copy: WitnessCopy | None = None


@final
class WitnessStore:
    """Copies that this sidecar holds for other owners."""

    def __init__(self) -> None:
        self._copies: dict[ShardId, tuple[float, WitnessCopy]] = {}
        self._fences: dict[ShardId, Epoch] = {}

    def add_routes(self, router: Router) -> None:
        """Adds the routes on which owners store and collect copies."""
        router.add("POST", WITNESS_PATH, self._serve_copy)
        router.add("POST", WITNESS_COLLECT_PATH, self._serve_collect)

    async def _serve_copy(self, request: Request) -> Response:
        self.store_copy(request.decode(WitnessCopy))
        return JsonResponse(value=Accepted())

    async def _serve_collect(self, request: Request) -> Response:
        return JsonResponse(value=self.collect(request.decode(CollectRequest)))

    def store_copy(self, copy: WitnessCopy) -> None:
        """Stores a copy, replacing the previous copy of the shard.

        Raises:
            WrongOwner: A later owner has already collected the copy of the shard.
        """
        if copy.epoch < self._fences.get(copy.shard, Epoch(0)):
            raise WrongOwner(f"Shard {copy.shard} has a later owner.", retry_after=0.1)
        self._copies[copy.shard] = (time.monotonic(), copy)
        self._evict_copies()

    def collect(self, request: CollectRequest) -> CollectResponse:
        """Fences the shard's former owners and returns the copy of the latest one."""
        known = self._fences.get(request.shard, Epoch(0))
        self._fences[request.shard] = max(known, request.epoch)
        _, copy = self._copies.get(request.shard, (0.0, None))
        return CollectResponse(copy)

    def _evict_copies(self) -> None:
        """Removes expired copies, and the oldest copies in excess of the limit."""
        now = time.monotonic()
        held_records = 0
        for shard, (stored_at, copy) in sorted(
            self._copies.items(), key=lambda item: -item[1][0]
        ):
            held_records += len(copy.records)
            if (
                held_records > MAX_HELD_RECORDS
                or now - stored_at > MAX_COPY_AGE_SECONDS
            ):
                del self._copies[shard]


@final
class WitnessClient:
    """Copies queued records to witnesses and collects them during a takeover."""

    def __init__(self, transport: Transport, membership: Membership) -> None:
        self._transport = transport
        self._membership = membership

    async def replicate(self, journal: Journal) -> int:
        """Copies a journal's queued records to peers and returns how many hold them."""
        first, records = journal.list_queued()
        copy = WitnessCopy(journal.shard, journal.epoch, first, records)
        holders: set[InstanceId] = set()
        with trio.move_on_after(REPLICATE_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for peer in self._choose_witnesses(journal.shard):
                    nursery.start_soon(self._send_copy, peer, copy, holders)
        if not holders:
            logger.warning("no witness holds the records of shard %s", journal.shard)
        return len(holders)

    def _choose_witnesses(self, shard: ShardId) -> list[Instance]:
        """Returns peers in failure domains that differ from this one and each other."""
        local_instance = self._membership.local_instance
        chosen: dict[str, Instance] = {}
        for peer in self._rank_peers(shard):
            if peer.domain != local_instance.domain and peer.domain not in chosen:
                chosen[peer.domain] = peer
        return list(chosen.values())[:WITNESS_COUNT]

    def _rank_peers(self, shard: ShardId) -> list[Instance]:
        return rank_owners(shard, self._membership.list_live(Role.SIDECAR))

    async def _send_copy(
        self, peer: Instance, copy: WitnessCopy, holders: set[InstanceId]
    ) -> None:
        try:
            response = await self._transport.send(
                "POST", peer.address, WITNESS_PATH, value=copy
            )
        except (ConnectFailed, ExchangeBroken):
            return
        if response.status == 200:
            holders.add(peer.instance)

    async def collect(self, journal: Journal) -> list[Record]:
        """Returns the queued records of the former owner that the journal lacks."""
        request = CollectRequest(journal.shard, journal.epoch)
        copies: list[WitnessCopy] = []
        with trio.move_on_after(COLLECT_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for peer in self._rank_peers(journal.shard)[:COLLECT_PEER_COUNT]:
                    nursery.start_soon(self._collect_from, peer, request, copies)
        return select_missing(
            copies, since=journal.record_epoch, committed_count=journal.committed_count
        )

    async def _collect_from(
        self, peer: Instance, request: CollectRequest, copies: list[WitnessCopy]
    ) -> None:
        try:
            reply = await self._transport.send(
                "POST", peer.address, WITNESS_COLLECT_PATH, value=request
            )
            response = reply.decode(CollectResponse)
        except (ConnectFailed, ExchangeBroken, WrongOwner):
            return
        if response.copy is not None:
            copies.append(response.copy)


def select_missing(
    copies: list[WitnessCopy], *, since: Epoch, committed_count: int
) -> list[Record]:
    """Returns the records that follow the last record of the journal.

    The records are taken from the longest copy of the latest owner. An owner queues
    the records that it collected before its own, so its copy also contains them.

    Args:
        copies: Copies that the witnesses hold.
        since: Epoch of the owner that committed the last record of the journal. Copies
            of earlier owners are out of date.
        committed_count: Number of records in the journal.
    """
    candidates = [
        (copy.epoch, copy.records[committed_count - copy.first :])
        for copy in copies
        if copy.epoch >= since and copy.first <= committed_count
    ]
    if not candidates:
        return []
    _, missing = max(candidates, key=lambda item: (item[0], len(item[1])))
    return missing
