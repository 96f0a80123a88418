import unittest

import trio

from goldcrestvane_daemon.ledger.frames import PeerConnection
from goldcrestvane_daemon.ledger.messages import Announce, Frontend, Frontends, Response
from ledger.support import run_ledger

ADDRESSES = ("nowhere", "127.0.0.1:http", "127.0.0.1:99999", "a" * 80 + ".example:80")


class UnreadableAddressTests(unittest.TestCase):
    def test_announced_address_that_cannot_be_read_ends_no_frontend(self):
        """Guards against one announcement that ends all frontends by turns."""

        async def script(ledger):
            member = PeerConnection(f"127.0.0.1:{ledger.members['a'].port}", Response)
            ledger.nursery.start_soon(member.run)
            await member.connected.wait()
            for address in ADDRESSES:
                announcement = Announce(Frontend(address, "d9"), 0)
                answer = await member.call(announcement, timeout=60)
                self.assertIsInstance(answer, Frontends)
            announcer = ledger.build_announcer(ledger.client)
            ledger.nursery.start_soon(announcer.run)
            peers = announcer._frontends
            while not set(ADDRESSES) & set(peers.list_addresses()):
                await trio.sleep(0.01)
            await ledger.open_turn("p1", "c1", 10)

        run_ledger(script)


if __name__ == "__main__":
    unittest.main()
