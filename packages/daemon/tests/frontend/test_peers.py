import random
import unittest
from collections import Counter
from unittest import mock

import trio
import trio.testing

from goldcrestvane_daemon.frontend import peers as peers_module
from goldcrestvane_daemon.frontend.copy_bounds import CopyBounds
from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker
from goldcrestvane_daemon.frontend.object_cache import ObjectCache
from goldcrestvane_daemon.frontend.peer_messages import (
    FetchObjects,
    FrontendResponse,
    ObjectsCopy,
)
from goldcrestvane_daemon.frontend.peers import MAX_PEERS, FrontendPeers
from goldcrestvane_daemon.ledger.frames import PeerConnection
from goldcrestvane_daemon.ledger.messages import Failed, Frontend, GetMemberState
from goldcrestvane_daemon.platform.store import ObjectKind

DOMAINS = ("d0", "d1", "d2")


class FrontendPeersTests(unittest.TestCase):
    def choose_peers(self, local_frontend, frontends):
        chosen = set()

        async def main():
            async with trio.open_nursery() as nursery:
                peers = FrontendPeers(local_frontend.address, CrashTracker(), nursery)
                peers.update_frontends(frontends, local_frontend.domain)
                chosen.update(peers.list_addresses())
                nursery.cancel_scope.cancel()

        trio.run(main)
        return chosen

    def test_frontends_choose_different_peers_in_other_domains(self):
        """Guards against relays that are overloaded because all frontends choose them.

        Twenty frontends have announced themselves to the same members.
        """
        frontends = [
            Frontend(f"127.0.0.1:{9000 + n}", DOMAINS[n % 3]) for n in range(20)
        ]
        counts = Counter()
        for local_frontend in frontends:
            chosen = self.choose_peers(local_frontend, frontends)
            self.assertEqual(len(chosen), MAX_PEERS)
            domains = {f.domain for f in frontends if f.address in chosen}
            self.assertNotIn(local_frontend.domain, domains)
            counts.update(chosen)
        self.assertGreaterEqual(len(counts), 15)
        self.assertLessEqual(max(counts.values()), 3 * MAX_PEERS)

    def test_peers_stay_while_members_name_changing_parts_of_the_frontends(self):
        """Guards against relayed requests that end with their connections."""
        frontends = [
            Frontend(f"127.0.0.1:{9000 + n}", DOMAINS[n % 3]) for n in range(22)
        ]

        async def main():
            rng = random.Random(1)
            async with trio.open_nursery() as nursery:
                peers = FrontendPeers("local", CrashTracker(), nursery)
                for _ in range(12):
                    peers.update_frontends(rng.sample(frontends, 16), DOMAINS[0])
                    await trio.sleep(0.5)
                chosen = set(peers.list_addresses())
                for _ in range(60):
                    peers.update_frontends(rng.sample(frontends, 16), DOMAINS[0])
                    await trio.sleep(0.5)
                    self.assertEqual(set(peers.list_addresses()), chosen)
                nursery.cancel_scope.cancel()

        with mock.patch(
            "trio.open_tcp_stream", mock.AsyncMock(side_effect=OSError("none"))
        ):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_replaced_connection_still_brings_the_responses_that_it_awaits(self):
        """Guards against relayed requests that end with their connections."""

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                relay = FrontendPeers(address, CrashTracker(), nursery)
                arrived, released = trio.Event(), trio.Event()

                async def call_member(*_):
                    arrived.set()
                    await released.wait()
                    return Failed("answered")

                relay.set_handlers(call_member, mock.Mock())
                nursery.start_soon(trio.serve_listeners, relay.serve, listeners)
                peers = FrontendPeers("local", CrashTracker(), nursery)
                peers.update_frontends([Frontend(address, "d1")], "d0")
                answers = []

                async def ask():
                    answers.append(await peers.relay("m", GetMemberState(), 60.0))

                with trio.fail_after(60):
                    while not peers._list_connected():
                        await trio.sleep(0.01)
                    async with trio.open_nursery() as asking:
                        asking.start_soon(ask)
                        await arrived.wait()
                        others = [
                            Frontend(f"127.0.0.1:{n + 1}", "d1")
                            for n in range(MAX_PEERS)
                        ]
                        with mock.patch.object(peers_module, "KNOWN_SECONDS", 0.0):
                            peers.update_frontends(others, "d0")
                        peers.update_frontends(others, "d0")
                        self.assertNotIn(address, peers.list_addresses())
                        released.set()
                self.assertEqual(answers, [Failed("answered")])
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_copy_is_asked_of_one_frontend_after_the_other(self):
        """Guards against checks that cost each frontend a message to all others."""

        async def main():
            async with trio.open_nursery() as nursery:
                peers = FrontendPeers("local", CrashTracker(), nursery)
                connected = [mock.AsyncMock() for _ in range(MAX_PEERS)]
                with mock.patch.object(peers, "_list_connected", lambda: connected):
                    for _ in range(2 * MAX_PEERS):
                        await peers.fetch_copy(ObjectKind.TARGETS, 1, "digest")
                counts = [peer.call.await_count for peer in connected]
                self.assertEqual(counts, [2] * MAX_PEERS)

        trio.run(main)


class ForeignRequestTests(unittest.TestCase):
    """Requests that no frontend of this version sends."""

    def test_request_for_a_kind_without_a_copy_does_not_end_the_frontend(self):
        async def main():
            cache = ObjectCache(
                store=mock.Mock(),
                targets=mock.Mock(),
                ledger=mock.Mock(),
                frontends=mock.Mock(),
                bounds=CopyBounds(),
                rng=random.Random(1),
                on_change=mock.Mock(),
            )
            async with trio.open_nursery() as nursery:
                peers = FrontendPeers("local", CrashTracker(), nursery)
                peers.set_handlers(mock.AsyncMock(), cache.get_copy)
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                nursery.start_soon(trio.serve_listeners, peers.serve, listeners)
                peer = PeerConnection(address, FrontendResponse)
                nursery.start_soon(peer.run)
                with trio.fail_after(60):
                    await peer.connected.wait()
                    for kind in ("retirements", "another"):
                        answer = await peer.call(FetchObjects(kind, 0), timeout=60)
                        self.assertEqual(answer, ObjectsCopy(None))
                nursery.cancel_scope.cancel()

        trio.run(main)


class SharedDeathsTests(unittest.TestCase):
    """Deaths that frontends tell each other, over loopback."""

    async def start(self, nursery, tracker, seeds=()):
        """Starts a frontend and returns its address."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        peers = FrontendPeers(address, tracker, nursery)
        nursery.start_soon(trio.serve_listeners, peers.serve, listeners)
        peers.connect_seeds(list(seeds))
        return address

    async def wait_blocked(self, tracker, fingerprint):
        with trio.fail_after(10):
            while not tracker.is_blocked(fingerprint):
                await trio.sleep(0.01)

    def test_started_frontend_learns_the_deaths_that_others_know(self):
        """Guards against a request that crashes targets again at each restart."""

        async def main():
            first, second = CrashTracker(), CrashTracker()
            first.record_deaths("f", ["t1", "t2", "t3"], 50.0)
            async with trio.open_nursery() as nursery:
                address = await self.start(nursery, first)
                await self.start(nursery, second, [address])
                await self.wait_blocked(second, "f")
                (known,) = second.list_recent(10)
                self.assertLessEqual(known.seconds_left, 50.0)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_frontend_that_was_restarted_is_asked_again(self):
        async def main():
            first, second = CrashTracker(), CrashTracker()
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                peers = FrontendPeers(address, first, nursery)
                connections = []

                async def serve(stream):
                    connections.append(stream)
                    await peers.serve(stream)

                nursery.start_soon(trio.serve_listeners, serve, listeners)
                await self.start(nursery, second, [address])
                with trio.fail_after(10):
                    while not connections:
                        await trio.sleep(0.01)
                await trio.sleep(0.1)
                first.record_deaths("f", ["t1", "t2", "t3"])
                await trio.aclose_forcefully(connections[0])
                await self.wait_blocked(second, "f")
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_cleared_request_is_cleared_at_other_frontends(self):
        """Guards against a sound request that is refused where it was not answered."""

        async def main():
            first, second = CrashTracker(), CrashTracker()
            second.record_deaths("f", ["t1", "t2"])
            first.record_deaths("f", ["t1", "t2", "t3"])
            first.clear("f")
            first.record_deaths("f", ["t4"])
            first.record_deaths("last", ["t5", "t6", "t7"])
            async with trio.open_nursery() as nursery:
                address = await self.start(nursery, first)
                await self.start(nursery, second, [address])
                await self.wait_blocked(second, "last")
                with trio.fail_after(10):
                    while second.count_deaths("f") != 1:
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_expired_deaths_are_not_told(self):
        async def main():
            tracker = CrashTracker()
            tracker.record_deaths("old", ["t1"], 5.0)
            tracker.record_deaths("new", ["t1"], 50.0)
            trio.lowlevel.current_clock().jump(10.0)
            self.assertEqual([d.fingerprint for d in tracker.list_recent(9)], ["new"])
            self.assertEqual(tracker.list_recent(0), [])

        trio.run(main, clock=trio.testing.MockClock())


if __name__ == "__main__":
    unittest.main()
