import unittest
from unittest import mock

import trio
import trio.testing

from goldcrestvane_daemon.frontend.ledger_announcer import LedgerAnnouncer
from goldcrestvane_daemon.frontend.ledger_client import (
    RELAYED_SECONDS,
    LedgerClient,
)
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import Frontend, Frontends
from goldcrestvane_daemon.ledger.view import Member, View

MEMBERS = [
    Member(instance=f"m{n}", address=f"127.0.0.1:{n + 1}", domain=f"d{n}", disk="k")
    for n in range(3)
]


class RelayedLedgerTests(unittest.TestCase):
    """A frontend that is cut off from the members of the ledger."""

    def run_script(self, script, relay):
        async def main():
            peers = mock.Mock(relay=mock.AsyncMock(side_effect=relay))
            async with trio.open_nursery() as nursery:
                client = LedgerClient(Frontend("local", "d0"), peers, nursery)
                client.adopt(View(epoch=1, slots=tuple(MEMBERS), tolerated_losses=1))
                local = Frontend("local", "d0")
                nursery.start_soon(LedgerAnnouncer(client, peers, local).run)
                await script(client, peers)
                nursery.cancel_scope.cancel()

        with mock.patch(
            "trio.open_tcp_stream", mock.AsyncMock(side_effect=OSError("cut off"))
        ):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_frontend_that_others_relay_for_is_usable_until_they_stop(self):
        """Guards against a domain whose clients have one frontend left.

        A frontend that takes no clients because it is cut off leaves them to the others
        of its domain. When these die, the calls of the whole domain are refused.
        """

        async def script(client, peers):
            await trio.sleep(0.1)
            self.assertFalse(client.is_reachable)
            self.assertTrue(client.is_usable)
            peers.relay.side_effect = PeerUnreachable
            await trio.sleep(RELAYED_SECONDS + 0.1)
            self.assertFalse(client.is_usable)

        self.run_script(script, lambda *_: Frontends([]))

    def test_frontend_without_relays_is_not_usable(self):
        async def script(client, peers):
            await trio.sleep(1.0)
            self.assertFalse(client.is_usable)
            self.assertGreater(peers.relay.await_count, 3)

        self.run_script(script, PeerUnreachable)

    def test_one_member_that_is_relayed_to_is_no_quorum(self):
        def relay(address, *_):
            if address != MEMBERS[0].address:
                raise PeerUnreachable
            return Frontends([])

        async def script(client, peers):
            await trio.sleep(1.0)
            self.assertFalse(client.is_usable)

        self.run_script(script, relay)


if __name__ == "__main__":
    unittest.main()
