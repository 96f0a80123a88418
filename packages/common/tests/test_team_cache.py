import unittest

import msgspec

from goldcrestvane_common import team_cache
from goldcrestvane_common.control_replica import ControlReplica
from goldcrestvane_common.objects import StoredObject
from goldcrestvane_common.settings import (
    TeamDocument,
    TeamSettings,
    build_settings_key,
)
from goldcrestvane_common.team_cache import TeamCache


def build_team(number, *, version, weight=0.5):
    document = TeamDocument(TeamSettings(cache_weight=weight))
    value = msgspec.Raw(msgspec.json.encode(document))
    return StoredObject(build_settings_key(f"t{number}"), version, value)


class TeamCacheTest(unittest.TestCase):
    def setUp(self):
        self.cache = TeamCache()

    def test_teams_evicted_from_the_decoded_cache_are_decoded_again(self):
        count = team_cache.MAX_DECODED_TEAMS + 10
        for number in range(count):
            team = build_team(number, version=number + 1, weight=number / count)
            self.cache.update(team)
        for _ in range(2):
            for number in range(count):
                found = self.cache.get(f"t{number}")
                self.assertEqual(found.version, number + 1)
                self.assertEqual(found.settings.cache_weight, number / count)

    def test_change_replaces_the_decoded_settings(self):
        self.cache.update(build_team(1, version=1, weight=0.1))
        self.assertEqual(self.cache.get("t1").settings.cache_weight, 0.1)
        self.cache.update(build_team(1, version=2, weight=0.9))
        self.assertEqual(self.cache.get("t1").settings.cache_weight, 0.9)
        self.assertEqual(self.cache.get_team_versions(), {"t1": 2})

    def test_unreadable_settings_leave_the_previous_ones_in_force(self):
        self.cache.update(build_team(1, version=1, weight=0.1))
        broken = StoredObject(build_settings_key("t1"), 2, msgspec.Raw(b'{"a"'))
        with self.assertLogs("goldcrestvane.settings", "ERROR"):
            self.cache.update(broken)
        self.assertEqual(self.cache.get("t1").settings.cache_weight, 0.1)
        self.assertEqual(self.cache.get("t1").version, 1)

    def test_removed_team_has_a_version_and_no_settings(self):
        self.cache.update(build_team(1, version=1))
        self.cache.update(StoredObject(build_settings_key("t1"), 3, deleted=True))
        self.assertIsNone(self.cache.get("t1").settings)
        self.assertEqual(self.cache.get("t1").version, 3)

    def test_unknown_team_is_none(self):
        self.assertIsNone(self.cache.get("t1"))


class MergeTest(unittest.TestCase):
    def test_merge_returns_objects_detached_from_the_message(self):
        replica = ControlReplica()
        data = msgspec.json.encode([build_team(1, version=1)])
        (received,) = msgspec.json.decode(data, type=list[StoredObject])
        (held,) = replica.merge([received])
        self.assertIs(held, replica.get(received.key))
        self.assertIsNot(held, received)


if __name__ == "__main__":
    unittest.main()
