import itertools
import unittest

from goldcrestvane_daemon.ledger.view import Member, build_first_view


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

    def test_wiped_member_must_copy_from_a_read_quorum_of_other_members(self):
        view = build_view(3).replace("m2", build_member("m2", disk="empty"))
        self.assertFalse(view.can_join("m2", set()))
        self.assertFalse(view.can_join("m2", {"m0"}))
        self.assertTrue(view.can_join("m2", {"m0", "m1"}))

    def test_new_member_must_copy_from_every_group_that_it_is_in(self):
        view = build_view(7)
        others = {member.instance for member in view.slots} - {"m3"}
        self.assertTrue(view.can_join("m3", others))
        position = [m.instance for m in view.slots].index("m3")
        neighbours = {view.slots[(position + n) % 7].instance for n in (-1, 1)}
        self.assertFalse(view.can_join("m3", others - neighbours))


if __name__ == "__main__":
    unittest.main()
