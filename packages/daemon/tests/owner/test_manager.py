import random
import unittest

import msgspec
import trio
import trio.testing

from goldcrestvane_common.errors import Unavailable
from goldcrestvane_common.messages import (
    AdoptRequest,
    Instance,
    InstanceState,
    Role,
    ShardMap,
    ShardOwner,
)
from goldcrestvane_common.paths import ADOPT_PATH
from goldcrestvane_common.routing import Request
from goldcrestvane_common.transport import ClientResponse, ExchangeBroken
from goldcrestvane_daemon.owner.manager import ShardManager
from goldcrestvane_daemon.owner.ranking import rank_owners
from goldcrestvane_daemon.owner.recovery import CallRecovery
from owner.fakes import FakeObjects

SHARDS = 64


def build_instance(name):
    return Instance(name, Role.SIDECAR, f"{name}:1", f"d-{name}", service="s")


class FakeMembership:
    """Lists all sidecars, including frozen ones that are not removed yet."""

    def __init__(self, local_instance, live):
        self.local_instance = local_instance
        self.live = live
        self.ready = trio.Event()

        self.change_count = 0

    def list_live(self, role):
        return self.live

    def list_owner_candidates(self):
        return self.live

    def is_dead(self, instance):
        return False


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
    epoch = 1

    def __init__(self):
        self.ownership_lost = trio.Event()

    def relinquish(self):
        self.ownership_lost.set()


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


class OutdatedMapTests(unittest.TestCase):
    """Owners that gave up a shard while the shard map still names them."""

    def run_with_owner(self, give_up, check, *, seconds=0.0):
        """Gives up shard 0 and checks, `seconds` later, which shards are taken over."""
        local_instance, peer = build_instance("own"), build_instance("peer")
        outdated = ShardMap([ShardOwner("own", "own:1", 1)])

        async def main():
            manager = ShardManager(
                objects=None,
                transport=FakeTransport(set()),
                membership=FakeMembership(local_instance, [local_instance, peer]),
                recovery=None,
                get_map=lambda: outdated,
                shard_count=1,
                rng=random.Random(0),
            )
            manager.owned[0] = FakeShard()
            await give_up(manager, peer)
            self.assertEqual(manager.owned, {})
            await trio.sleep(seconds)
            manager._update_members(outdated)
            check(manager._list_shards_to_take_over())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def hand_over(self, manager, peer):
        await manager._hand_over(0, [peer])

    async def lose(self, manager, peer):
        manager.owned[0].journal.relinquish()
        manager._remove_lost_shards(ShardMap([]))

    def test_shard_that_was_handed_over_is_not_taken_back(self):
        """Guards against streams that the new owner loses with their starts."""
        self.run_with_owner(self.hand_over, lambda shards: self.assertEqual(shards, []))

    def test_shard_that_was_lost_is_not_taken_back(self):
        self.run_with_owner(self.lose, lambda shards: self.assertEqual(shards, []))

    def test_shard_whose_new_owner_is_never_published_is_taken_over(self):
        self.run_with_owner(
            self.hand_over, lambda shards: self.assertEqual(shards, [0]), seconds=60.0
        )


class StartAndStopTests(unittest.TestCase):
    def build_manager(self, *, state=InstanceState.LIVE):
        self.objects = FakeObjects()
        self.transport = FakeTransport(set())
        peer = build_instance("peer")
        local_instance = msgspec.structs.replace(build_instance("own"), state=state)
        return ShardManager(
            objects=self.objects,
            transport=self.transport,
            membership=FakeMembership(local_instance, [peer]),
            recovery=CallRecovery(connector=None, directory=None),
            get_map=lambda: ShardMap([]),
            shard_count=1,
            rng=random.Random(0),
        )

    async def assert_refuses(self, manager):
        body = msgspec.json.encode(AdoptRequest(0))
        with self.assertRaises(Unavailable):
            await manager._serve_adopt(
                Request(method="POST", path=ADOPT_PATH, body=body)
            )
        self.assertEqual(self.objects.writes, 0)

    def test_starting_owner_refuses_a_shard_before_it_fences_its_owner(self):
        """Guards against journals that are taken over by an owner that then fails."""

        async def main():
            await self.assert_refuses(self.build_manager())

        trio.run(main)

    def test_leaving_owner_refuses_a_shard(self):
        """Guards against shards that a planned stop leaves without an owner."""

        async def main():
            manager = self.build_manager(state=InstanceState.LEAVING)
            async with trio.open_nursery() as nursery:
                manager._nursery = nursery
                nursery.start_soon(manager._fence_sender.run)
                try:
                    await self.assert_refuses(manager)
                finally:
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_leaving_owner_hands_over_a_shard_that_it_was_taking_over(self):
        async def main():
            manager = self.build_manager(state=InstanceState.LEAVING)
            manager._taking_over.add(0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(manager.hand_over_all)
                await trio.testing.wait_all_tasks_blocked()
                manager.owned[0] = FakeShard()
                manager._taking_over.clear()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.1))
        self.assertEqual(self.transport.adopt_requests, ["peer:1"])


if __name__ == "__main__":
    unittest.main()
