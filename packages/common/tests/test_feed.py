import itertools
import unittest
from contextlib import asynccontextmanager

import trio
import trio.testing
from fakes import FakeNetwork, FakeObjects

from goldcrestvane_common.control_exchange import push_control
from goldcrestvane_common.errors import Outcome, Unavailable
from goldcrestvane_common.feed import (
    MAX_BACKOFF_SECONDS,
    MIN_BACKOFF_SECONDS,
    ControlFeed,
)
from goldcrestvane_common.routing import (
    Router,
)

KEY = "control/settings/alpha"
TEST_TIMEOUT_SECONDS = 120


def build_document(weight):
    return {"settings": {"cache_weight": weight}}


class FeedTests(unittest.TestCase):
    def setUp(self):
        self.objects = FakeObjects()
        self.network = FakeNetwork()
        self.feeds = {}

    def run_on_mock_clock(self, main):
        async def limited():
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                await main()

        trio.run(limited, clock=trio.testing.MockClock(autojump_threshold=0))

    @asynccontextmanager
    async def run_feeds(self, *names, objects=None):
        async with trio.open_nursery() as nursery:
            for name in names:
                self.start_feed(nursery, name, objects or self.objects)
            yield nursery
            nursery.cancel_scope.cancel()

    def start_feed(self, nursery, name, objects):
        feed = ControlFeed(
            objects=objects,
            transport=self.network,
            peers=lambda: [peer for peer in self.network.routers if peer != name],
            instance=name,
        )
        router = Router()
        feed.add_routes(router)
        self.network.routers[name] = router
        self.feeds[name] = feed
        nursery.start_soon(feed.run)
        return feed

    async def wait_for_version(self, feed, version):
        count = feed.change_count
        while feed.get_team_version("alpha") != version:
            count = await feed.wait_for_change(count)

    def test_list_then_watch_puts_settings_in_force(self):
        async def main():
            self.objects.put(KEY, build_document(0.1))
            async with self.run_feeds("a"):
                feed = self.feeds["a"]
                await feed.ready.wait()
                self.assertEqual(feed.get_team("alpha").cache_weight, 0.1)
                self.objects.put(KEY, build_document(0.2))
                await self.wait_for_version(feed, 2)
                self.assertEqual(feed.get_team("alpha").cache_weight, 0.2)
                self.assertEqual(feed.get_team_versions(), {"alpha": 2})
                self.assertEqual(feed.get_object(KEY).version, 2)

        self.run_on_mock_clock(main)

    def test_team_is_unknown_only_after_a_complete_copy(self):
        """Guards against a final refusal of a team that a new process has not read yet."""

        async def main():
            self.objects.put(KEY, build_document(0.1))
            async with trio.open_nursery() as nursery:
                feed = self.start_feed(nursery, "a", self.objects)
                for team in ("alpha", "nobody"):
                    with self.assertRaises(Unavailable) as raised:
                        feed.get_team(team)
                    self.assertIs(raised.exception.call_outcome, Outcome.NOT_RUN)
                    self.assertGreater(raised.exception.retry_after, 0)
                await feed.ready.wait()
                self.assertIsNotNone(feed.get_team("alpha"))
                self.assertIsNone(feed.get_team("nobody"))
                nursery.cancel_scope.cancel()

        self.run_on_mock_clock(main)

    def test_stale_server_reverts_nothing_and_is_watched_again(self):
        async def main():
            self.objects.put(KEY, build_document(0.1), version=8)
            async with self.run_feeds("a"):
                feed = self.feeds["a"]
                await feed.ready.wait()
                self.objects.put(KEY, build_document(0.9), version=3)
                await trio.sleep(20)
                self.assertEqual(feed.get_team("alpha").cache_weight, 0.1)
                self.objects.put(KEY, build_document(0.2), version=9)
                await self.wait_for_version(feed, 9)

        self.run_on_mock_clock(main)

    def test_restarted_server_with_an_empty_store_deletes_nothing(self):
        async def main():
            self.objects.put(KEY, build_document(0.1), version=8)
            async with self.run_feeds("a"):
                await self.feeds["a"].ready.wait()
                self.objects.objects.clear()
                self.objects.revision = 1
                self.objects.wake()
                await trio.sleep(20)
                self.assertIsNotNone(self.feeds["a"].get_team("alpha"))

        self.run_on_mock_clock(main)

    def test_deletion_leaves_a_tombstone(self):
        async def main():
            self.objects.put(KEY, build_document(0.1))
            async with self.run_feeds("a"):
                feed = self.feeds["a"]
                await feed.ready.wait()
                stale = feed.get_object(KEY)
                self.objects.put(KEY, None, deleted=True)
                await self.wait_for_version(feed, 2)
                await push_control(self.network, "a", [stale])
                self.assertIsNone(feed.get_team("alpha"))
                self.assertIsNone(feed.get_object(KEY))

        self.run_on_mock_clock(main)

    def test_revision_too_old_lists_again(self):
        async def main():
            async with self.run_feeds("a"):
                await self.feeds["a"].ready.wait()
                self.objects.oldest = 5
                self.objects.put(KEY, build_document(0.1), version=6)
                await self.wait_for_version(self.feeds["a"], 6)
            names = [name for _, name in self.objects.calls]
            self.assertEqual(names.count("list"), 2)

        self.run_on_mock_clock(main)

    def test_change_accepted_right_before_an_outage_spreads(self):
        async def main():
            self.objects.put(KEY, build_document(0.1))
            names = [f"process-{number}" for number in range(12)]
            async with self.run_feeds(*names):
                for feed in self.feeds.values():
                    await feed.ready.wait()
                self.objects.set_outage(True)
                accepted = self.objects.put(KEY, build_document(0.2))
                await push_control(self.network, names[0], [accepted])
                for feed in self.feeds.values():
                    await self.wait_for_version(feed, 2)

        self.run_on_mock_clock(main)

    def test_process_started_in_an_outage_copies_a_peer(self):
        async def main():
            self.objects.put(KEY, build_document(0.1))
            async with self.run_feeds("a") as nursery:
                await self.feeds["a"].ready.wait()
                self.objects.set_outage(True)
                late = self.start_feed(nursery, "late", self.objects)
                await late.ready.wait()
                self.assertEqual(late.get_team_version("alpha"), 1)

        self.run_on_mock_clock(main)

    def test_peers_without_a_copy_make_no_process_ready(self):
        async def main():
            self.objects.outage = True
            async with self.run_feeds("a", "b"):
                await trio.sleep(30)
                self.assertFalse(self.feeds["a"].ready.is_set())
                self.assertFalse(self.feeds["b"].ready.is_set())
                self.objects.set_outage(False)
                await self.feeds["a"].ready.wait()

        self.run_on_mock_clock(main)

    def test_processes_with_different_servers_agree_on_the_highest_version(self):
        async def main():
            behind = FakeObjects()
            behind.put(KEY, build_document(0.1), version=3)
            self.objects.put(KEY, build_document(0.2), version=5)
            async with self.run_feeds("a") as nursery:
                other = self.start_feed(nursery, "b", behind)
                await self.wait_for_version(self.feeds["a"], 5)
                await self.wait_for_version(other, 5)
                behind.put(KEY, build_document(0.4), version=4)
                await trio.sleep(10)
                self.assertEqual(other.get_team("alpha").cache_weight, 0.2)

        self.run_on_mock_clock(main)

    def test_backoff_stays_in_its_range_and_differs_between_processes(self):
        async def main():
            self.objects.outage = True
            calls = {}
            for name in ("a", "b"):
                self.objects.calls.clear()
                async with self.run_feeds(name):
                    await trio.sleep(30)
                times = [time for time, _ in self.objects.calls]
                calls[name] = [
                    later - earlier for earlier, later in itertools.pairwise(times)
                ]
            for waits in calls.values():
                self.assertGreater(len(waits), 5)
                self.assertGreaterEqual(min(waits), MIN_BACKOFF_SECONDS)
                self.assertLessEqual(max(waits), MAX_BACKOFF_SECONDS + 1e-6)
            self.assertNotEqual(calls["a"][:5], calls["b"][:5])

        self.run_on_mock_clock(main)

    def test_undecodable_settings_leave_the_previous_ones_in_force(self):
        async def main():
            self.objects.put(KEY, build_document(0.1))
            async with self.run_feeds("a"):
                feed = self.feeds["a"]
                await feed.ready.wait()
                with self.assertLogs("goldcrestvane.settings", "ERROR") as logs:
                    self.objects.put(KEY, build_document("much"))
                    await feed.wait_for_change(feed.change_count)
                self.assertIn("settings apply alpha", logs.output[0])
                self.assertEqual(feed.get_team("alpha").cache_weight, 0.1)
                self.assertEqual(feed.get_team_versions(), {"alpha": 1})

        self.run_on_mock_clock(main)
