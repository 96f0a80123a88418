import unittest

from goldcrestvane_common.settings import Priority, ProgramSettings, TeamSettings
from goldcrestvane_common.settings_tree.diff import diff_settings


class DiffTests(unittest.TestCase):
    def test_change_from_a_default_shows_the_default(self):
        old = TeamSettings(programs={"one": ProgramSettings()})
        new = TeamSettings(
            programs={"one": ProgramSettings(priority=Priority.BATCH)}, cache_weight=0.1
        )
        self.assertEqual(
            diff_settings(old, new),
            [
                "cache_weight: 0.5 -> 0.1",
                'programs.one.priority: "standard" -> "batch"',
            ],
        )

    def test_removed_program_shows_its_fields_as_absent(self):
        old = TeamSettings(programs={"one": ProgramSettings()})
        lines = diff_settings(old, TeamSettings())
        self.assertIn('programs.one.priority: "standard" -> (absent)', lines)
        self.assertEqual(lines, sorted(lines))

    def test_equal_settings_have_no_lines(self):
        self.assertEqual(diff_settings(TeamSettings(), TeamSettings()), [])
        self.assertEqual(diff_settings(None, None), [])
