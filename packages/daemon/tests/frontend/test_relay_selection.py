import heapq
import itertools
import random
import unittest
from unittest import mock

import trio
import trio.testing

from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker
from goldcrestvane_daemon.frontend.peer_messages import Relayed
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.frontend.relay_selection import (
    FAILED_SECONDS,
    RelaySelection,
)
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import Failed, GetMemberState

MEMBER = "m1"


class RelayLoadTests(unittest.TestCase):
    """Frontends that are cut off, and relays with a queue each, in simulated time."""

    CUT_OFF = 8
    RELAYS = 14
    CHOICES = 4
    SECONDS = 6.0

    def replay(self, seed):
        """Returns the response times after the first second, sorted."""
        rng = random.Random(seed)
        # Requests that a relay passes on per second: most relays are small.
        rates = [rng.choice((200.0, 200.0, 1200.0)) for _ in range(self.RELAYS)]
        free_at = [0.0] * self.RELAYS
        events, numbers, results = [], itertools.count(), []
        for _ in range(self.CUT_OFF):
            selection = RelaySelection()
            relays = [str(n) for n in rng.sample(range(self.RELAYS), self.CHOICES)]
            at = 0.0
            while (at := at + rng.expovariate(120.0)) < self.SECONDS:
                heapq.heappush(
                    events, (at, next(numbers), "send", selection, relays, 0, at)
                )
        while events:
            now, _, kind, selection, relays, relay, sent = heapq.heappop(events)
            if kind == "send":
                relay = int(selection.rank(relays, MEMBER, now)[0])
                selection.start(str(relay))
                free_at[relay] = max(now, free_at[relay]) + 1 / rates[relay]
                heapq.heappush(
                    events,
                    (
                        free_at[relay] + 0.008,
                        next(numbers),
                        "end",
                        selection,
                        relays,
                        relay,
                        now,
                    ),
                )
            else:
                seconds = now - sent
                selection.end(
                    str(relay), MEMBER, seconds=seconds, failed=False, now=now
                )
                if sent > 1.0:
                    results.append(seconds)
        return sorted(results)

    def test_requests_of_frontends_that_are_cut_off_spread_over_the_relays(self):
        """Guards against small relays that answer seconds late while others are idle."""
        for seed in range(1, 6):
            results = self.replay(seed)
            self.assertLess(results[int(0.99 * len(results))], 0.15, seed)

    def test_relay_that_could_not_pass_on_a_request_is_asked_last_for_some_time(self):
        selection = RelaySelection()
        selection.start("a")
        selection.end("a", MEMBER, seconds=0.001, failed=True, now=1.0)
        selection.start("b")
        selection.end("b", MEMBER, seconds=0.1, failed=False, now=1.0)
        self.assertEqual(selection.rank(["a", "b"], MEMBER, 1.1), ["b", "a"])
        self.assertEqual(selection.rank(["a", "b"], "m2", 1.1), ["a", "b"])
        later = 1.1 + FAILED_SECONDS
        self.assertEqual(selection.rank(["a", "b"], MEMBER, later), ["a", "b"])

    def test_relay_that_was_slow_is_asked_again(self):
        selection = RelaySelection()
        for name, seconds in (("a", 1.0), ("b", 0.02)):
            selection.start(name)
            selection.end(name, MEMBER, seconds=seconds, failed=False, now=1.0)
        self.assertEqual(selection.rank(["a", "b"], MEMBER, 1.0), ["b", "a"])
        for _ in range(3):
            selection.start("b")
        self.assertEqual(selection.rank(["a", "b"], MEMBER, 9.0), ["a", "b"])


class FrontendRelayTests(unittest.TestCase):
    """Requests of a frontend with two others, of which the first is not sound."""

    def run_script(self, call_first):
        answered = Relayed(Failed("answered"))
        first = mock.Mock(address="first", call=mock.AsyncMock(side_effect=call_first))
        second = mock.Mock(address="second", call=mock.AsyncMock(return_value=answered))

        async def main():
            async with trio.open_nursery() as nursery:
                peers = FrontendPeers("local", CrashTracker(), nursery)
                peers._list_connected = lambda: [first, second]
                for _ in range(20):
                    answer = await peers.relay(MEMBER, GetMemberState(), 0.5)
                    self.assertEqual(answer, Failed("answered"))
                return first.call.await_count

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_request_goes_through_another_frontend_if_one_closes_the_connection(self):
        """Guards against calls that fail although another frontend would relay them."""
        count = self.run_script(PeerUnreachable("first closed the connection."))
        self.assertLess(count, 20)

    def test_slow_frontend_gets_few_requests(self):
        """Guards against a relay that is chosen since it is the first one."""

        async def respond_late(message, *, timeout):
            await trio.sleep(0.4)
            return Relayed(Failed("answered"))

        self.assertLess(self.run_script(respond_late), 3)


if __name__ == "__main__":
    unittest.main()
