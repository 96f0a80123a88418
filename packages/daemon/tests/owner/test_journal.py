import unittest

import trio
import trio.testing

from goldcrestvane_daemon.owner import journal as journal_module
from goldcrestvane_daemon.owner.journal import Journal, OwnershipLost
from goldcrestvane_daemon.owner.records import TeamAllotted
from owner.fakes import FakeObjects


def build_record(number):
    return TeamAllotted("acme", tokens=number)


class JournalTests(unittest.TestCase):
    def run_journal(self, check):
        async def main():
            objects = FakeObjects()
            async with trio.open_nursery() as nursery:
                await check(objects, nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def open_journal(self, objects, nursery, owner="first"):
        journal = Journal(objects, 0, owner)
        records = await journal.open()
        nursery.start_soon(journal.run)
        return journal, records

    def test_next_owner_reads_committed_records_in_order(self):
        async def check(objects, nursery):
            journal, _ = await self.open_journal(objects, nursery)
            for number in range(5):
                await journal.wait(journal.append([build_record(number)]))
            _, records = await self.open_journal(objects, nursery, "second")
            self.assertEqual(records, [build_record(n) for n in range(5)])

        self.run_journal(check)

    def test_former_owner_cannot_commit(self):
        async def check(objects, nursery):
            former, _ = await self.open_journal(objects, nursery)
            current, _ = await self.open_journal(objects, nursery, "second")
            with self.assertRaises(OwnershipLost):
                await former.wait(former.append([build_record(1)]))
            self.assertGreater(current.epoch, former.epoch)
            _, records = await self.open_journal(objects, nursery, "third")
            self.assertEqual(records, [])

        self.run_journal(check)

    def test_record_whose_write_response_is_lost_is_committed_once(self):
        async def check(objects, nursery):
            journal, _ = await self.open_journal(objects, nursery)
            objects.lose_answers = 1
            await journal.wait(journal.append([build_record(1)]))
            await journal.wait(journal.append([build_record(2)]))
            _, records = await self.open_journal(objects, nursery, "second")
            self.assertEqual(records, [build_record(1), build_record(2)])

        self.run_journal(check)

    def test_second_process_of_an_instance_takes_ownership_from_the_first(self):
        async def check(objects, nursery):
            first = Journal(objects, 0, "same")
            second = Journal(objects, 0, "same")
            await first.open()
            await second.open()
            nursery.start_soon(first.run)
            with self.assertRaises(OwnershipLost):
                await first.wait(first.append([build_record(1)]))

        self.run_journal(check)

    def test_records_are_queued_during_an_outage_and_committed_afterwards(self):
        async def check(objects, nursery):
            journal, _ = await self.open_journal(objects, nursery)
            objects.down = True
            durable = journal.append([build_record(1)])
            await trio.sleep(600)
            self.assertTrue(journal.store_unavailable)
            self.assertFalse(durable.is_set())
            objects.down = False
            await journal.wait(durable)
            self.assertFalse(journal.store_unavailable)

        self.run_journal(check)

    def test_records_appended_together_share_a_write(self):
        async def check(objects, nursery):
            journal, _ = await self.open_journal(objects, nursery)
            before = objects.writes
            events = [journal.append([build_record(n)]) for n in range(100)]
            for event in events:
                await journal.wait(event)
            self.assertEqual(objects.writes - before, 1)

        self.run_journal(check)

    def test_compaction_includes_queued_records_and_preserves_the_state(self):
        async def check(objects, nursery):
            journal, _ = await self.open_journal(objects, nursery)
            total = 0
            journal.set_snapshot_builder(lambda: [build_record(total)])
            size = journal_module.MIN_COMPACTION_BYTES // 8
            filler = TeamAllotted("x" * size)
            for number in range(40):
                total += number
                records = [build_record(number), filler]
                await journal.wait(journal.append(records))
            segments = [key for key in objects.stored if "segment" in key]
            self.assertLess(len(segments), 20)
            _, records = await self.open_journal(objects, nursery, "second")
            tokens = sum(record.tokens for record in records)
            self.assertEqual(tokens, total)

        self.run_journal(check)


if __name__ == "__main__":
    unittest.main()
