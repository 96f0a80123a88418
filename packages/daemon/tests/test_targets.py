import unittest

import msgspec
from frontend.support import build_target

from goldcrestvane_daemon.targets import TargetState, TargetTable


class TargetTableTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.table = TargetTable(lambda: self.now)

    def put(self, instance, software, **changes):
        target = build_target(1, instance=instance)
        target = msgspec.structs.replace(target, software=software, **changes)
        self.table.put(target)
        return target

    def test_origin_is_known_only_while_all_targets_have_one_version(self):
        self.assertIsNone(self.table.get_only_origin("s1"))
        first = self.put("i-1", "v1")
        self.put("i-2", "v1")
        self.assertEqual(self.table.get_only_origin("s1"), first.origin)
        self.put("i-2", "v2", state=TargetState.DRAINING)
        self.assertIsNone(self.table.get_only_origin("s1"))
        self.table.remove("i-2")
        self.assertEqual(self.table.get_only_origin("s1"), first.origin)
        self.assertIsNone(self.table.get_only_origin("s2"))

    def test_origin_that_another_one_preceded_is_not_lasting(self):
        self.put("i-1", "v1")
        self.now = 5.0
        second = self.put("i-2", "v2")
        self.now = 20.0
        self.assertIsNone(self.table.get_lasting_origin("s1", 10.0))
        self.table.remove("i-1")
        self.now = 29.0
        self.assertIsNone(self.table.get_lasting_origin("s1", 10.0))
        self.now = 30.0
        origin = self.table.get_lasting_origin("s1", 10.0)
        self.assertEqual(origin, second.origin)
        self.table.remove("i-2")
        self.put("i-3", "v2")
        self.assertIsNone(self.table.get_lasting_origin("s1", 10.0))
        self.assertIsNone(self.table.get_lasting_origin("s2", 0.0))

    def test_streams_of_two_services_have_two_origins(self):
        first = self.put("i-1", "v1")
        second = self.put("i-2", "v1", service="s2")
        self.assertNotEqual(first.origin, second.origin)

    def test_leaving_target_stays_out_of_use_when_it_is_listed_as_ready(self):
        target = self.put("i-1", "v1")
        self.assertTrue(self.table.mark_leaving(target))
        self.assertEqual(self.table.list_ready("s1"), [])
        self.table.remove("i-1")
        self.put("i-1", "v1")
        self.assertEqual(self.table.list_ready("s1"), [])
        restarted = self.put("i-1", "v1", born_ms=5)
        self.assertEqual(self.table.list_ready("s1"), [restarted])

    def test_entry_of_an_ended_target_is_uncertain_until_it_changes(self):
        target = self.put("i-1", "v1", born_ms=1)
        self.assertTrue(self.table.mark_ended(target, now=5.0))
        self.assertFalse(self.table.mark_ended(target, now=6.0))
        self.table.confirm(6.0)
        self.assertTrue(self.table.may_have_restarted(target))
        restarted = self.put("i-1", "v1", born_ms=2)
        self.assertFalse(self.table.may_have_restarted(restarted))
        self.table.confirm(6.1)
        self.assertFalse(self.table.may_have_restarted(target))


if __name__ == "__main__":
    unittest.main()
