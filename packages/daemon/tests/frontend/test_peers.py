import unittest
from collections import Counter
from unittest import mock

import trio

from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker
from goldcrestvane_daemon.frontend.peers import MAX_PEERS, FrontendPeers
from goldcrestvane_daemon.ledger.messages import Frontend
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


if __name__ == "__main__":
    unittest.main()
