import unittest

from goldcrestvane_common.settings_tree.paths import (
    PathInvalid,
    format_path,
    parse_path,
)


class PathTests(unittest.TestCase):
    def test_parts_with_dots_round_trip(self):
        for parts in (
            ("programs", "fitting", "priority"),
            ("services", "a.b", "slots"),
        ):
            self.assertEqual(parse_path(format_path(parts)), parts)

    def test_malformed_paths_are_refused(self):
        for text in ("", ".", "a.", ".a", "a..b", 'a."b', 'a"b"', '"a"b'):
            with self.subTest(text), self.assertRaises(PathInvalid):
                parse_path(text)
