import tempfile
import unittest
from pathlib import Path

import trio

from goldcrestvane_daemon.ledger.log import EntryLog, decode_records, encode_record
from goldcrestvane_daemon.ledger.messages import Entry, TokenAccount, TokenCharge, Turn


def build_entry(number):
    return Entry(
        account=TokenAccount(f"p{number}", [TokenCharge(f"c{number}", number)], 60.0)
    )


class EntryLogTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"

    def write(self, entries):
        async def main():
            log = EntryLog(self.folder)
            found = list(log.open())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(log.run, lambda: iter(()))
                for entry in entries:
                    await log.append([entry])
                nursery.cancel_scope.cancel()
            return log, found

        return trio.run(main)

    def read(self):
        return list(EntryLog(self.folder).open())

    def test_acknowledged_entries_are_read_after_reopening(self):
        entries = [build_entry(n) for n in range(5)]
        self.write(entries)
        self.assertEqual(self.read(), entries)

    def test_torn_last_record_is_the_only_one_lost(self):
        self.write([build_entry(n) for n in range(3)])
        segment = max(self.folder.glob("*.log"), key=lambda path: path.stat().st_size)
        data = segment.read_bytes()
        segment.write_bytes(data[:-3])
        self.assertEqual(self.read(), [build_entry(0), build_entry(1)])

    def test_entries_written_after_a_torn_record_are_read(self):
        self.write([build_entry(0)])
        segment = max(self.folder.glob("*.log"), key=lambda path: path.stat().st_size)
        segment.write_bytes(segment.read_bytes() + b"\0\0\0\x05torn")
        self.write([build_entry(1)])
        self.assertEqual(self.read(), [build_entry(0), build_entry(1)])

    def test_damaged_record_is_not_read(self):
        record = bytearray(encode_record(build_entry(1)))
        record[-1] ^= 1
        self.assertEqual(list(decode_records(bytes(record))), [])

    def test_disk_id_persists_until_the_disk_is_wiped(self):
        first, _ = self.write([build_entry(0)])
        second, _ = self.write([])
        self.assertEqual(first.disk, second.disk)
        for path in self.folder.iterdir():
            path.unlink()
        third, found = self.write([])
        self.assertNotEqual(first.disk, third.disk)
        self.assertEqual(found, [])

    def test_compaction_keeps_only_live_entries(self):
        big = Entry(turn=Turn("c0", None, b"x" * 17_000_000, b"", 60.0))

        async def main():
            log = EntryLog(self.folder)
            list(log.open())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(log.run, lambda: iter([build_entry(7)]))
                await log.append([big])
                await log.append([build_entry(8)])
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(self.read(), [build_entry(7), build_entry(8)])


if __name__ == "__main__":
    unittest.main()
