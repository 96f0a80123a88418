import unittest

from goldcrestvane_daemon.ledger import turn_reader
from goldcrestvane_daemon.ledger.limits import StorageLimits
from goldcrestvane_daemon.ledger.messages import (
    EntriesMerged,
    Failed,
    PullEntries,
    PushEntries,
    ReadChain,
    TurnChain,
    Write,
    Written,
    get_stamp,
)
from goldcrestvane_daemon.ledger.service import LedgerService
from goldcrestvane_daemon.ledger.turn_reader import PAGE_BYTES
from goldcrestvane_daemon.ledger.view import ALL_PARTITIONS, get_partition
from ledger.storage_case import StorageCase, build_charge, build_turn
from ledger.test_view import build_view


def list_keys_of_one_partition(count):
    keys = (f"key{number}" for number in range(100 * 256 * count))
    return [key for key in keys if get_partition(key) == 3][:count]


class TurnReaderTests(StorageCase):
    def test_partition_larger_than_a_page_is_copied_in_pages(self):
        """Guards against a page that exceeds a frame.

        At the planned size a member has three partitions, so a partition has as much
        as a third of its disk.
        """
        keys = list_keys_of_one_partition(30)

        async def script(storage):
            for key in keys:
                await storage.append(build_turn(key, size=40_000))
                await storage.append(build_charge(key, "c"))
            storage.empty_cache()
            page = await storage.reader.read_page([3, 4])
            self.assertLess(sum(e.size for e in page.entries), PAGE_BYTES + 60_000)
            self.assertEqual(page.covered, [])
            copied = await storage.copy_all(ALL_PARTITIONS)
            self.assertEqual(sorted(copied), sorted(keys * 2))

        self.run_storage(script, segment_bytes=10**6)

    def test_copied_turn_is_kept_as_long_as_its_chain(self):
        """Guards against a chain that a new member keeps for a part of its retention."""

        async def script(storage):
            await storage.append(build_turn("short"))
            await storage.append(build_turn("long", "short", retention=600.0))
            storage.clock.jump(100)
            page = await storage.reader.read_page(ALL_PARTITIONS)
            kept = {
                each.turn.call: each.turn.retention_seconds for each in page.entries
            }
            self.assertEqual(kept["long"], 600.0)
            self.assertAlmostEqual(kept["short"], 500.0, delta=1.0)

        self.run_storage(script)

    def test_long_chain_is_returned_in_parts(self):
        """Guards against a response as large as a chain of a thousand turns."""

        async def script(storage):
            for number in range(12):
                before = f"t{number - 1}" if number else None
                await storage.append(build_turn(f"t{number}", before, size=300_000))
            chain = []
            tip = "t11"
            while tip is not None:
                part = await storage.reader.read_chain(tip)
                size = sum(len(turn.input) for turn in part)
                self.assertLess(size, turn_reader.MAX_CHAIN_BYTES + 310_000)
                chain += part
                tip = chain[-1].previous
            calls = [turn.call for turn in chain]
            self.assertEqual(calls, [f"t{n}" for n in reversed(range(12))])

        self.run_storage(script, segment_bytes=10**6)


class ServiceTests(StorageCase):
    """Requests to a member whose disk is full or damaged get an honest answer."""

    view = build_view(5)

    def setUp(self):
        super().setUp()
        self.folder.mkdir()
        (self.folder / "disk-id").write_text(self.view.find("m0").disk)
        own = self.view.list_partitions("m0")
        calls = (f"c{number}" for number in range(999))
        self.calls = [call for call in calls if get_partition(call) in own][:40]

    def build_service(self, storage):
        service = LedgerService("m0", storage.log, storage.state)
        service.adopt(self.view)
        return service

    def write(self, service, entry):
        return service.handle(Write(get_stamp(self.view), entry))

    def read(self, service, call):
        return service.handle(ReadChain(get_stamp(self.view), call))

    def test_full_member_refuses_turns_and_takes_charges(self):
        limits = StorageLimits(
            cache_bytes=0, index_bytes=2000, pending_bytes=10**9, disk_bytes=10**9
        )

        async def script(storage):
            service = self.build_service(storage)
            answers = [
                await self.write(service, build_turn(call)) for call in self.calls
            ]
            self.assertIsInstance(answers[0], Written)
            self.assertIsInstance(answers[-1], Failed)
            answer = await self.write(service, build_charge("p", "c"))
            self.assertIsInstance(answer, Written)
            push = PushEntries(self.view, [build_turn("pushed")])
            self.assertIsInstance(await service.handle(push), Failed)
            first, last = self.calls[0], self.calls[-1]
            self.assertEqual(len((await self.read(service, first)).turns), 1)
            self.assertEqual((await self.read(service, last)).turns, [])

        self.run_storage(script, limits=limits)

    def test_damaged_turn_gets_no_vote_and_its_partition_is_no_source(self):
        async def script(storage):
            service = self.build_service(storage)
            for call in self.calls:
                await self.write(service, build_turn(call))
            storage.empty_cache()
            indexed = storage.state.turns.get(self.calls[0])
            path = self.folder / f"{indexed.segment.number:012d}.seg"
            with path.open("r+b") as file:
                file.seek(indexed.offset + indexed.length - 1)
                file.write(b"!")
            answer = await self.read(service, self.calls[0])
            self.assertIsInstance(answer, Failed)
            answer = await self.read(service, self.calls[1])
            self.assertIsInstance(answer, TurnChain)
            partitions = sorted(self.view.list_partitions("m0"))
            page = await service.handle(PullEntries(self.view, partitions))
            lacking = set(page.covered) - set(page.complete)
            self.assertEqual(lacking, {get_partition(self.calls[0])})
            # A member that gets the turn again has it again.
            await self.write(service, build_turn(self.calls[0]))
            self.assertEqual(len((await self.read(service, self.calls[0])).turns), 1)
            page = await service.handle(PullEntries(self.view, partitions))
            self.assertEqual(page.covered, page.complete)

        self.run_storage(script)

    def test_pages_are_stored_by_another_member(self):
        async def script(storage):
            service = self.build_service(storage)
            for call in self.calls:
                await self.write(service, build_turn(call))
            storage.empty_cache()
            partitions = sorted(self.view.list_partitions("m0"))
            return await service.handle(PullEntries(self.view, partitions))

        page = self.run_storage(script)
        self.folder = self.folder.with_name("other")

        async def store(storage):
            service = self.build_service(storage)
            push = PushEntries(self.view, page.entries)
            self.assertIsInstance(await service.handle(push), EntriesMerged)
            for call in self.calls:
                self.assertEqual(await storage.read_chain(call), [call])

        self.run_storage(store)


if __name__ == "__main__":
    unittest.main()
