import random
import unittest

import trio
import trio.testing

from goldcrestvane_common.messages import Instance, Role, ShardMap
from goldcrestvane_common.paths import ADOPT_PATH
from goldcrestvane_common.transport import ClientResponse, ExchangeBroken
from goldcrestvane_daemon.owner.manager import ShardManager
from goldcrestvane_daemon.owner.ranking import rank_owners

SHARDS = 64


def build_instance(name):
    return Instance(name, Role.SIDECAR, f"{name}:1", f"d-{name}", service="s")


class FakeMembership:
    """Lists all sidecars, including frozen ones that are not removed yet."""

    def __init__(self, local_instance, live):
        self.local_instance = local_instance
        self.live = live
        self.ready = trio.Event()

    def list_live(self, role):
        return self.live


class FakeTransport:
    """Transport on which frozen peers never respond and the others always do."""

    def __init__(self, frozen):
        self.frozen = frozen
        self.adopt_requests = []

    async def send(self, method, peer, path, *, value=None, timeout=None):
        if path == ADOPT_PATH:
            self.adopt_requests.append(peer)
        if peer in self.frozen:
            await trio.sleep(timeout)
            raise ExchangeBroken("timeout")
        await trio.lowlevel.checkpoint()
        return ClientResponse(status=200, headers={}, body=b"{}")


class FakeJournal:
    store_unavailable = False

    def relinquish(self):
        pass


class FakeShard:
    def __init__(self):
        self.admitting = True
        self.stop_count = 0
        self.journal = FakeJournal()

    def stop_admitting(self):
        self.admitting = False
        self.stop_count += 1

    def append(self):
        return 0

    async def wait_durable(self, position, *, timeout_seconds):
        await trio.lowlevel.checkpoint()


class RebalanceTests(unittest.TestCase):
    def run_rebalance(self, *, frozen):
        """Rebalances for a minute with a shard that another instance should own.

        Returns:
            Whether the shard is still owned, the shard, and the peers that were asked
            to adopt it.
        """
        live = [build_instance(name) for name in ("first", "own", "last")]
        preferred, local_instance, _ = live
        ranked = {n: rank_owners(n, live) for n in range(SHARDS)}
        shard = next(n for n in ranked if ranked[n][:2] == [preferred, local_instance])
        transport = FakeTransport({"first:1"} if frozen else set())
        owned_shard = FakeShard()

        async def main():
            manager = ShardManager(
                objects=None,
                transport=transport,
                membership=FakeMembership(local_instance, live),
                recovery=None,
                get_map=lambda: ShardMap([]),
                shard_count=SHARDS,
                rng=random.Random(0),
            )
            manager.owned[shard] = owned_shard
            with trio.move_on_after(60):
                await manager._rebalance()
            return shard in manager.owned

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock), owned_shard, transport.adopt_requests

    def test_shard_moves_to_its_preferred_owner(self):
        is_still_owned, _, adopt_requests = self.run_rebalance(frozen=False)
        self.assertFalse(is_still_owned)
        self.assertEqual(adopt_requests, ["first:1"])

    def test_shard_stays_while_its_preferred_owner_is_frozen(self):
        is_still_owned, owned_shard, adopt_requests = self.run_rebalance(frozen=True)
        self.assertTrue(is_still_owned)
        self.assertEqual(adopt_requests, [])
        self.assertEqual(owned_shard.stop_count, 0)


if __name__ == "__main__":
    unittest.main()
