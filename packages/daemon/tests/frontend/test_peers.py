import unittest
from collections import Counter

import trio

from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker
from goldcrestvane_daemon.frontend.peers import MAX_PEERS, FrontendPeers
from goldcrestvane_daemon.ledger.messages import Frontend

DOMAINS = ("d0", "d1", "d2")


class PeersTests(unittest.TestCase):
    def choose_peers(self, own, frontends):
        chosen = set()

        async def main():
            async with trio.open_nursery() as nursery:
                peers = FrontendPeers(own.address, CrashTracker(), nursery)
                peers.update_frontends(frontends, own.domain)
                chosen.update(peers.list_addresses())
                nursery.cancel_scope.cancel()

        trio.run(main)
        return chosen

    def test_relays_share_the_work_of_frontends_that_are_cut_off(self):
        """Replays twenty frontends that announced themselves to the same members."""
        frontends = [
            Frontend(f"127.0.0.1:{9000 + n}", DOMAINS[n % 3]) for n in range(20)
        ]
        counts = Counter()
        for own in frontends:
            chosen = self.choose_peers(own, frontends)
            self.assertEqual(len(chosen), MAX_PEERS)
            domains = {f.domain for f in frontends if f.address in chosen}
            self.assertNotIn(own.domain, domains)
            counts.update(chosen)
        self.assertGreaterEqual(len(counts), 15)
        self.assertLessEqual(max(counts.values()), 3 * MAX_PEERS)


if __name__ == "__main__":
    unittest.main()
