"""Freeing space, also if the power is lost between any two of its steps."""

import random
import tempfile
import unittest
from pathlib import Path

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from goldcrestvane_daemon.ledger.compaction import choose_rewritten, list_removable
from goldcrestvane_daemon.ledger.log import DiskFailed
from goldcrestvane_daemon.ledger.segments import Segment
from goldcrestvane_daemon.ledger.view import ALL_PARTITIONS
from ledger.faulty_disk import FaultyDisk
from ledger.storage_case import (
    SEGMENT_BYTES,
    StorageCase,
    build_charge,
    build_turn,
)


def build_segment(number, *, size=1000, live=0, accounts=0):
    segment = Segment(number, Path(str(number)))
    segment.size = size
    segment.live_bytes, segment.live_turns = live, min(live, 1)
    segment.account_count = accounts
    return segment


class DecisionTests(unittest.TestCase):
    def choose(self, segments, share=0.25, account_bytes=100):
        chosen = choose_rewritten(
            segments, account_bytes=account_bytes, max_live_share=share
        )
        return chosen.number if chosen else None

    def test_segment_with_turns_or_behind_accounts_is_not_removed(self):
        """Guards against the loss of charges in later segments of an account."""
        segments = [
            build_segment(1),
            build_segment(2, live=10),
            build_segment(3),
            build_segment(4, accounts=1),
            build_segment(5),
        ]
        removable = [each.number for each in list_removable(segments)]
        self.assertEqual(removable, [1, 3])

    def test_rewriting_frees_at_least_three_times_what_it_writes(self):
        segments = [build_segment(1, live=300), build_segment(2, live=200)]
        self.assertEqual(self.choose(segments), 2)
        self.assertEqual(self.choose(segments, share=0.5), 1)
        self.assertIsNone(self.choose(segments[:1]))

    def test_accounts_of_older_segments_count_as_written(self):
        """Guards against rewriting all accounts again and again."""
        segments = [build_segment(1, live=900, accounts=9), build_segment(2)]
        self.assertIsNone(self.choose(segments))
        self.assertEqual(self.choose(segments, account_bytes=10), 2)

    def test_segment_with_a_damaged_record_is_left(self):
        """Guards against an endless attempt to rewrite it."""
        segment = build_segment(1)
        segment.is_damaged = True
        self.assertIsNone(self.choose([segment]))


async def write_old_and_new(storage, before_step=None):
    """Writes many segments, most entries of which expire.

    Of the old ones, the chain of `k`, and the charges of `p`, are still needed.
    """
    for number in range(12):
        await storage.append(
            build_turn(f"old{number}"), build_charge("q", f"q{number}")
        )
        if number % 6 == 0:
            before = f"k{number - 6}" if number else None
            await storage.append(
                build_turn(f"k{number}", before), build_charge("p", f"p{number}")
            )
    storage.clock.jump(50)
    for number in range(4):
        await storage.append(build_turn(f"new{number}"))
    await storage.append(build_turn("k12", "k6"), build_charge("p", "p12"))
    storage.clock.jump(40)
    storage.state.drop_expired()


CHAIN = ["k12", "k6", "k0"]
CHARGES = {"p0", "p6", "p12"}


class FreeSpaceTests(StorageCase):
    async def check_needed(self, storage):
        self.assertEqual(await storage.read_chain("k12"), CHAIN)
        for number in range(4):
            call = f"new{number}"
            self.assertEqual(await storage.read_chain(call), [call])
        account = storage.state.get_account("p")
        self.assertEqual({charge.call for charge in account.charges}, CHARGES)

    def test_rewritten_turn_of_a_longer_chain_does_not_move_the_clock(self):
        """Guards against a restart that drops kept turns after mixed retentions.

        A turn that is kept for a minute is continued by one that is kept for ten. See
        review/7.
        """

        async def write(storage):
            await storage.append(build_turn("short"))
            for number in range(12):
                await storage.append(build_turn(f"old{number}"))
            await storage.append(build_turn("long", "short", retention=600.0))
            storage.clock.jump(80)
            storage.state.drop_expired()
            await storage.append(build_turn("kept"), build_charge("p", "c"))
            before = storage.state.turns.get("short").segment.number
            await storage.compactor.free_space()
            self.assertGreater(storage.state.turns.get("short").segment.number, before)
            return storage.state.now

        async def read(storage):
            self.assertEqual(await storage.read_chain("kept"), ["kept"])
            self.assertEqual(await storage.read_chain("long"), ["long", "short"])
            self.assertIsNotNone(storage.state.get_account("p"))
            return storage.state.now

        self.assertAlmostEqual(
            self.run_storage(write), self.run_storage(read), delta=1.0
        )

    def test_space_is_reused_and_what_is_needed_stays(self):
        async def script(storage):
            await write_old_and_new(storage)
            used = storage.log.used_bytes
            await storage.compactor.free_space()
            self.assertLess(storage.log.used_bytes, used / 2)
            self.assertEqual(
                sum(path.stat().st_size for path in self.folder.glob("*.seg")),
                storage.log.used_bytes,
            )
            await self.check_needed(storage)

        self.run_storage(script)
        self.run_storage(self.check_needed)

    def test_account_is_kept_after_its_segments_are_removed(self):
        async def script(storage):
            await write_old_and_new(storage)
            first = min(storage.log.segments)
            await storage.compactor.free_space()
            self.assertGreater(min(storage.log.segments), first)
            self.assertGreater(storage.state.accounts.get("p").oldest.number, first)
            # Its charges are merged with those that arrive after the rewriting.
            await storage.append(build_charge("p", "late"))

        self.run_storage(script)

        async def later(storage):
            charges = storage.state.get_account("p").charges
            self.assertEqual({charge.call for charge in charges}, CHARGES | {"late"})

        self.run_storage(later)

    def test_rewritten_turn_keeps_its_expiry_over_a_restart(self):
        async def script(storage):
            await storage.append(build_turn("k", retention=500.0))
            for number in range(12):
                await storage.append(build_turn(f"old{number}"))
            storage.clock.jump(100)
            storage.state.drop_expired()
            place = storage.state.turns.get("k").segment
            await storage.compactor.free_space()
            self.assertIsNot(storage.state.turns.get("k").segment, place)

        self.run_storage(script)

        async def later(storage):
            await storage.append(build_charge("p", "c"))
            storage.clock.jump(380)
            storage.state.drop_expired()
            self.assertEqual(await storage.read_chain("k"), ["k"])
            storage.clock.jump(140)
            storage.state.drop_expired()
            self.assertEqual(await storage.read_chain("k"), [])

        self.run_storage(later)

    def test_renewal_outlives_its_segment_and_a_restart(self):
        async def script(storage):
            await storage.append(build_turn("k", retention=100.0))
            while storage.log.active.size < SEGMENT_BYTES:
                call = f"with{storage.log.active.size}"
                await storage.append(build_turn(call, retention=300.0))
            first = storage.log.active
            storage.clock.jump(50)
            # The renewal is in a segment with turns that expire early.
            await storage.log.renew(["k"], 300.0)
            renewal = storage.state.turns.get("k").renewal
            self.assertIsNot(renewal, first)
            for number in range(12):
                await storage.append(build_turn(f"old{number}"))
            storage.clock.jump(100)
            storage.state.drop_expired()
            await storage.compactor.free_space()
            self.assertIn(first.number, storage.log.segments)
            self.assertNotIn(renewal.number, storage.log.segments)

        self.run_storage(script)

        async def later(storage):
            storage.state.drop_expired()
            self.assertEqual(storage.state.turns.get("k").segment.number, 1)
            storage.clock.jump(150)
            storage.state.drop_expired()
            self.assertEqual(await storage.read_chain("k"), ["k"])

        self.run_storage(later)

    def test_segment_that_is_being_read_is_readable_until_the_read_ends(self):
        async def script(storage):
            await write_old_and_new(storage)
            storage.empty_cache()
            indexed = storage.state.turns.get("k0")
            segment = indexed.segment
            segment.readers += 1
            place = indexed.offset, indexed.length
            await storage.compactor.free_space()
            self.assertNotIn(segment.number, storage.log.segments)
            self.assertEqual(segment.read_turn(*place).call, "k0")
            segment.end_read()
            self.assertEqual(segment.descriptor, -1)

        self.run_storage(script)

    def test_partitions_are_copied_whole_while_segments_are_replaced(self):
        """Guards against a copy that misses what moves between two pages."""

        async def script(storage):
            for number in range(400):
                await storage.append(
                    build_turn(f"long{number}", size=2500, retention=500.0),
                    build_turn(f"short{number}", size=9000),
                )
            storage.clock.jump(80)
            storage.state.drop_expired()
            replaced = set()

            async def free_a_segment():
                storage.empty_cache()
                segment = storage.compactor._choose_rewritten()
                if segment is not None:
                    replaced.add(segment.number)
                    await storage.compactor._rewrite(segment)
                    await storage.compactor._remove_unneeded()

            keys = await storage.copy_all(ALL_PARTITIONS, free_a_segment)
            self.assertGreater(len(replaced), 3)
            self.assertEqual(sorted(keys), sorted(f"long{n}" for n in range(400)))

        self.run_storage(script, segment_bytes=50_000)

    def test_damaged_turn_is_neither_served_nor_denied_nor_rewritten_for_ever(self):
        async def script(storage):
            await write_old_and_new(storage)
            storage.empty_cache()
            indexed = storage.state.turns.get("k0")
            path = self.folder / f"{indexed.segment.number:012d}.seg"
            with path.open("r+b") as file:
                file.seek(indexed.offset + indexed.length - 1)
                file.write(b"!")
            await storage.compactor.free_space()
            self.assertEqual(await storage.read_chain("k12"), ["k12", "k6"])
            self.assertIsNotNone(storage.state.turns.get("k0"))
            self.assertEqual(len(storage.state.damaged), 1)

        self.run_storage(script)

    def test_full_disk_during_the_rewriting_loses_nothing(self):
        async def script(storage):
            await write_old_and_new(storage)
            storage.disk.is_full = True
            with self.assertRaises(DiskFailed):
                await storage.compactor.free_space()
            await self.check_needed(storage)
            storage.disk.is_full = False
            await storage.compactor.free_space()
            await self.check_needed(storage)

        self.run_storage(script)
        self.run_storage(self.check_needed)

    def test_power_loss_between_any_two_steps_loses_nothing_acknowledged(self):
        disk = FaultyDisk()

        async def script(storage):
            await write_old_and_new(storage)
            disk.mark("written")
            await storage.compactor.free_space()

        self.run_storage(script, disk=disk)
        operations = disk.operations
        written = operations.index(("mark", "written"))
        self.assertGreater(len(operations) - written, 10)
        ways = [lambda n: 0, lambda n: n - 1]
        ways += [random.Random(seed).randrange for seed in range(4)]
        for end in range(written, len(operations) + 1):
            for number, way in enumerate(ways):
                with self.subTest(end=end, way=number):
                    self.restore_after_power_loss(operations[:end], way)
                    self.run_storage(self.check_needed)


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("turn"), st.integers(0, 5)),
        st.tuples(st.just("charge"), st.integers(0, 2)),
        st.tuples(st.just("wait"), st.integers(1, 30)),
        st.tuples(st.just("renew"), st.integers(0, 5)),
        st.tuples(st.just("free"), st.just(0)),
        st.tuples(st.just("full"), st.integers(0, 5)),
        st.tuples(st.just("power loss"), st.integers(0, 10**6)),
    ),
    min_size=30,
    max_size=60,
)


class Model:
    """What a member has acknowledged, with the time of its last use."""

    def __init__(self):
        self.now = 0
        self.previous = {}
        self.used_at = {}
        self.charges = {}
        self.charged_at = {}
        self.tips = {}

    def use(self, call):
        """Keeps a new turn and the turns before it, up to one that is not kept."""
        owed = self.list_owed()
        self.used_at[call] = self.now
        while (call := self.previous[call]) in owed:
            self.used_at[call] = self.now

    def list_owed(self):
        return [call for call, used in self.used_at.items() if used + 60 > self.now]


class RandomHistoryTests(StorageCase):
    """Writes, expiry, freeing of space, full disks and losses of power in any order."""

    @settings(
        derandomize=True,
        max_examples=60,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(operations=OPERATIONS)
    def test_every_acknowledged_entry_is_kept_for_its_retention(self, operations):
        with tempfile.TemporaryDirectory() as folder:
            self.folder = Path(folder) / "data"
            self.model, self.number = Model(), 0
            position = 0
            while position < len(operations):
                disk = FaultyDisk()
                position, way = self.run_until_power_loss(operations, position, disk)
                disk.operations.insert(0, ("sync folder",))
                for name, data in self.files.items():
                    disk.operations[:0] = [
                        ("create", name),
                        ("write", name, 0, data),
                        ("sync", name),
                    ]
                self.restore_after_power_loss(disk.operations, way)

    def run_until_power_loss(self, operations, position, disk):
        self.files = {
            path.name: path.read_bytes() for path in self.folder.glob("*.seg")
        }

        async def script(storage):
            storage.state.drop_expired()
            await self.check(storage)
            for index in range(position, len(operations)):
                kind, argument = operations[index]
                if kind == "power loss":
                    return index + 1, random.Random(argument).randrange
                await self.do(storage, kind, argument)
            await self.check(storage)
            return len(operations), lambda n: n - 1

        return self.run_storage(script, disk=disk, segment_bytes=1500)

    async def do(self, storage, kind, argument):
        model = self.model
        self.number += 1
        call = f"c{self.number}"
        previous = model.tips.get(argument)
        if previous not in model.list_owed():
            previous = None
        if kind == "turn":
            await storage.append(build_turn(call, previous))
            model.previous[call] = previous
            model.tips[argument] = call
            model.use(call)
        elif kind == "renew":
            owed = model.list_owed()
            calls = random.Random(argument).sample(owed, len(owed) // 2)
            await storage.log.renew(calls, 60.0)
            for call in calls:
                model.used_at[call] = model.now
        elif kind == "charge":
            program = f"p{argument}"
            await storage.append(build_charge(program, call))
            if model.charged_at.get(program, -100) + 60 <= model.now:
                model.charges[program] = set()
            model.charges[program].add(call)
            model.charged_at[program] = model.now
        elif kind == "wait":
            storage.clock.jump(argument)
            model.now += argument
            storage.state.drop_expired()
        elif kind == "free":
            await storage.compactor.free_space()
        else:
            storage.disk.is_full = True
            with self.assertRaises(DiskFailed):
                await storage.append(build_turn(call, previous))
            self.assertIsNone(storage.state.turns.get(call))
            storage.disk.is_full = False

    async def check(self, storage):
        model = self.model
        for call in model.list_owed():
            # A renewal keeps a turn without the turns before it.
            expected = [call]
            while (previous := model.previous[expected[-1]]) in model.list_owed():
                expected.append(previous)
            chain = await storage.read_chain(call)
            self.assertEqual(chain[: len(expected)], expected)
        for program, charged_at in model.charged_at.items():
            if charged_at + 60 > model.now:
                charges = storage.state.get_account(program).charges
                found = {charge.call for charge in charges}
                self.assertLessEqual(model.charges[program], found)


if __name__ == "__main__":
    unittest.main()
