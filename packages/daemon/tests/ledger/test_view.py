import itertools
import unittest

import msgspec

from goldcrestvane_daemon.ledger.view import (
    ALL_PARTITIONS,
    PARTITION_COUNT,
    Member,
    View,
    build_first_view,
)

MAX_OBJECT_BYTES = 1024 * 1024
"""Maximum size of an object that the platform's store accepts."""


def build_member(name, domain="d1", disk=None):
    return Member(
        instance=name, address=f"{name}:1", domain=domain, disk=disk or f"disk-{name}"
    )


def build_view(count, *, losses=1):
    members = [build_member(f"m{n}", f"d{n % 3}") for n in range(count)]
    return build_first_view(members, tolerated_losses=losses)


class ViewTests(unittest.TestCase):
    def test_any_two_write_quorums_share_a_member(self):
        for losses, count in ((1, 3), (1, 2), (1, 7), (2, 5), (2, 9)):
            view = build_view(count, losses=losses)
            self.assertGreater(2 * view.write_quorum, view.group_size)

    def test_every_read_quorum_shares_a_member_with_every_write_quorum(self):
        for losses, count in ((1, 3), (1, 2), (1, 1), (2, 9)):
            view = build_view(count, losses=losses)
            self.assertGreater(view.write_quorum + view.read_quorum, view.group_size)

    def test_write_quorum_remains_after_the_tolerated_losses(self):
        for losses, count in ((1, 3), (2, 5), (2, 9)):
            view = build_view(count, losses=losses)
            self.assertGreaterEqual(view.group_size - losses, view.write_quorum)

    def test_durable_entry_is_on_more_members_than_may_be_lost(self):
        for losses, count in ((1, 2), (1, 3), (2, 3), (2, 4), (2, 5), (2, 9)):
            view = build_view(count, losses=losses)
            self.assertGreater(view.write_quorum, losses)

    def test_adjacent_slots_are_in_different_domains(self):
        view = build_view(6)
        for first, second in itertools.pairwise(view.slots):
            self.assertNotEqual(first.domain, second.domain)

    def test_replacement_keeps_all_other_members_of_each_group(self):
        view = build_view(7)
        changed = view.replace("m2", build_member("new"))
        self.assertEqual(changed.epoch, view.epoch + 1)
        self.assertEqual(changed.find("new").since, changed.epoch)
        for key in map(str, range(50)):
            before = [m.instance for m in view.list_group(key)]
            after = [m.instance for m in changed.list_group(key)]
            expected = ["new" if name == "m2" else name for name in before]
            self.assertEqual(after, expected)

    def test_view_of_many_members_fits_into_one_object_of_the_store(self):
        view = build_view(24, losses=2)
        for number in range(8):
            view = view.replace(f"m{number}", build_member(f"new-{number}" * 8))
        self.assertLess(len(msgspec.json.encode(view)), MAX_OBJECT_BYTES)
        decoded = msgspec.json.decode(msgspec.json.encode(view), type=View)
        self.assertEqual(decoded.list_group("key"), view.list_group("key"))


class PartitionTests(unittest.TestCase):
    """Changes of one member move no more entries than necessary."""

    def list_changes(self):
        """Yields the names and the two views of a change of one member."""
        for losses, count in ((1, 5), (1, 9), (2, 9), (2, 11), (2, 24)):
            view = build_view(count, losses=losses)
            for number in range(count):
                removed = view.remove(f"m{number}")
                yield f"remove {number} of {count}", view, removed
                yield f"add to {count - 1}", removed, removed.add(build_member("new"))

    def test_change_of_one_member_changes_one_member_of_each_group_at_most(self):
        for name, before, after in self.list_changes():
            with self.subTest(name):
                for partition in ALL_PARTITIONS:
                    old = {m.slot for m in before.list_partition_group(partition)}
                    new = {m.slot for m in after.list_partition_group(partition)}
                    self.assertLessEqual(len(new - old), 1)
                    self.assertLessEqual(len(old - new), 1)

    def test_change_of_one_member_moves_a_limited_share_of_the_entries(self):
        for name, before, after in self.list_changes():
            with self.subTest(name):
                moved = sum(
                    before.list_partition_group(partition)
                    != after.list_partition_group(partition)
                    for partition in ALL_PARTITIONS
                )
                members = max(len(before.slots), len(after.slots))
                limit = 2 * before.group_size / members
                self.assertLessEqual(moved / PARTITION_COUNT, limit)

    def test_groups_are_spread_over_the_failure_domains(self):
        view = build_view(12, losses=1)
        for partition in ALL_PARTITIONS:
            domains = {m.domain for m in view.list_partition_group(partition)}
            self.assertEqual(len(domains), 3)

    def test_members_store_similar_shares_of_the_partitions(self):
        view = build_view(24, losses=2)
        mean = PARTITION_COUNT * view.group_size / len(view.slots)
        for member in view.slots:
            share = len(view.list_partitions(member.instance))
            self.assertLess(abs(share - mean), 0.5 * mean)

    def test_entry_on_any_write_quorum_is_in_every_read_quorum_after_a_change(self):
        """Counts as readable only if the new member copied from the fewest sources."""
        for name, before, after in self.list_changes():
            with self.subTest(name):
                for partition in ALL_PARTITIONS[:24]:
                    self.assert_readable_after(before, after, partition)

    def assert_readable_after(self, before, after, partition):
        old = {m.instance for m in before.list_partition_group(partition)}
        new = {m.instance for m in after.list_partition_group(partition)}
        needed = after.count_needed_sources(partition)
        for written in itertools.combinations(old, before.write_quorum):
            holders = set(written) & new
            for joined in new - old:
                sources = itertools.combinations(new - {joined}, needed)
                if all(set(each) & holders for each in sources):
                    holders.add(joined)
            for read in itertools.combinations(new, after.read_quorum):
                self.assertTrue(set(read) & holders, (written, read))


if __name__ == "__main__":
    unittest.main()
