import unittest

import trio
import trio.testing

from goldcrestvane_standins.lag import LaggedValue


class LaggedValueTests(unittest.TestCase):
    def test_value_becomes_visible_after_the_lag(self):
        async def main():
            value = LaggedValue("old", lag=2.0)
            value.set("new")
            self.assertEqual(value.get(), "old")
            await trio.sleep(1.0)
            value.set("newest")
            await trio.sleep(1.0)
            self.assertEqual(value.get(), "new")
            await trio.sleep(1.0)
            self.assertEqual(value.get(), "newest")

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
