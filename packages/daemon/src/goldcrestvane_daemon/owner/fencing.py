"""Tells all sidecars the epochs of shards that were taken over, many in one message.

The journal is the fence. These messages only let targets refuse the calls of a
deposed owner early, so that a sidecar that cannot be reached is passed over.
"""

from collections.abc import Callable
from typing import final

import trio

from goldcrestvane_common.ids import Epoch, ShardId
from goldcrestvane_common.messages import (
    FenceRequest,
    Instance,
)
from goldcrestvane_common.paths import (
    FENCE_PATH,
)
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Transport

FENCE_TIMEOUT_SECONDS = 0.3


@final
class FenceSender:
    """Sends fences in rounds; what arrives during a round goes with the next one."""

    def __init__(
        self, transport: Transport, *, list_peers: Callable[[], list[Instance]]
    ) -> None:
        self._transport = transport
        self._list_peers = list_peers
        self._waiting: list[FenceRequest] = []
        self._sent = trio.Event()
        self._wakeup = trio.Event()

    async def fence(self, shard: ShardId, epoch: Epoch) -> None:
        """Returns once the round with this fence has ended."""
        self._waiting.append(FenceRequest(shard, epoch))
        sent = self._sent
        self._wakeup.set()
        await sent.wait()

    async def run(self) -> None:
        """Sends rounds until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            fences, self._waiting = self._waiting, []
            sent, self._sent = self._sent, trio.Event()
            await self._send_round(fences)
            sent.set()

    async def _send_round(self, fences: list[FenceRequest]) -> None:
        with trio.move_on_after(FENCE_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for peer in self._list_peers():
                    nursery.start_soon(self._send, peer, fences)

    async def _send(self, peer: Instance, fences: list[FenceRequest]) -> None:
        try:
            await self._transport.send("POST", peer.address, FENCE_PATH, value=fences)
        except (ConnectFailed, ExchangeBroken):
            return
