"""Which instances should own a shard, by rendezvous hashing."""

from collections.abc import Sequence

from goldcrestvane_common.ids import InstanceId, ShardId, hash_text
from goldcrestvane_common.messages import Instance

HEIR_COUNT = 2


def rank_owners(shard: ShardId, instances: Sequence[Instance]) -> list[Instance]:
    """Returns instances in the order in which they should own a shard."""
    return sorted(
        instances, key=lambda item: hash_text(f"{shard}\n{item.instance}"), reverse=True
    )


def rank_heirs(
    shard: ShardId, owner: InstanceId, instances: Sequence[Instance]
) -> list[Instance]:
    """Returns who takes a shard over from an owner that died, best first.

    The first heirs stand in failure domains other than the owner's and one another's,
    so that the loss of a domain leaves one of them to notice.
    """
    ranked = rank_owners(shard, instances)
    domains = {item.domain for item in ranked if item.instance == owner}
    others = [item for item in ranked if item.instance != owner]
    spread: list[Instance] = []
    for item in others:
        if item.domain not in domains:
            spread.append(item)
            domains.add(item.domain)
    rest = [item for item in others if item not in spread]
    return spread + rest
