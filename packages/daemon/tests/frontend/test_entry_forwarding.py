import unittest

import trio
import trio.testing

from goldcrestvane_daemon.frontend.entry_forwarding import EntryForwarding
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    Entry,
    ForwardResult,
    TokenAccount,
    Written,
)
from goldcrestvane_daemon.ledger.view import Member, View

MEMBERS = tuple(
    Member(instance=f"m{n}", address=f"m{n}:1", domain="d", disk="k") for n in range(3)
)
VIEW = View(epoch=1, slots=MEMBERS, tolerated_losses=1)
ENTRY = Entry(account=TokenAccount("p", [], 60.0))
MAX_SECONDS = 0.5


class EntryForwardingTests(unittest.TestCase):
    def run_writes(self, call_member, count):
        """Writes in series; returns the results, and the members that were asked."""
        asked, results = [], []

        async def call(address, request):
            asked.append(address)
            return await call_member(address)

        async def main():
            async with trio.open_nursery() as nursery:
                forwarding = EntryForwarding(
                    call_member=call,
                    choose_nearest=lambda members: members[0],
                    nursery=nursery,
                    max_seconds=MAX_SECONDS,
                )
                for _ in range(count):
                    write = await forwarding.write(VIEW, MEMBERS, ENTRY, min_seconds=0)
                    results.append(bool(write.answers))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return results, asked

    def test_frontend_that_is_late_itself_does_not_write_everything_twice(self):
        """Guards against a busy frontend that sends five requests more for each write."""

        async def respond_late(address):
            await trio.sleep(0.2)
            return ForwardResult([Written(True)] * 2)

        results, _ = self.run_writes(respond_late, 20)
        self.assertGreaterEqual(sum(results), 17)

    def test_member_that_does_not_respond_is_not_chosen_again_at_once(self):
        """Guards against each write waiting for one lost member."""

        async def respond(address):
            if address == MEMBERS[0].address:
                await trio.sleep(MAX_SECONDS)
                raise PeerUnreachable("silent")
            await trio.sleep(0.01)
            return ForwardResult([Written(True)] * 2)

        results, asked = self.run_writes(respond, 20)
        self.assertEqual(results, [False] + 19 * [True])
        self.assertEqual(asked.count(MEMBERS[0].address), 1)

    def test_members_that_reach_no_quorum_do_not_delay_entries_further(self):
        """Guards against writes that wait for members that are cut off from the others."""
        times = []

        async def respond(address):
            times.append(trio.current_time())
            await trio.sleep(0.4)
            return ForwardResult([Written(True)])

        self.run_writes(respond, 20)
        self.assertLess(times[-1], 20 * 0.15)

    def test_entry_is_still_sent_while_all_members_fail(self):
        async def fail(address):
            raise PeerUnreachable("gone")

        results, asked = self.run_writes(fail, 4)
        self.assertEqual(results, 4 * [False])
        self.assertEqual(asked, [*(each.address for each in MEMBERS), asked[0]])


if __name__ == "__main__":
    unittest.main()
