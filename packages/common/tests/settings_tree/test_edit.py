import unittest

from goldcrestvane_common.settings import Priority, ServiceKind, TeamSettings
from goldcrestvane_common.settings_tree.edit import parse_value, remove_path, set_path
from goldcrestvane_common.settings_tree.paths import PathInvalid
from goldcrestvane_common.settings_tree.validation import SettingsInvalid


class EditTests(unittest.TestCase):
    def test_set_creates_missing_parents(self):
        settings = set_path(None, "programs.one.priority", "interactive")
        self.assertIs(settings.programs["one"].priority, Priority.INTERACTIVE)
        settings = set_path(settings, 'services."a.b".kind', "model")
        self.assertIs(settings.services["a.b"].kind, ServiceKind.MODEL)

    def test_remove_restores_the_default(self):
        settings = set_path(None, "cache_weight", 0.1)
        self.assertEqual(remove_path(settings, "cache_weight"), TeamSettings())

    def test_remove_of_an_unset_path_is_refused(self):
        for path in ("cache_weight", "programs.one"):
            with self.subTest(path), self.assertRaises(PathInvalid):
                remove_path(TeamSettings(), path)

    def test_path_through_a_plain_value_is_refused(self):
        with self.assertRaises(PathInvalid):
            set_path(TeamSettings(cache_weight=0.1), "cache_weight.more", 1)

    def test_edit_with_faults_is_refused(self):
        with self.assertRaises(SettingsInvalid):
            set_path(None, "cache_weight", "much")

    def test_value_is_json_or_plain_text(self):
        self.assertEqual(parse_value("3"), 3)
        self.assertEqual(parse_value("null"), None)
        self.assertEqual(parse_value("batch"), "batch")
