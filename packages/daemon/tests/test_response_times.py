import unittest

from goldcrestvane_daemon.response_times import ResponseTimeout


class ResponseTimeoutTests(unittest.TestCase):
    def setUp(self):
        self.timeout = ResponseTimeout(minimum=0.1, maximum=0.5)

    def test_usual_responses_leave_the_minimum(self):
        self.assertEqual(self.timeout.seconds, 0.1)
        for _ in range(100):
            self.timeout.record(0.02)
        self.assertEqual(self.timeout.seconds, 0.1)

    def test_process_that_is_late_itself_does_not_take_all_peers_for_slow(self):
        """Guards against a busy process that sends everything twice."""
        for number in range(20):
            self.timeout.record(0.15 + 0.05 * (number % 2))
        self.assertGreater(self.timeout.seconds, 0.2)

    def test_one_slow_response_has_no_lasting_effect(self):
        for _ in range(20):
            self.timeout.record(0.02)
        self.timeout.record(0.4)
        for _ in range(20):
            self.timeout.record(0.02)
        self.assertEqual(self.timeout.seconds, 0.1)

    def test_timeout_stays_below_its_maximum(self):
        self.timeout.record(3.0)
        self.assertEqual(self.timeout.seconds, 0.5)


if __name__ == "__main__":
    unittest.main()
