"""Partitions of which a member has all entries.

A member votes, and is copied from, only for partitions of which it has every durable
entry. A partition is pending from the view that assigns it to a member until the member
has copied it from enough other members. A member that has left its slot is still copied
from while its successor has not copied the partition itself, so that a planned change
does not reduce the number of losses that the ledger tolerates.
"""

from collections.abc import Collection
from typing import final

import msgspec

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_daemon.ledger.view import (
    FormerMember,
    Member,
    PartitionId,
    View,
)


def find_pending_partitions(
    view: View, synced: View | None, *, instance: InstanceId, disk: str
) -> frozenset[PartitionId]:
    """Returns the partitions that a member must copy before it votes for them.

    Args:
        view: The member's view.
        synced: View under which its disk had all its entries; None if it never had.
        instance: The member.
        disk: Id of the contents of its disk.
    """
    member = view.find(instance)
    if member is None or member.disk != disk:
        return frozenset()
    own = view.list_partitions(instance)
    before = synced.find(instance) if synced is not None else None
    if synced is None or before is None or before.since != member.since:
        # The members of the first view start without entries.
        is_first = member.since == 1 and view.resizes == 0
        return frozenset() if is_first else own
    if synced.resizes == view.resizes:
        return frozenset()
    if synced.resizes + 1 == view.resizes:
        return own - synced.list_partitions(instance)
    # The member may have lost a partition and regained it since.
    return own


@final
class Holdings:
    """Tracks the pending partitions of one member.

    Attributes:
        pending: Partitions that the member must still copy.
        synced: View under which the disk is recorded to have all its entries.
    """

    _former: frozenset[PartitionId] = frozenset()
    """Partitions of which the disk had all entries when it left its slot."""

    def __init__(self, instance: InstanceId, disk: str, synced: View | None) -> None:
        self._instance = instance
        self._disk = disk
        self._view: View | None = None
        self._own: frozenset[PartitionId] = frozenset()
        self.synced = synced
        self.pending: frozenset[PartitionId] = frozenset()

    @property
    def is_member(self) -> bool:
        """Whether this disk is in the view."""
        return bool(self._own)

    @property
    def is_complete(self) -> bool:
        """Whether the disk has all entries of its partitions."""
        return self.is_member and not self.pending

    @property
    def is_recorded(self) -> bool:
        """Whether a restart would find that the disk has all its entries."""
        return self.is_complete and not self._is_outdated(self.synced)

    def adopt(self, view: View) -> None:
        """Updates the pending partitions for a newer view."""
        before, self._view = self._view, view
        member = view.find(self._instance)
        if member is None or member.disk != self._disk:
            if self._own:
                self._former = self._own - self.pending
            self._own = self.pending = frozenset()
            return
        self._former = frozenset()
        if before is not None and not self._is_outdated(before):
            # Partitions that were copied under the previous view stay copied.
            return
        self._own = view.list_partitions(self._instance)
        self.pending = find_pending_partitions(
            view, self.synced, instance=self._instance, disk=self._disk
        )

    def _is_outdated(self, view: View | None) -> bool:
        """Returns whether an older view assigns other partitions to this disk."""
        assert self._view is not None
        member = self._view.find(self._instance)
        before = view.find(self._instance) if view is not None else None
        return (
            view is None
            or before is None
            or member is None
            or view.resizes != self._view.resizes
            or before.since != member.since
        )

    def mark_copied(self, partitions: Collection[PartitionId]) -> None:
        """Marks partitions of which all entries are on the disk."""
        self.pending -= frozenset(partitions)

    def holds(self, partition: PartitionId) -> bool:
        """Returns whether the member votes for a partition."""
        return partition in self._own and partition not in self.pending

    def held(self, partition: PartitionId) -> bool:
        """Returns whether the member holds a partition, or did when it left its slot."""
        return self.holds(partition) or partition in self._former


class CopySource(msgspec.Struct, frozen=True, kw_only=True):
    """A process that may have entries of pending partitions.

    Attributes:
        slot: Slot that it has or had. Of each slot one source counts.
        instance: Name of its machine.
        address: ``host:port`` for its peers.
        partitions: Partitions that it stores or stored.
    """

    slot: int
    instance: InstanceId
    address: str
    partitions: frozenset[PartitionId]


REMOVED_SLOT = -1


def list_copy_sources(
    view: View, synced: View | None, instance: InstanceId
) -> list[CopySource]:
    """Returns the processes that a member copies from.

    These are the other members and the process that stored the partitions before. The
    former members of other slots are no sources: their successors may have voted for
    entries that they lack.

    Args:
        view: The member's view.
        synced: View under which its disk had all its entries; None if it never had.
        instance: The member that copies.
    """
    own = view.list_partitions(instance)
    member = view.find(instance)
    former = []
    if member is not None and member.predecessor is not None:
        former.append(_build_source(member.slot, member.predecessor, own))
    if view.removed and synced is not None and synced.resizes + 1 == view.resizes:
        gained = own - synced.list_partitions(instance)
        former.append(_build_source(REMOVED_SLOT, view.removed, gained))
    others = [
        _build_source(each.slot, each, view.list_partitions(each.instance))
        for each in view.slots
        if each.instance != instance
    ]
    return others + [each for each in former if view.find(each.instance) is None]


def _build_source(
    slot: int, process: Member | FormerMember, partitions: frozenset[PartitionId]
) -> CopySource:
    return CopySource(
        slot=slot,
        instance=process.instance,
        address=process.address,
        partitions=partitions,
    )


@final
class CopyProgress:
    """Counts the sources from which a member has copied each pending partition."""

    def __init__(self, view: View, pending: frozenset[PartitionId]) -> None:
        self._view = view
        self._slots: dict[PartitionId, set[int]] = {each: set() for each in pending}

    def list_wanted(self, source: CopySource) -> list[PartitionId]:
        """Returns the partitions that are still to be copied from a source."""
        return sorted(
            partition
            for partition, slots in self._slots.items()
            if partition in source.partitions
            and source.slot not in slots
            and not self._is_copied(partition)
        )

    def record(self, source: CopySource, complete: Collection[PartitionId]) -> None:
        """Records the partitions of which a source sent every entry."""
        for partition in complete:
            self._slots[partition].add(source.slot)

    def list_copied(self) -> list[PartitionId]:
        """Returns the partitions that were copied from enough sources."""
        return [partition for partition in self._slots if self._is_copied(partition)]

    def _is_copied(self, partition: PartitionId) -> bool:
        needed = self._view.count_needed_sources(partition)
        return len(self._slots[partition]) >= needed
