import unittest

import trio
import trio.testing

from goldcrestvane_standins.prefixes import PrefixCache


def words(text):
    return tuple(text.split())


class PrefixCacheTests(unittest.TestCase):
    def run_with_clock(self, main):
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_match_returns_the_longest_prefix_of_all_sessions(self):
        async def main():
            cache = PrefixCache(capacity=100, event_lag=0.0, gap_every=0)
            cache.store("one", words("a b c"))
            cache.store("two", words("a b c d x"))
            self.assertEqual(cache.match(words("a b c d e f")), 4)
            self.assertEqual(cache.match(words("b a")), 0)

        self.run_with_clock(main)

    def test_least_recently_used_session_is_evicted(self):
        async def main():
            cache = PrefixCache(capacity=6, event_lag=0.0, gap_every=0)
            cache.store("one", words("a b"))
            cache.store("two", words("c d"))
            cache.match(words("a b"))
            cache.store("three", words("e f g"))
            sessions = cache.take_snapshot().sessions
            self.assertEqual(sessions, {"one": 2, "three": 3})
            self.assertEqual(cache.tokens, 5)

        self.run_with_clock(main)

    def test_events_are_delayed_and_have_gaps(self):
        async def main():
            cache = PrefixCache(capacity=10, event_lag=5.0, gap_every=2)
            for session in ("one", "two", "three"):
                cache.store(session, words("a b"))
            self.assertEqual(cache.list_events(0).events, [])
            await trio.sleep(5.0)
            shown = cache.list_events(0)
            self.assertEqual([event.sequence for event in shown.events], [1, 3])
            self.assertEqual(shown.next, 3)
            self.assertEqual(cache.list_events(3).events, [])

        self.run_with_clock(main)
