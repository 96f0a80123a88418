"""Which instances should own a shard, and who takes it over when its owner dies."""

from bisect import bisect
from collections.abc import Sequence
from typing import final

from goldcrestvane_common.ids import DomainId, InstanceId, ShardId, hash_text
from goldcrestvane_common.messages import (
    Instance,
)

SUCCESSOR_PROBE_SECONDS = (0.5, 2.0)
"""Period of each heir's probes; a later one acts only once an earlier one is gone."""
SUCCESSOR_COUNT = len(SUCCESSOR_PROBE_SECONDS)


def rank_owners(shard: ShardId, instances: Sequence[Instance]) -> list[Instance]:
    """Returns instances in the order in which they should own a shard.

    The order is by rendezvous hashing.
    """
    return sorted(instances, key=lambda item: _weigh(shard, item), reverse=True)


def find_preferred_owner(shard: ShardId, instances: Sequence[Instance]) -> Instance:
    """Returns the first of `rank_owners`, without sorting the rest."""
    return max(instances, key=lambda item: _weigh(shard, item))


def _weigh(shard: ShardId, instance: Instance) -> int:
    return hash_text(f"{shard}\n{instance.instance}")


@final
class SuccessorRing:
    """Finds who takes the shards of an owner over when it dies.

    Instances stand on a ring in the order of their hashes, and the heirs of an owner
    are the next ones after it. All shards of an owner have the same heirs, so that
    each sidecar probes few peers however many shards and sidecars there are;
    rebalancing spreads the shards afterwards.
    """

    def __init__(self, instances: Sequence[Instance]) -> None:
        placed = sorted((hash_text(item.instance), item.instance) for item in instances)
        known = {item.instance: item for item in instances}
        self._places = [place for place, _ in placed]
        self._ring = [known[instance] for _, instance in placed]
        self._domains = {item.instance: item.domain for item in instances}
        self._domain_count = len(set(self._domains.values()))

    def find_successors(self, owner: InstanceId) -> list[Instance]:
        """Returns at most `SUCCESSOR_COUNT` heirs of an owner, best first.

        They stand in failure domains other than the owner's and one another's where
        there are enough domains, so that the loss of a domain leaves one to notice.
        """
        domains: set[DomainId] = set()
        if owner in self._domains:
            domains.add(self._domains[owner])
        spread: list[Instance] = []
        rest: list[Instance] = []
        start = bisect(self._places, hash_text(owner))
        for step in range(len(self._ring)):
            item = self._ring[(start + step) % len(self._ring)]
            if item.instance == owner:
                continue
            if item.domain not in domains:
                spread.append(item)
                domains.add(item.domain)
            elif len(rest) < SUCCESSOR_COUNT:
                rest.append(item)
            exhausted = len(domains) == self._domain_count
            if len(spread) == SUCCESSOR_COUNT or (
                exhausted and len(rest) == SUCCESSOR_COUNT
            ):
                break
        return [*spread, *rest][:SUCCESSOR_COUNT]
