import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cost.report import Target
from cost.usage import (
    TICKS_PER_SECOND,
    find_percentile,
    fit_slope,
    parse_cpu_seconds,
    parse_resident_bytes,
)


class CpuTimeTest(unittest.TestCase):
    def test_adds_user_and_system_time_after_name_with_spaces(self):
        fields = ["S", *["0"] * 10, "250", "50", "7", "7"]
        stat = "42 (a ) b) " + " ".join(fields)
        self.assertAlmostEqual(parse_cpu_seconds(stat), 300 / TICKS_PER_SECOND)

    def test_reads_resident_memory(self):
        text = "Name:\tx\nVmRSS:\t    2048 kB\nThreads:\t1\n"
        self.assertEqual(parse_resident_bytes(text), 2048 * 1024)

    def test_rejects_status_of_ended_process(self):
        with self.assertRaises(ValueError):
            parse_resident_bytes("Name:\tx\nState:\tZ\n")


class PercentileTest(unittest.TestCase):
    def test_returns_smallest_value_that_covers_share(self):
        values = [5.0, 1.0, 4.0, 2.0, 3.0]
        self.assertEqual(find_percentile(values, 0.5), 3.0)
        self.assertEqual(find_percentile(values, 0.8), 4.0)
        self.assertEqual(find_percentile(values, 0.81), 5.0)
        self.assertEqual(find_percentile(values, 0.0), 1.0)

    def test_rejects_empty_values(self):
        with self.assertRaises(ValueError):
            find_percentile([], 0.5)


class SlopeTest(unittest.TestCase):
    def test_finds_line_through_collinear_points(self):
        base, slope = fit_slope([(8, 34.0), (32, 106.0), (64, 202.0)])
        self.assertAlmostEqual(base, 10.0)
        self.assertAlmostEqual(slope, 3.0)

    def test_rejects_points_with_one_x_coordinate(self):
        with self.assertRaises(ValueError):
            fit_slope([(8, 1.0), (8, 2.0)])


class TargetTest(unittest.TestCase):
    def test_value_equal_to_limit_meets_target(self):
        self.assertTrue(Target(name="x", value=1.5, limit=1.5, unit="").met)
        self.assertFalse(Target(name="x", value=1.51, limit=1.5, unit="").met)


if __name__ == "__main__":
    unittest.main()
