"""Sends the epochs of taken-over shards to all sidecars, in batches.

The journal is what fences former owners. These messages only let targets reject the
calls of a former owner early, so an unreachable sidecar does not delay a takeover
beyond the timeout of a round.
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
    """Sends fence requests in rounds.

    Requests that arrive during a round are sent in the next one.
    """

    def __init__(
        self, transport: Transport, *, list_peers: Callable[[], list[Instance]]
    ) -> None:
        self._transport = transport
        self._list_peers = list_peers
        self._pending: list[FenceRequest] = []
        self._round_ended = trio.Event()
        self._wakeup = trio.Event()

    async def fence(self, shard: ShardId, epoch: Epoch) -> None:
        """Sends a fence request and returns when its round has ended."""
        self._pending.append(FenceRequest(shard, epoch))
        round_ended = self._round_ended
        self._wakeup.set()
        await round_ended.wait()

    async def run(self) -> None:
        """Sends rounds until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            fences, self._pending = self._pending, []
            round_ended, self._round_ended = self._round_ended, trio.Event()
            await self._send_round(fences)
            round_ended.set()

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
