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
    def test_adds_user_and_system_time_behind_a_name_with_blanks(self):
        fields = ["S", *["0"] * 10, "250", "50", "7", "7"]
        stat = "42 (a ) b) " + " ".join(fields)
        self.assertAlmostEqual(parse_cpu_seconds(stat), 300 / TICKS_PER_SECOND)

    def test_reads_the_resident_memory(self):
        text = "Name:\tx\nVmRSS:\t    2048 kB\nThreads:\t1\n"
        self.assertEqual(parse_resident_bytes(text), 2048 * 1024)

    def test_refuses_a_process_that_has_ended(self):
        with self.assertRaises(ValueError):
            parse_resident_bytes("Name:\tx\nState:\tZ\n")


class PercentileTest(unittest.TestCase):
    def test_takes_the_smallest_value_that_covers_the_share(self):
        values = [5.0, 1.0, 4.0, 2.0, 3.0]
        self.assertEqual(find_percentile(values, 0.5), 3.0)
        self.assertEqual(find_percentile(values, 0.8), 4.0)
        self.assertEqual(find_percentile(values, 0.81), 5.0)
        self.assertEqual(find_percentile(values, 0.0), 1.0)

    def test_refuses_no_values(self):
        with self.assertRaises(ValueError):
            find_percentile([], 0.5)


class SlopeTest(unittest.TestCase):
    def test_finds_the_line_through_exact_points(self):
        base, slope = fit_slope([(8, 34.0), (32, 106.0), (64, 202.0)])
        self.assertAlmostEqual(base, 10.0)
        self.assertAlmostEqual(slope, 3.0)

    def test_refuses_one_size(self):
        with self.assertRaises(ValueError):
            fit_slope([(8, 1.0), (8, 2.0)])


class TargetTest(unittest.TestCase):
    def test_meets_its_limit_when_equal(self):
        self.assertTrue(Target(name="x", value=1.5, limit=1.5, unit="").met)
        self.assertFalse(Target(name="x", value=1.51, limit=1.5, unit="").met)


if __name__ == "__main__":
    unittest.main()
