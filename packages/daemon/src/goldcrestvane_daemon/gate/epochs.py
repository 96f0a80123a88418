"""Epochs of shard owners: calls of a deposed owner are refused."""

from typing import final

from goldcrestvane_common.errors import WrongOwner
from goldcrestvane_common.ids import Epoch, ShardId
from goldcrestvane_common.messages import (
    DispatchRequest,
)


@final
class EpochFence:
    """Highest epoch seen of each shard."""

    def __init__(self) -> None:
        self._epochs: dict[ShardId, Epoch] = {}

    def get(self, shard: ShardId) -> Epoch:
        """Returns the highest epoch seen of a shard; 0 if none was seen."""
        return self._epochs.get(shard, Epoch(0))

    def advance(self, shard: ShardId, epoch: Epoch) -> bool:
        """Notes an epoch; returns whether it is higher than all seen before."""
        if epoch <= self.get(shard):
            return False
        self._epochs[shard] = epoch
        return True

    def check(self, request: DispatchRequest) -> None:
        """Refuses a call of a deposed owner.

        Raises:
            WrongOwner: A higher epoch of the call's shard was seen.
        """
        highest = self.get(request.shard)
        if request.epoch >= highest:
            return
        raise WrongOwner(
            f"got epoch {request.epoch} of shard {request.shard}, expected at least "
            f"{highest}; ask the shard's present owner"
        )
