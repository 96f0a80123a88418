"""The members of the ledger, and which of them keep an entry."""

import msgspec

from goldcrestvane_common.ids import DomainId, Epoch, InstanceId, hash_text


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A process with a disk.

    Attributes:
        instance: Name of its machine.
        address: ``host:port`` for its peers.
        domain: Failure domain.
        disk: Id of the contents of its disk; an emptied disk gets a new one.
        since: Epoch at which this disk became a member.
    """

    instance: InstanceId
    address: str
    domain: DomainId
    disk: str
    since: Epoch = Epoch(1)


class View(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the members, each in a slot.

    A replacement takes the slot of the member that it replaces, so that entries of
    other slots stay where they are.

    Attributes:
        epoch: Rises with each change; fences writers that know an older one.
        slots: The members.
        tolerated_losses: Members that may be lost without losing an entry.
    """

    epoch: Epoch
    slots: tuple[Member, ...]
    tolerated_losses: int = 1

    @property
    def group_size(self) -> int:
        """Number of members that keep each entry."""
        return min(len(self.slots), 2 * self.tolerated_losses + 1)

    @property
    def write_quorum(self) -> int:
        """Members that must have an entry on disk before it counts."""
        return self.group_size // 2 + 1

    @property
    def read_quorum(self) -> int:
        """Members of a group of which one at least has each entry that counts."""
        return self.group_size - self.write_quorum + 1

    def list_group(self, key: str) -> tuple[Member, ...]:
        """Returns the members that keep the entries of a key."""
        if not self.slots:
            return ()
        first = hash_text(key) % len(self.slots)
        return self._list_from(first)

    def _list_from(self, first: int) -> tuple[Member, ...]:
        count = len(self.slots)
        return tuple(self.slots[(first + n) % count] for n in range(self.group_size))

    def find(self, instance: InstanceId) -> Member | None:
        """Returns the member on a machine, or None."""
        for member in self.slots:
            if member.instance == instance:
                return member
        return None

    def can_join(self, instance: InstanceId, answered: set[InstanceId]) -> bool:
        """Tells whether the answers hold every entry that a new member must have.

        Args:
            instance: The new member.
            answered: Other members whose entries it has taken over.
        """
        for first in range(len(self.slots)):
            group = {member.instance for member in self._list_from(first)}
            if instance not in group:
                continue
            others = group - {instance}
            needed = min(self.read_quorum, len(others))
            if len(others & answered) < needed:
                return False
        return True

    def replace(self, leaving: InstanceId, joining: Member) -> "View":
        """Returns the next view, with one member in place of another."""
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
    """Returns the first view, with neighbouring slots in different domains."""
    by_domain: dict[DomainId, list[Member]] = {}
    for member in sorted(members, key=lambda each: each.instance):
        by_domain.setdefault(member.domain, []).append(member)
    queues = [by_domain[domain] for domain in sorted(by_domain)]
    slots: list[Member] = []
    while any(queues):
        slots += [queue.pop(0) for queue in queues if queue]
    return View(epoch=Epoch(1), slots=tuple(slots), tolerated_losses=tolerated_losses)
