import unittest

import trio
import trio.testing

from goldcrestvane_common.messages import (
    FenceRequest,
    Instance,
    Role,
)
from goldcrestvane_common.transport import ConnectFailed, Reply
from goldcrestvane_daemon.owner.fencing import FenceSender

PEERS = [Instance(name, Role.SIDECAR, f"{name}:1", "a") for name in ("x", "y")]


class SlowTransport:
    """Answers after a second on the clock; one peer refuses the connection."""

    def __init__(self):
        self.sent = []

    async def send(self, method, peer, path, *, value):
        self.sent.append((peer, value))
        if peer == "y:1":
            raise ConnectFailed("refused")
        await trio.sleep(0.1)
        return Reply(status=200, headers={}, body=b"{}")


class FenceSenderTest(unittest.TestCase):
    def run_fences(self, use):
        async def main():
            self.transport = SlowTransport()
            sender = FenceSender(self.transport, list_peers=lambda: PEERS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sender.run)
                await use(sender)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_fences_that_come_during_a_round_share_the_next_one(self):
        async def use(sender):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sender.fence, 1, 5)
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(sender.fence, 2, 6)
                nursery.start_soon(sender.fence, 3, 7)

        self.run_fences(use)
        rounds = [fences for peer, fences in self.transport.sent if peer == "x:1"]
        self.assertEqual(len(rounds), 2)
        self.assertEqual(rounds[0], [FenceRequest(1, 5)])
        self.assertCountEqual(rounds[1], [FenceRequest(2, 6), FenceRequest(3, 7)])

    def test_a_fence_returns_after_its_own_round(self):
        async def use(sender):
            await sender.fence(1, 5)
            self.first = trio.current_time()
            await sender.fence(2, 6)
            self.second = trio.current_time()

        self.run_fences(use)
        self.assertAlmostEqual(self.second - self.first, 0.1)
        self.assertEqual(len(self.transport.sent), 4)


if __name__ == "__main__":
    unittest.main()
