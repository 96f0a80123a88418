"""Views of the ledger's membership, which map each entry to a group of members.

Entries are divided into a fixed number of partitions. Rendezvous hashing ranks the slots
of the members for each partition, so a change of one member changes at most one member
of each group and leaves the groups without that member as they are.
"""

import functools
from collections import Counter
from typing import NewType

import msgspec
import xxhash

from goldcrestvane_common.ids import DomainId, Epoch, InstanceId, hash_text

PartitionId = NewType("PartitionId", int)

PARTITION_COUNT = 256
ALL_PARTITIONS = tuple(PartitionId(number) for number in range(PARTITION_COUNT))


def get_partition(key: str) -> PartitionId:
    """Returns the partition of an account or turn, by its program or call id."""
    return PartitionId(hash_text(key) % PARTITION_COUNT)


class FormerMember(msgspec.Struct, frozen=True, kw_only=True):
    """A process that has left its slot and may still have its entries.

    Attributes:
        instance: Name of its machine.
        address: ``host:port`` for its peers.
    """

    instance: InstanceId
    address: str


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A ledger process with a disk.

    Attributes:
        instance: Name of its machine.
        address: ``host:port`` for its peers.
        domain: Failure domain.
        disk: Id of the contents of its disk; a wiped disk gets a new one.
        since: Epoch at which this disk became a member.
        slot: Number of its slot, which determines its partitions.
        slot_domain: Failure domain of the first member in the slot. The groups are
            spread over these domains, so that a replacement does not change them.
        predecessor: The previous member in the slot, if any.
    """

    instance: InstanceId
    address: str
    domain: DomainId
    disk: str
    since: Epoch = Epoch(1)
    slot: int = 0
    slot_domain: DomainId = DomainId("")
    predecessor: FormerMember | None = None

    def build_former(self) -> FormerMember:
        """Returns this member as it is recorded after it has left its slot."""
        return FormerMember(instance=self.instance, address=self.address)


def _rank_slot(partition: PartitionId, slot: int) -> int:
    return xxhash.xxh3_64_intdigest(slot.to_bytes(8, "big"), partition)


class View(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """One version of the ledger's membership, with each member in a slot.

    A replacement takes the slot of the member that it replaces, and with it the same
    partitions.

    Attributes:
        epoch: Increases with each change; members reject writers with an older one.
        slots: The members.
        tolerated_losses: Number of members whose loss loses no entry.
        resizes: Number of changes so far that added or removed a slot.
        next_slot: Number of the next slot that is added.
        removed: The last member whose slot was removed, if any.
    """

    epoch: Epoch
    slots: tuple[Member, ...]
    tolerated_losses: int = 1
    resizes: int = 0
    next_slot: int = 0
    removed: FormerMember | None = None

    @property
    def group_size(self) -> int:
        """Number of members that store each entry."""
        return min(len(self.slots), 2 * self.tolerated_losses + 1)

    @property
    def write_quorum(self) -> int:
        """Number of members that must have an entry on disk to make it durable.

        It stays the same while the ledger has fewer members than a full group. Entries
        of a full group are then still on enough of the remaining members.
        """
        return min(len(self.slots), self.tolerated_losses + 1)

    @property
    def read_quorum(self) -> int:
        """Number of members of a group that together have all its durable entries."""
        return self.write_quorum

    @functools.cached_property
    def _groups(self) -> dict[PartitionId, tuple[Member, ...]]:
        """Groups that were computed before, by partition."""
        return {}

    def list_group(self, key: str) -> tuple[Member, ...]:
        """Returns the members that store the entries of a key."""
        return self.list_partition_group(get_partition(key))

    def list_partition_group(self, partition: PartitionId) -> tuple[Member, ...]:
        """Returns the members that store a partition."""
        group = self._groups.get(partition)
        if group is None:
            group = self._groups[partition] = self._choose_group(partition)
        return group

    def _choose_group(self, partition: PartitionId) -> tuple[Member, ...]:
        """Chooses the highest slots, one of each domain before a second of any."""
        ranked = sorted(
            self.slots, key=lambda each: _rank_slot(partition, each.slot), reverse=True
        )
        domain_counts: Counter[DomainId] = Counter()
        rounds: list[int] = []
        for member in ranked:
            rounds.append(domain_counts[member.slot_domain])
            domain_counts[member.slot_domain] += 1
        order = sorted(range(len(ranked)), key=rounds.__getitem__)
        return tuple(ranked[position] for position in order[: self.group_size])

    def list_quota_issuers(self, key: str, maximum: int) -> tuple[Member, ...]:
        """Returns the members that divide the quota of an account."""
        return self.list_group(key)[:maximum]

    def list_issued_partitions(
        self, instance: InstanceId, maximum: int
    ) -> frozenset[PartitionId]:
        """Returns the partitions of the accounts whose quotas a member has a share of."""
        return frozenset(
            partition
            for partition in ALL_PARTITIONS
            if any(
                member.instance == instance
                for member in self.list_partition_group(partition)[:maximum]
            )
        )

    def rank_permit_issuers(self, target: str) -> list[Member]:
        """Returns the members in the order in which they issue a target's permits."""
        seed = hash_text(target)
        return sorted(
            self.slots,
            key=lambda each: xxhash.xxh3_64_intdigest(
                each.slot.to_bytes(8, "big"), seed
            ),
            reverse=True,
        )

    def list_partitions(self, instance: InstanceId) -> frozenset[PartitionId]:
        """Returns the partitions that a member stores."""
        return frozenset(
            partition
            for partition in ALL_PARTITIONS
            if any(
                member.instance == instance
                for member in self.list_partition_group(partition)
            )
        )

    def find(self, instance: InstanceId) -> Member | None:
        """Returns the member on a machine, or None."""
        for member in self.slots:
            if member.instance == instance:
                return member
        return None

    def count_needed_sources(self, partition: PartitionId) -> int:
        """Returns the number of members that a new member of a group must copy from.

        These members together have all durable entries of the partition.
        """
        return min(self.read_quorum, len(self.list_partition_group(partition)) - 1)

    def replace(self, leaving: InstanceId, joining: Member) -> "View":
        """Returns the next view, with one member replaced by another."""
        epoch = Epoch(self.epoch + 1)
        slots = tuple(
            msgspec.structs.replace(
                joining,
                since=epoch,
                slot=each.slot,
                slot_domain=each.slot_domain,
                predecessor=each.build_former(),
            )
            if each.instance == leaving
            else each
            for each in self.slots
        )
        return msgspec.structs.replace(self, epoch=epoch, slots=slots)

    def add(self, joining: Member) -> "View":
        """Returns the next view with one more member."""
        epoch = Epoch(self.epoch + 1)
        joining = msgspec.structs.replace(
            joining, since=epoch, slot=self.next_slot, slot_domain=joining.domain
        )
        return msgspec.structs.replace(
            self,
            epoch=epoch,
            slots=(*self.slots, joining),
            resizes=self.resizes + 1,
            next_slot=self.next_slot + 1,
        )

    def remove(self, leaving: InstanceId) -> "View":
        """Returns the next view without a member."""
        slots = tuple(member for member in self.slots if member.instance != leaving)
        member = self.find(leaving)
        return msgspec.structs.replace(
            self,
            epoch=Epoch(self.epoch + 1),
            slots=slots,
            resizes=self.resizes + 1,
            removed=member.build_former() if member else self.removed,
        )


def build_first_view(members: list[Member], *, tolerated_losses: int) -> View:
    """Returns the first view, which spreads adjacent slots over failure domains."""
    by_domain: dict[DomainId, list[Member]] = {}
    for member in sorted(members, key=lambda each: each.instance):
        by_domain.setdefault(member.domain, []).append(member)
    queues = [by_domain[domain] for domain in sorted(by_domain)]
    ordered: list[Member] = []
    while any(queues):
        ordered += [queue.pop(0) for queue in queues if queue]
    slots = tuple(
        msgspec.structs.replace(member, slot=number, slot_domain=member.domain)
        for number, member in enumerate(ordered)
    )
    return View(
        epoch=Epoch(1),
        slots=slots,
        tolerated_losses=tolerated_losses,
        next_slot=len(slots),
    )
