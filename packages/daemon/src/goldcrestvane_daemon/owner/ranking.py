"""Which instances should own a shard, by rendezvous hashing."""

from collections.abc import Sequence

from goldcrestvane_common.ids import InstanceId, ShardId, hash_text
from goldcrestvane_common.messages import Instance

HEIR_PROBE_SECONDS = (0.5, 2.0)
"""Period of each heir's probes; a later one acts only once an earlier one is gone."""
HEIR_COUNT = len(HEIR_PROBE_SECONDS)


def rank_owners(shard: ShardId, instances: Sequence[Instance]) -> list[Instance]:
    """Returns instances in the order in which they should own a shard."""
    return sorted(
        instances, key=lambda item: hash_text(f"{shard}\n{item.instance}"), reverse=True
    )


def rank_heirs(owner: InstanceId, instances: Sequence[Instance]) -> list[Instance]:
    """Returns who takes the shards of an owner over when it dies, best first.

    All shards of an owner have the same heirs, so that each sidecar probes few peers
    however many shards there are; rebalancing spreads the shards afterwards.

    The first heirs stand in failure domains other than the owner's and one another's,
    so that the loss of a domain leaves one of them to notice.
    """
    ranked = sorted(
        instances, key=lambda item: hash_text(f"{owner}\n{item.instance}"), reverse=True
    )
    domains = {item.domain for item in ranked if item.instance == owner}
    others = [item for item in ranked if item.instance != owner]
    spread: list[Instance] = []
    for item in others:
        if item.domain not in domains:
            spread.append(item)
            domains.add(item.domain)
    rest = [item for item in others if item not in spread]
    return spread + rest
