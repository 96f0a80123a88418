"""Views of the ledger's membership, which map each entry to a group of members."""

import msgspec

from goldcrestvane_common.ids import DomainId, Epoch, InstanceId, hash_text


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A ledger process with a disk.

    Attributes:
        instance: Name of its machine.
        address: ``host:port`` for its peers.
        domain: Failure domain.
        disk: Id of the contents of its disk; a wiped disk gets a new one.
        since: Epoch at which this disk became a member.
    """

    instance: InstanceId
    address: str
    domain: DomainId
    disk: str
    since: Epoch = Epoch(1)


class View(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the ledger's membership, with each member in a slot.

    A replacement takes the slot of the member that it replaces, so that the entries of
    the other slots do not move.

    Attributes:
        epoch: Increases with each change; members reject writers with an older one.
        slots: The members.
        tolerated_losses: Number of members whose loss loses no entry.
    """

    epoch: Epoch
    slots: tuple[Member, ...]
    tolerated_losses: int = 1

    @property
    def group_size(self) -> int:
        """Number of members that store each entry."""
        return min(len(self.slots), 2 * self.tolerated_losses + 1)

    @property
    def write_quorum(self) -> int:
        """Number of members that must have an entry on disk to make it durable."""
        return self.group_size // 2 + 1

    @property
    def read_quorum(self) -> int:
        """Number of members of a group that together have all its durable entries."""
        return self.group_size - self.write_quorum + 1

    def list_group(self, key: str) -> tuple[Member, ...]:
        """Returns the members that store the entries of a key."""
        if not self.slots:
            return ()
        first = hash_text(key) % len(self.slots)
        return self._list_group_at(first)

    def _list_group_at(self, first: int) -> tuple[Member, ...]:
        count = len(self.slots)
        return tuple(self.slots[(first + n) % count] for n in range(self.group_size))

    def find(self, instance: InstanceId) -> Member | None:
        """Returns the member on a machine, or None."""
        for member in self.slots:
            if member.instance == instance:
                return member
        return None

    def can_join(self, instance: InstanceId, copied_from: set[InstanceId]) -> bool:
        """Returns whether a new member has copied every entry that it must have.

        Args:
            instance: The new member.
            copied_from: Members whose entries the new member has copied.
        """
        for first in range(len(self.slots)):
            group = {member.instance for member in self._list_group_at(first)}
            if instance not in group:
                continue
            others = group - {instance}
            needed = min(self.read_quorum, len(others))
            if len(others & copied_from) < needed:
                return False
        return True

    def replace(self, leaving: InstanceId, joining: Member) -> "View":
        """Returns the next view, with one member replaced by another."""
        epoch = Epoch(self.epoch + 1)
        joining = msgspec.structs.replace(joining, since=epoch)
        slots = tuple(joining if m.instance == leaving else m for m in self.slots)
        return msgspec.structs.replace(self, epoch=epoch, slots=slots)

    def add(self, joining: Member) -> "View":
        """Returns the next view with one more member."""
        epoch = Epoch(self.epoch + 1)
        joining = msgspec.structs.replace(joining, since=epoch)
        return msgspec.structs.replace(self, epoch=epoch, slots=(*self.slots, joining))

    def remove(self, leaving: InstanceId) -> "View":
        """Returns the next view without a member."""
        slots = tuple(member for member in self.slots if member.instance != leaving)
        return msgspec.structs.replace(self, epoch=Epoch(self.epoch + 1), slots=slots)


def build_first_view(members: list[Member], *, tolerated_losses: int) -> View:
    """Returns the first view, which spreads adjacent slots over failure domains."""
    by_domain: dict[DomainId, list[Member]] = {}
    for member in sorted(members, key=lambda each: each.instance):
        by_domain.setdefault(member.domain, []).append(member)
    queues = [by_domain[domain] for domain in sorted(by_domain)]
    slots: list[Member] = []
    while any(queues):
        slots += [queue.pop(0) for queue in queues if queue]
    return View(epoch=Epoch(1), slots=tuple(slots), tolerated_losses=tolerated_losses)
