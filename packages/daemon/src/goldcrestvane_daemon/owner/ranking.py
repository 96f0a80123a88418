"""Preferred owners of shards, and the successors of an owner that dies."""

from bisect import bisect
from collections.abc import Sequence
from typing import final

from goldcrestvane_common.ids import DomainId, InstanceId, ShardId, hash_text
from goldcrestvane_common.messages import (
    Instance,
)

SUCCESSOR_PROBE_SECONDS = (0.5, 2.0)
"""Intervals at which the successors of an owner probe it, in order of preference.

The second successor can probe less often, because it acts only if the first one fails.
"""
SUCCESSOR_COUNT = len(SUCCESSOR_PROBE_SECONDS)


def rank_owners(shard: ShardId, instances: Sequence[Instance]) -> list[Instance]:
    """Returns instances ordered by preference for a shard, using rendezvous hashing."""
    return sorted(
        instances, key=lambda item: _compute_weight(shard, item), reverse=True
    )


def find_preferred_owner(shard: ShardId, instances: Sequence[Instance]) -> Instance:
    """Returns the first instance of `rank_owners` without sorting the others."""
    return max(instances, key=lambda item: _compute_weight(shard, item))


def _compute_weight(shard: ShardId, instance: Instance) -> int:
    return hash_text(f"{shard}\n{instance.instance}")


@final
class SuccessorRing:
    """Hash ring that determines which instances take over from a failed owner.

    Instances are ordered by their hashes, and the successors of an owner are the
    instances that follow it. All shards of an owner have the same successors. The
    number of peers that a sidecar probes is therefore small and does not grow with the
    number of shards or sidecars. Rebalancing spreads the shards after a takeover.
    """

    def __init__(self, instances: Sequence[Instance]) -> None:
        positioned = sorted(
            (hash_text(item.instance), item.instance) for item in instances
        )
        by_id = {item.instance: item for item in instances}
        self._positions = [position for position, _ in positioned]
        self._ring = [by_id[instance] for _, instance in positioned]
        self._domains = {item.instance: item.domain for item in instances}
        self._domain_count = len(set(self._domains.values()))

    def find_successors(self, owner: InstanceId) -> list[Instance]:
        """Returns at most `SUCCESSOR_COUNT` successors of an owner, preferred first.

        If there are enough failure domains, the owner and its successors are all in
        different ones. At least one successor then survives the loss of any domain.
        """
        domains: set[DomainId] = set()
        if owner in self._domains:
            domains.add(self._domains[owner])
        distinct_domain: list[Instance] = []
        same_domain: list[Instance] = []
        start = bisect(self._positions, hash_text(owner))
        for step in range(len(self._ring)):
            item = self._ring[(start + step) % len(self._ring)]
            if item.instance == owner:
                continue
            if item.domain not in domains:
                distinct_domain.append(item)
                domains.add(item.domain)
            elif len(same_domain) < SUCCESSOR_COUNT:
                same_domain.append(item)
            exhausted = len(domains) == self._domain_count
            if len(distinct_domain) == SUCCESSOR_COUNT or (
                exhausted and len(same_domain) == SUCCESSOR_COUNT
            ):
                break
        return [*distinct_domain, *same_domain][:SUCCESSOR_COUNT]
