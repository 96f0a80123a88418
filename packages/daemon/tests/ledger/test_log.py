import math
import unittest

import trio

from goldcrestvane_daemon.ledger.limits import StorageLimits
from goldcrestvane_daemon.ledger.log import DiskFailed, StorageFull
from goldcrestvane_daemon.ledger.records import (
    RenewalMeta,
    TurnMeta,
    build_turn_meta,
    encode_record,
    encode_turn,
)
from goldcrestvane_daemon.ledger.turn_reader import TurnUnreadable
from ledger.faulty_disk import FaultyDisk
from ledger.storage_case import StorageCase, build_charge, build_turn


class EntryLogTests(StorageCase):
    def find_largest_segment(self):
        return max(self.folder.glob("*.seg"), key=lambda path: path.stat().st_size)

    def write(self, *entries):
        async def script(storage):
            for entry in entries:
                await storage.append(entry)
            return storage.log.disk

        return self.run_storage(script)

    def read(self, *calls):
        """Returns the chains and the charges, after a restart."""

        async def script(storage):
            chains = [await storage.read_chain(call) for call in calls]
            account = storage.state.get_account("p")
            return chains, {charge.call for charge in account.charges if account}

        return self.run_storage(script)

    def test_acknowledged_entries_are_read_after_reopening(self):
        self.write(build_turn("t1"), build_charge("p", "c1"), build_turn("t2", "t1"))
        self.write(build_charge("p", "c2"), build_turn("t3", "t2"))
        self.assertEqual(self.read("t3"), ([["t3", "t2", "t1"]], {"c1", "c2"}))

    def test_torn_last_record_is_the_only_one_lost(self):
        self.write(build_charge("p", "c1"), build_turn("t1"), build_turn("t2"))
        segment = self.find_largest_segment()
        segment.write_bytes(segment.read_bytes()[:-3])
        self.assertEqual(self.read("t1", "t2"), ([["t1"], []], {"c1"}))

    def test_entries_written_after_a_torn_record_are_read(self):
        self.write(build_turn("t1"))
        segment = self.find_largest_segment()
        segment.write_bytes(segment.read_bytes() + b"\0\0\0\x05torn")
        self.write(build_charge("p", "c1"), build_turn("t2", "t1"))
        self.assertEqual(self.read("t2"), ([["t2", "t1"]], {"c1"}))

    def test_record_that_cannot_be_merged_ends_no_start_and_hides_no_other(self):
        """Guards against a member that never starts again."""
        self.write(build_charge("p", "c1"), build_turn("t1"))
        segment = self.find_largest_segment()
        last = build_turn("t3", "t1").turn
        records = [
            (TurnMeta("t2", None, math.inf, math.inf), b""),
            (TurnMeta("t2", None, 60.0, math.nan), b""),
            (RenewalMeta({"t1": math.inf}), b""),
            (build_turn_meta(last, 70.0), encode_turn(last)),
        ]
        added = [encode_record(*each, segment=1, batch=9) for each in records]
        segment.write_bytes(segment.read_bytes() + b"".join(added))
        self.assertEqual(self.read("t2", "t3"), ([[], ["t3", "t1"]], {"c1"}))

    def test_disk_id_persists_until_the_disk_is_wiped(self):
        first = self.write(build_turn("t1"))
        self.assertEqual(first, self.write())
        for path in self.folder.iterdir():
            path.unlink()
        self.assertNotEqual(first, self.write(build_charge("p", "c1")))
        self.assertEqual(self.read("t1"), ([[]], {"c1"}))

    def test_entries_without_an_id_are_discarded(self):
        """Guards against votes for partitions that a wiped disk lost."""
        self.write(build_turn("t1"))
        (self.folder / "disk-id").unlink()
        self.write(build_charge("p", "c1"))
        self.assertEqual(self.read("t1"), ([[]], {"c1"}))

    def test_disk_of_a_former_version_gets_a_new_id(self):
        """Guards against votes for entries that this version cannot read."""
        first = self.write()
        (self.folder / "synced-view").write_text("{}")
        (self.folder / "000000000001.log").write_bytes(b"entries")
        self.assertNotEqual(first, self.write())
        self.assertFalse((self.folder / "synced-view").exists())
        self.assertFalse(list(self.folder.glob("*.log")))

    def test_turn_that_is_stored_already_is_not_written_again(self):
        """Guards against three copies of each turn from three copy sources."""

        async def script(storage):
            await storage.append(build_turn("t1"))
            size = storage.log.used_bytes
            await storage.append(build_turn("t1"))
            self.assertEqual(storage.log.used_bytes, size)

        self.run_storage(script)

    def test_expiry_continues_after_a_restart(self):
        """Guards against a disk that fills since each restart keeps all for longer."""
        self.write(build_turn("t1"))

        async def script(storage):
            await storage.append(build_charge("p", "c1"))
            storage.clock.jump(40)
            await storage.append(build_turn("t2"), build_charge("p", "c2"))

        self.run_storage(script)

        async def later(storage):
            storage.clock.jump(32)
            storage.state.drop_expired()
            return [await storage.read_chain(call) for call in ("t1", "t2")]

        self.assertEqual(self.run_storage(later), [[], ["t2"]])

    def test_chain_over_several_segments_is_extended_by_its_last_turn(self):
        async def script(storage):
            for number in range(40):
                before = f"t{number - 1}" if number else None
                await storage.append(build_turn(f"t{number}", before))
                storage.clock.jump(5)
            self.assertGreater(len(storage.log.segments), 4)
            storage.state.drop_expired()
            return await storage.read_chain("t39")

        expected = [f"t{n}" for n in reversed(range(40))]
        self.assertEqual(self.run_storage(script), expected)

        async def later(storage):
            storage.clock.jump(60)
            storage.state.drop_expired()
            return await storage.read_chain("t39")

        self.assertEqual(self.run_storage(later), expected)


class FailingDiskTests(StorageCase):
    def test_full_disk_refuses_writes_serves_reads_and_recovers(self):
        async def script(storage):
            await storage.append(build_turn("t1"), build_charge("p", "c1"))
            storage.disk.is_full = True
            for entry in (build_turn("t2", "t1"), build_charge("p", "c2")):
                with self.assertRaises(DiskFailed):
                    await storage.append(entry)
                self.assertFalse(storage.state.accepts_turns)
            self.assertEqual(await storage.read_chain("t2"), [])
            self.assertEqual(await storage.read_chain("t1"), ["t1"])
            self.assertEqual(len(storage.state.get_account("p").charges), 1)
            self.assertEqual(len(list(self.folder.glob("*.seg"))), 1)
            storage.disk.is_full = False
            await storage.append(build_turn("t3", "t1"))
            self.assertTrue(storage.state.accepts_turns)
            # Nothing is written behind what may be torn.
            self.assertEqual(len(storage.log.segments), 2)

        self.run_storage(script)

        async def later(storage):
            chains = [await storage.read_chain(call) for call in ("t1", "t2", "t3")]
            self.assertEqual(chains, [["t1"], [], ["t3", "t1"]])

        self.run_storage(later)

    def test_disk_that_hangs_blocks_neither_the_loop_nor_cached_reads(self):
        async def script(storage):
            await storage.append(build_turn("t1"))
            storage.disk.may_write.clear()
            storage.disk.may_read.clear()
            done = []

            async def append(number):
                await storage.append(build_turn(f"h{number}"))
                done.append(number)

            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(append, number)
                for _ in range(50):
                    await trio.lowlevel.checkpoint()
                self.assertEqual(done, [])
                (turn,) = await storage.reader.read_chain("t1")
                self.assertEqual(turn.call, "t1")
                self.assertEqual(storage.state.turns.get("h0"), None)
                storage.disk.may_write.set()
            self.assertEqual(sorted(done), list(range(20)))

        self.run_storage(script)

    def test_writes_and_reads_that_wait_for_a_hanging_disk_are_bounded(self):
        """Guards against a memory that fills while the disk hangs."""
        limits = StorageLimits(
            cache_bytes=0, index_bytes=10**6, pending_bytes=100_000, disk_bytes=10**9
        )
        outcomes = []

        async def script(storage):
            for number in range(10):
                await storage.append(build_turn(f"t{number}", size=900_000))
            storage.disk.may_write.clear()
            storage.disk.may_read.clear()

            async def attempt(function, *args):
                try:
                    await function(*args)
                except (StorageFull, TurnUnreadable) as error:
                    outcomes.append(type(error))

            async with trio.open_nursery() as nursery:
                for number in range(40):
                    entry = build_turn(f"h{number}", size=10_000)
                    nursery.start_soon(attempt, storage.append, entry)
                for number in range(9):
                    nursery.start_soon(attempt, storage.reader.read_chain, f"t{number}")
                for _ in range(50):
                    await trio.lowlevel.checkpoint()
                self.assertLess(storage.log.pending_bytes, 120_000)
                self.assertEqual(outcomes.count(StorageFull), 30)
                self.assertEqual(outcomes.count(TurnUnreadable), 5)
                # Token charges wait, and are written with the rest.
                nursery.start_soon(attempt, storage.append, build_charge("p", "c1"))
                await trio.lowlevel.checkpoint()
                storage.disk.may_write.set()
                storage.disk.may_read.set()
            self.assertIsNotNone(storage.state.get_account("p"))

        self.run_storage(script, limits=limits, disk=FaultyDisk())


if __name__ == "__main__":
    unittest.main()
