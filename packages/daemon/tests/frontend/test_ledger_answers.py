import unittest

from goldcrestvane_daemon.frontend.ledger_answers import describe_write
from goldcrestvane_daemon.ledger.messages import Failed, Written


class DescribeWriteTests(unittest.TestCase):
    def test_error_says_what_each_member_did(self):
        """Guards against a failed write whose cause nobody can tell afterwards."""
        self.assertEqual(
            describe_write([], 3),
            "0 of 3 members wrote the entry (3 did not answer in time)",
        )
        answers = [Written(True), Written(False), Failed("the disk is full")]
        self.assertEqual(
            describe_write(answers, 4),
            "1 of 4 members wrote the entry (the disk is full; 1 did not answer in time; "
            "1 wrote it without a vote)",
        )


if __name__ == "__main__":
    unittest.main()
