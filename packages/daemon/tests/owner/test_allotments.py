import unittest

import trio
import trio.testing

from goldcrestvane_common.errors import BudgetExceeded, Unavailable
from goldcrestvane_common.settings import Budget
from goldcrestvane_daemon.owner import records
from goldcrestvane_daemon.owner.allotments import (
    ALLOTMENTS_PER_BUDGET,
    AllotmentManager,
    AllotmentTotals,
)
from goldcrestvane_daemon.owner.journal import Journal
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)
from owner.fakes import FakeObjects

TEAM = "acme"
LIMIT = Budget(tokens=ALLOTMENTS_PER_BUDGET * 10, calls=ALLOTMENTS_PER_BUDGET)


class AllotmentManagerTests(unittest.TestCase):
    def run_shards(self, check, *, count=3):
        async def main():
            objects = FakeObjects()
            async with trio.open_nursery() as nursery:
                shards = []
                for number in range(count):
                    journal = Journal(objects, number, "owner")
                    shard = OwnedShard(number, "owner", journal)
                    await shard.open()
                    nursery.start_soon(journal.run)
                    shards.append(shard)
                await check(objects, shards)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def read_totals(self, objects):
        return objects.stored[f"budgets/{TEAM}"].decode(AllotmentTotals)

    def test_allotments_of_all_shards_never_exceed_the_budget(self):
        async def check(objects, shards):
            manager = AllotmentManager(objects)
            rejected_count = 0
            for number in range(ALLOTMENTS_PER_BUDGET * 2):
                shard = shards[number % len(shards)]
                try:
                    await manager.request_more(shard, TEAM, LIMIT, tokens=10)
                except BudgetExceeded:
                    rejected_count += 1
                    continue
                shard.append(records.TeamAllotted(TEAM, tokens=-10, calls=-1))
            totals = self.read_totals(objects)
            self.assertEqual((totals.tokens, totals.calls), (640, 64))
            self.assertEqual(rejected_count, ALLOTMENTS_PER_BUDGET)

        self.run_shards(check)

    def test_allotment_whose_write_response_is_lost_counts_once(self):
        async def check(objects, shards):
            objects.lose_answers = 1
            await AllotmentManager(objects).request_more(
                shards[0], TEAM, LIMIT, tokens=5
            )
            self.assertEqual(self.read_totals(objects).tokens, 10)
            allotment = shards[0].state.get_team_allotment(TEAM)
            self.assertEqual(allotment.allotted_tokens, 10)

        self.run_shards(check)

    def test_next_owner_restores_the_allotment_and_its_use(self):
        async def check(objects, shards):
            manager = AllotmentManager(objects)
            await manager.request_more(shards[0], TEAM, LIMIT, tokens=5)
            await shards[0].wait_durable(shards[0].append(), timeout_seconds=1.0)
            next_owner_shard = OwnedShard(0, "next", Journal(objects, 0, "next"))
            await next_owner_shard.open()
            self.assertEqual(
                next_owner_shard.state.team_allotments, shards[0].state.team_allotments
            )

        self.run_shards(check)

    def test_only_calls_beyond_the_allotment_are_rejected_during_an_outage(self):
        async def check(objects, shards):
            manager = AllotmentManager(objects)
            await manager.request_more(shards[0], TEAM, LIMIT, tokens=5)
            objects.down = True
            self.assertTrue(manager.fits(shards[0], TEAM, LIMIT, tokens=10))
            with self.assertRaises(Unavailable):
                await manager.request_more(shards[0], TEAM, LIMIT, tokens=50)

        self.run_shards(check)

    def test_team_without_limits_needs_no_allotment(self):
        async def check(objects, shards):
            manager = AllotmentManager(objects)
            self.assertTrue(manager.fits(shards[0], TEAM, Budget(), tokens=9**9))

        self.run_shards(check)


if __name__ == "__main__":
    unittest.main()
