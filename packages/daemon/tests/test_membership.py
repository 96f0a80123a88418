import random
import unittest

import msgspec
import trio
import trio.testing

from goldcrestvane_common.messages import (
    Instance,
    InstanceList,
    InstanceState,
    PingResponse,
    Role,
)
from goldcrestvane_common.paths import (
    PEER_STATE_PATH,
    PING_PATH,
)
from goldcrestvane_common.routing import (
    Request,
    Router,
)
from goldcrestvane_common.transport import ClientResponse, ConnectFailed
from goldcrestvane_daemon.membership import Membership
from goldcrestvane_daemon.owner.ranking import SuccessorRing


def build_sidecars(count=6):
    return [
        Instance(f"s{n}", Role.SIDECAR, f"host-{n}:1", f"d{n % 3}", service="ledger")
        for n in range(count)
    ]


class FakeNetwork:
    """Serves the instance list and probes; dead instances refuse connections."""

    def __init__(self, instances):
        self.instances = instances
        self.dead = set()
        self.announced = []

    async def send(self, method, peer, path, **options):
        await trio.lowlevel.checkpoint()
        if path == "/v1/instances":
            value = InstanceList(self.instances)
        elif peer in self.dead:
            raise ConnectFailed(peer)
        elif path == PEER_STATE_PATH:
            self.announced.append((peer, options["value"].state))
            value = options["value"]
        else:
            self.assert_probe(path)
            value = PingResponse("peer", "incarnation", InstanceState.LIVE)
        return ClientResponse(status=200, headers={}, body=msgspec.json.encode(value))

    def assert_probe(self, path):
        if path != PING_PATH:
            raise AssertionError(path)


class MembershipTests(unittest.TestCase):
    def run_membership(self, check):
        async def main():
            sidecars = build_sidecars()
            network = FakeNetwork(sidecars)
            membership = Membership(
                transport=network,
                instance_list_address="list:1",
                local_instance=sidecars[0],
                incarnation="own",
                rng=random.Random(1),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(membership.run)
                await membership.ready.wait()
                await check(membership, network, sidecars)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_dead_owner_keeps_its_successors(self):
        async def check(membership, network, sidecars):
            for owner in sidecars[1:]:
                before = SuccessorRing(membership.list_owner_candidates())
                successors = before.find_successors(owner.instance)
                network.dead = {owner.address}
                membership.watch_peers({owner.instance: 0.5})
                await trio.sleep(10)
                self.assertTrue(membership.is_dead(owner.instance))
                after = SuccessorRing(membership.list_owner_candidates())
                self.assertEqual(after.find_successors(owner.instance), successors)

        self.run_membership(check)

    def test_late_probe_of_a_peer_that_is_not_watched_any_more_is_ignored(self):
        async def check(membership, network, sidecars):
            network.dead = {sidecars[1].address}
            for _ in range(20):
                membership.watch_peers({"s1": 0.5})
                await trio.sleep(0.5)
                membership.watch_peers({})
            await trio.sleep(5)
            self.assertFalse(membership.is_dead("s1"))

        self.run_membership(check)

    def test_dead_instance_is_no_target_until_it_answers_probes_again(self):
        async def check(membership, network, sidecars):
            network.dead = {sidecars[1].address}
            membership.watch_peers({"s1": 0.5})
            await trio.sleep(10)
            self.assertNotIn(sidecars[1], membership.list_targets("ledger"))
            network.dead = set()
            await trio.sleep(2)
            self.assertIn(sidecars[1], membership.list_targets("ledger"))

        self.run_membership(check)

    def test_started_instance_announces_to_its_peers_that_it_is_live(self):
        async def check(membership, network, sidecars):
            await trio.sleep(1)
            notified = {peer for peer, state in network.announced}
            self.assertEqual(notified, {item.address for item in sidecars[1:]})
            states = {state for _, state in network.announced}
            self.assertEqual(states, {InstanceState.LIVE})

        self.run_membership(check)

    def test_instance_that_announces_leaving_is_no_target_before_the_list_changes(self):
        async def check(membership, network, sidecars):
            router = Router()
            membership.add_routes(router)
            leaving = PingResponse("s1", "first", InstanceState.LEAVING)
            announce = Request(
                method="POST", path=PEER_STATE_PATH, body=msgspec.json.encode(leaving)
            )
            await router.find("POST", PEER_STATE_PATH)(announce)
            self.assertNotIn(sidecars[1], membership.list_targets("ledger"))
            returned = PingResponse("s1", "second", InstanceState.LIVE)
            live_again = Request(
                method="POST", path=PEER_STATE_PATH, body=msgspec.json.encode(returned)
            )
            await router.find("POST", PEER_STATE_PATH)(live_again)
            self.assertIn(sidecars[1], membership.list_targets("ledger"))

        self.run_membership(check)


if __name__ == "__main__":
    unittest.main()
