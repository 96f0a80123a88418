import unittest

from goldcrestvane_daemon.frontend.snapshot import Snapshot
from goldcrestvane_daemon.platform.store import StoreChanges, StoreObject


class SnapshotTests(unittest.TestCase):
    def setUp(self):
        self.snapshot = Snapshot()
        changes = StoreChanges([StoreObject("a", 4), StoreObject("b", 5)], 8)
        self.snapshot.replace(changes, confirmed_at=1.0)

    def update(self, *objects, revision=9):
        changes = StoreChanges(list(objects), revision)
        return self.snapshot.update(changes, confirmed_at=2.0)

    def test_list_or_changes_up_to_an_older_revision_are_ignored(self):
        self.assertEqual(self.update(StoreObject("a", 6), revision=7), [])
        older = StoreChanges([], 7)
        self.assertFalse(self.snapshot.replace(older, confirmed_at=2.0))
        self.assertEqual(self.snapshot.objects["a"].version, 4)
        self.assertEqual(self.snapshot.confirmed_at, 1.0)

    def test_state_that_the_copy_has_already_does_not_take_effect_again(self):
        """Guards against a drained target that is ready for a moment.

        The copy of another frontend may be newer than the watch that repeats its changes.
        """
        new = StoreObject("c", 9)
        updated = self.update(StoreObject("b", 3), StoreObject("b", 5), new)
        self.assertEqual(updated, [new])

    def test_only_the_latest_state_of_an_object_takes_effect(self):
        latest = StoreObject("a", 9)
        deleted = StoreObject("a", 8, deleted=True)
        self.assertEqual(self.update(StoreObject("a", 7), deleted, latest), [latest])
        self.assertEqual(self.snapshot.objects["a"], latest)

    def test_digest_depends_on_the_objects_alone(self):
        other = Snapshot()
        changes = StoreChanges([StoreObject("b", 5), StoreObject("a", 4)], 30)
        other.replace(changes, confirmed_at=0.0)
        self.assertEqual(other.compute_digest(), self.snapshot.compute_digest())
        self.update(StoreObject("b", 9, deleted=True))
        self.assertNotEqual(other.compute_digest(), self.snapshot.compute_digest())

    def test_age_is_that_of_the_latest_confirmation(self):
        self.snapshot.confirm(8, 3.0)
        self.snapshot.confirm(8, 2.0)
        self.assertEqual(self.snapshot.get_age(5.0), 2.0)


if __name__ == "__main__":
    unittest.main()
