import unittest

import trio
import trio.testing

from goldcrestvane_common.messages import (
    FenceRequest,
    Instance,
    Role,
)
from goldcrestvane_common.transport import ClientResponse, ConnectFailed
from goldcrestvane_daemon.owner.fencing import FenceSender

PEERS = [Instance(name, Role.SIDECAR, f"{name}:1", "a") for name in ("x", "y")]


class SlowTransport:
    """Responds after 0.1 seconds, except that peer y refuses the connection."""

    def __init__(self):
        self.sent = []

    async def send(self, method, peer, path, *, value):
        self.sent.append((peer, value))
        if peer == "y:1":
            raise ConnectFailed("refused")
        await trio.sleep(0.1)
        return ClientResponse(status=200, headers={}, body=b"{}")


class FenceSenderTests(unittest.TestCase):
    def run_sender(self, check):
        async def main():
            self.transport = SlowTransport()
            sender = FenceSender(self.transport, list_peers=lambda: PEERS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sender.run)
                await check(sender)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_requests_during_a_round_are_sent_together_in_the_next_one(self):
        async def check(sender):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sender.fence, 1, 5)
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(sender.fence, 2, 6)
                nursery.start_soon(sender.fence, 3, 7)

        self.run_sender(check)
        rounds = [fences for peer, fences in self.transport.sent if peer == "x:1"]
        self.assertEqual(len(rounds), 2)
        self.assertEqual(rounds[0], [FenceRequest(1, 5)])
        self.assertCountEqual(rounds[1], [FenceRequest(2, 6), FenceRequest(3, 7)])

    def test_fence_returns_after_its_own_round(self):
        async def check(sender):
            await sender.fence(1, 5)
            self.first = trio.current_time()
            await sender.fence(2, 6)
            self.second = trio.current_time()

        self.run_sender(check)
        self.assertAlmostEqual(self.second - self.first, 0.1)
        self.assertEqual(len(self.transport.sent), 4)


if __name__ == "__main__":
    unittest.main()
