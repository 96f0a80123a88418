import unittest

from goldcrestvane_daemon.ledger.holdings import (
    Holdings,
    list_copy_sources,
)
from goldcrestvane_daemon.ledger.view import ALL_PARTITIONS
from ledger.test_view import build_member, build_view


class HoldingsTests(unittest.TestCase):
    def adopt(self, name, *views, synced=None, disk=None):
        holdings = Holdings(name, disk or f"disk-{name}", synced)
        for view in views:
            holdings.adopt(view)
        return holdings

    def test_member_of_the_first_view_has_all_entries(self):
        view = build_view(7)
        holdings = self.adopt("m2", view)
        self.assertTrue(holdings.is_complete)
        for partition in ALL_PARTITIONS:
            own = partition in view.list_partitions("m2")
            self.assertEqual(holdings.holds(partition), own)

    def test_replacement_with_an_empty_disk_has_no_entries(self):
        view = build_view(7).replace("m2", build_member("m2", disk="empty"))
        holdings = self.adopt("m2", view, disk="empty")
        self.assertEqual(holdings.pending, view.list_partitions("m2"))
        self.assertFalse(any(map(holdings.holds, ALL_PARTITIONS)))

    def test_disk_that_was_replaced_votes_for_nothing(self):
        first = build_view(7)
        view = first.replace("m2", build_member("m2", disk="empty"))
        holdings = self.adopt("m2", first, view)
        self.assertFalse(any(map(holdings.holds, ALL_PARTITIONS)))

    def test_removal_makes_only_the_gained_partitions_pending(self):
        first = build_view(9, losses=2)
        view = first.remove("m3")
        gained = view.list_partitions("m2") - first.list_partitions("m2")
        self.assertTrue(gained)
        holdings = self.adopt("m2", first, view, synced=first)
        self.assertEqual(holdings.pending, gained)
        restarted = self.adopt("m2", view, synced=first)
        self.assertEqual(restarted.pending, gained)

    def test_member_that_left_its_slot_offers_what_it_held(self):
        first = build_view(7)
        holdings = self.adopt("m3", first, first.remove("m3"))
        for partition in ALL_PARTITIONS:
            own = partition in first.list_partitions("m3")
            self.assertEqual(holdings.held(partition), own)
            self.assertFalse(holdings.holds(partition))

    def test_member_that_missed_two_resizes_has_no_entries(self):
        first = build_view(7)
        view = first.remove("m3").remove("m4")
        holdings = self.adopt("m2", view, synced=first)
        self.assertEqual(holdings.pending, view.list_partitions("m2"))

    def test_copied_partitions_stay_copied_when_another_member_is_replaced(self):
        view = build_view(7).replace("m2", build_member("m2", disk="empty"))
        holdings = self.adopt("m2", view, disk="empty")
        copied = set(sorted(holdings.pending)[:5])
        holdings.mark_copied(copied)
        holdings.adopt(view.replace("m5", build_member("new")))
        self.assertTrue(all(map(holdings.holds, copied)))
        self.assertFalse(holdings.is_complete)

    def test_new_member_needs_a_read_quorum_of_sources_for_each_partition(self):
        view = build_view(9, losses=2).replace("m2", build_member("new"))
        for partition in view.list_partitions("new"):
            self.assertEqual(view.count_needed_sources(partition), 3)

    def test_former_members_of_other_slots_are_no_sources(self):
        view = build_view(5).replace("m2", build_member("new"))
        view = view.replace("m3", build_member("newer"))
        sources = list_copy_sources(view, None, "newer")
        names = {source.instance for source in sources}
        self.assertEqual(names, {"m0", "m1", "m4", "new", "m3"})

    def test_removed_member_is_a_source_of_the_gained_partitions(self):
        first = build_view(9, losses=2)
        view = first.remove("m3")
        gained = view.list_partitions("m2") - first.list_partitions("m2")
        (source,) = (
            each
            for each in list_copy_sources(view, first, "m2")
            if each.instance == "m3"
        )
        self.assertEqual(source.partitions, gained)

    def test_lone_other_member_is_the_only_source(self):
        view = build_view(2).replace("m1", build_member("new"))
        self.assertEqual(view.count_needed_sources(ALL_PARTITIONS[0]), 1)


if __name__ == "__main__":
    unittest.main()
