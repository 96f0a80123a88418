"""Epoch fencing, which rejects calls of owners that lost their shard."""

from typing import final

from goldcrestvane_common.errors import WrongOwner
from goldcrestvane_common.ids import Epoch, ShardId
from goldcrestvane_common.messages import (
    DispatchRequest,
)


@final
class EpochFence:
    """Tracks the highest known epoch of each shard and rejects calls below it."""

    def __init__(self) -> None:
        self._epochs: dict[ShardId, Epoch] = {}

    def get(self, shard: ShardId) -> Epoch:
        """Returns the highest known epoch of a shard; 0 if there is none."""
        return self._epochs.get(shard, Epoch(0))

    def advance(self, shard: ShardId, epoch: Epoch) -> bool:
        """Records an epoch; returns whether it is higher than all previous ones."""
        if epoch <= self.get(shard):
            return False
        self._epochs[shard] = epoch
        return True

    def check(self, request: DispatchRequest) -> None:
        """Checks that a call does not come from an owner that lost its shard.

        Raises:
            WrongOwner: A higher epoch of the call's shard is known.
        """
        highest = self.get(request.shard)
        if request.epoch >= highest:
            return
        raise WrongOwner(
            f"got epoch {request.epoch} of shard {request.shard}, expected at least "
            f"{highest}; send the call to the shard's current owner"
        )
