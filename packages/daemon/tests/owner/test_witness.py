import unittest

import trio
import trio.testing

from goldcrestvane_common.errors import Unavailable, WrongOwner
from goldcrestvane_common.programs import (
    ProgramBeginRequest,
    ProgramEndRequest,
    ProgramShowRequest,
)
from goldcrestvane_common.settings import ProgramSettings
from goldcrestvane_daemon.owner.journal import Journal
from goldcrestvane_daemon.owner.records import TeamAllotted
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)
from goldcrestvane_daemon.owner.witness import (
    CollectRequest,
    WitnessCopy,
    WitnessStore,
    select_missing,
)
from owner.fakes import FakeObjects


def build_records(*numbers):
    return [TeamAllotted("acme", tokens=number) for number in numbers]


class FakeWitness:
    """A single witness that is called without a network."""

    def __init__(self):
        self.store = WitnessStore()
        self.reachable = True

    async def replicate(self, journal):
        await trio.lowlevel.checkpoint()
        if not self.reachable:
            return 0
        first, records = journal.list_queued()
        copy = WitnessCopy(journal.shard, journal.epoch, first, records)
        self.store.store_copy(copy)
        return 1

    async def collect(self, journal):
        await trio.lowlevel.checkpoint()
        request = CollectRequest(journal.shard, journal.epoch)
        response = self.store.collect(request)
        return select_missing(
            [response.copy] if response.copy else [],
            since=journal.record_epoch,
            committed_count=journal.committed_count,
        )


class WitnessTests(unittest.TestCase):
    def run_check(self, check):
        async def main():
            objects = FakeObjects()
            witness = FakeWitness()

            async def open_shard(owner):
                shard = OwnedShard(
                    0, owner, Journal(objects, 0, owner), witness=witness
                )
                await shard.open()
                nursery.start_soon(shard.journal.run)
                return shard

            async with trio.open_nursery() as nursery:
                await check(objects, witness, open_shard)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def read_tokens(self, shard):
        return shard.state.get_team_allotment("acme").allotted_tokens

    def test_next_owner_applies_records_of_an_outage_once(self):
        async def check(objects, witness, open_shard):
            former = await open_shard("former")
            await former.commit_or_replicate(*build_records(1))
            objects.down = True
            for number in (10, 100):
                await former.commit_or_replicate(*build_records(number))
            former.journal.relinquish()
            objects.down = False
            current = await open_shard("present")
            self.assertEqual(self.read_tokens(current), 111)
            await current.commit(*build_records(1000))
            last = await open_shard("following")
            self.assertEqual(self.read_tokens(last), 1111)

        self.run_check(check)

    def test_begin_is_not_acknowledged_without_platform_and_witness(self):
        begin = ProgramBeginRequest("acme", "review", "close")

        async def check(objects, witness, open_shard):
            former = await open_shard("former")
            objects.down, witness.reachable = True, False
            for _ in range(2):
                with self.assertRaises(Unavailable):
                    await former.begin_program(begin, ProgramSettings())
            witness.reachable = True
            await former.begin_program(begin, ProgramSettings())
            former.journal.relinquish()
            objects.down = False
            current = await open_shard("present")
            current.show_program(ProgramShowRequest("acme", "review"))

        self.run_check(check)

    def test_end_is_not_acknowledged_without_platform_and_witness(self):
        async def check(objects, witness, open_shard):
            former = await open_shard("former")
            await former.begin_program(
                ProgramBeginRequest("acme", "review", "close"), ProgramSettings()
            )
            objects.down, witness.reachable = True, False
            for _ in range(2):
                with self.assertRaises(Unavailable):
                    await former.end_program(
                        ProgramEndRequest("acme", "review"), reason=""
                    )

        self.run_check(check)

    def test_record_waits_for_the_journal_if_no_witness_responds(self):
        async def check(objects, witness, open_shard):
            former = await open_shard("former")
            objects.down, witness.reachable = True, False

            async def restore_platform():
                await trio.sleep(1.0)
                objects.down = False

            async with trio.open_nursery() as nursery:
                nursery.start_soon(restore_platform)
                is_stored = await former.commit_or_replicate(*build_records(1))
            self.assertTrue(is_stored)

        self.run_check(check)

    def test_copy_of_records_that_became_durable_is_not_applied_again(self):
        async def check(objects, witness, open_shard):
            former = await open_shard("former")
            objects.down = True
            await former.commit_or_replicate(*build_records(1))
            objects.down = False
            await trio.sleep(10)
            current = await open_shard("present")
            self.assertEqual(self.read_tokens(current), 1)

        self.run_check(check)

    def test_witness_rejects_copies_of_a_former_owner(self):
        store = WitnessStore()
        store.collect(CollectRequest(0, 5))
        with self.assertRaises(WrongOwner):
            store.store_copy(WitnessCopy(0, 4, 0, build_records(1)))

    def test_copies_of_earlier_owners_and_copies_after_a_gap_are_ignored(self):
        copies = [
            WitnessCopy(0, 3, 0, build_records(1, 2, 3, 4)),
            WitnessCopy(0, 4, 5, build_records(1)),
            WitnessCopy(0, 4, 1, build_records(2, 3)),
            WitnessCopy(0, 4, 2, build_records(3, 4)),
        ]
        missing = select_missing(copies, since=4, committed_count=2)
        self.assertEqual(missing, build_records(3, 4))

    def test_copies_remain_available_after_an_incomplete_takeover(self):
        async def check(objects, witness, open_shard):
            former = await open_shard("former")
            await former.commit_or_replicate(*build_records(1))
            objects.down = True
            await former.commit_or_replicate(*build_records(10))
            former.journal.relinquish()
            objects.down = False
            await Journal(objects, 0, "fails").open()
            current = await open_shard("present")
            self.assertEqual(self.read_tokens(current), 11)

        self.run_check(check)


if __name__ == "__main__":
    unittest.main()
