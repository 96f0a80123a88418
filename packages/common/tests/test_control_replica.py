import unittest

import msgspec

from goldcrestvane_common.control_replica import ControlReplica
from goldcrestvane_common.objects import ObjectList, StoredObject


def build(key, version, value=None, *, deleted=False):
    raw = msgspec.Raw(msgspec.json.encode(value))
    return StoredObject(key=key, version=version, value=raw, deleted=deleted)


class ControlReplicaTests(unittest.TestCase):
    def test_lower_or_equal_version_changes_nothing(self):
        replica = ControlReplica()
        replica.merge([build("control/a", 5, "new")])
        stale = [build("control/a", 5, "other"), build("control/a", 3, "old")]
        self.assertEqual(replica.merge(stale), [])
        self.assertEqual(replica.get("control/a").decode(str), "new")

    def test_tombstone_is_replaced_by_a_later_write_only(self):
        replica = ControlReplica()
        replica.merge([build("control/a", 5), build("control/a", 7, deleted=True)])
        replica.merge([build("control/a", 5)])
        self.assertTrue(replica.get("control/a").deleted)
        replica.merge([build("control/a", 8)])
        self.assertFalse(replica.get("control/a").deleted)

    def test_snapshot_deletes_missing_objects(self):
        replica = ControlReplica()
        replica.merge([build("control/a", 5), build("control/b", 6)])
        replica.merge_snapshot(ObjectList(9, [build("control/b", 6)]))
        self.assertTrue(replica.get("control/a").deleted)
        self.assertEqual(replica.get("control/a").version, 9)
        self.assertFalse(replica.get("control/b").deleted)

    def test_stale_snapshot_deletes_no_newer_object(self):
        replica = ControlReplica()
        replica.merge([build("control/a", 5)])
        replica.merge_snapshot(ObjectList(4, []))
        self.assertFalse(replica.get("control/a").deleted)

    def test_keys_outside_the_prefix_are_ignored(self):
        replica = ControlReplica()
        self.assertEqual(replica.merge([build("journal/a", 5)]), [])

    def test_digest_depends_on_versions_and_not_on_their_order(self):
        one, other = ControlReplica(), ControlReplica()
        one.merge([build("control/a", 1), build("control/b", 2)])
        one.merge([build("control/a", 4, deleted=True)])
        other.merge([build("control/a", 4, deleted=True), build("control/b", 2)])
        self.assertEqual(one.digest, other.digest)
        other.merge([build("control/b", 3)])
        self.assertNotEqual(one.digest, other.digest)
