import unittest

from goldcrestvane_client.output import Table, format_table


class OutputTests(unittest.TestCase):
    def test_columns_are_as_wide_as_their_widest_cell(self):
        table = Table(columns=("A", "LONG"), rows=[("wide", 1), ("x", "")])
        self.assertEqual(format_table(table), ["A     LONG", "wide  1", "x"])
