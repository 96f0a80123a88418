import unittest

from goldcrestvane_daemon.frontend.ledger_client import LedgerUnavailable
from ledger.support import run_ledger


class UnsentRequestTests(unittest.TestCase):
    def test_request_that_cannot_be_encoded_fails_alone(self):
        """Guards against a frontend that ends because of a number in one call."""

        async def script(ledger):
            with self.assertRaises(LedgerUnavailable):
                await ledger.open_turn("p1", "c1", 2**64)
            await ledger.open_turn("p2", "c2", 10)

        run_ledger(script)


if __name__ == "__main__":
    unittest.main()
