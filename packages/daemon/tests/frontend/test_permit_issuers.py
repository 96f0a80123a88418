import unittest
from unittest import mock

import trio
import trio.testing

from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable
from goldcrestvane_daemon.frontend.permit_issuers import PermitIssuers
from goldcrestvane_daemon.ledger.messages import AcquirePermit, Permit, RateLimit
from goldcrestvane_daemon.ledger.view import Member, View

LIMIT = RateLimit("t1", 10.0, 0.0)
MEMBERS = tuple(
    Member(instance=f"m{n}", address=f"m{n}:1", domain="d", disk="k") for n in range(3)
)


class PermitIssuersTests(unittest.TestCase):
    def run_script(self, script, delays):
        """Runs a script; each request to a member takes the next delay, then none."""

        async def call(address, request):
            await trio.sleep(delays.pop(0) if delays else 0.0)
            return Permit(LIMIT)

        async def main():
            view = View(epoch=1, slots=MEMBERS, tolerated_losses=1)
            ledger = mock.Mock(view=view, call=call)
            await script(PermitIssuers(ledger))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_issuers_whose_responses_were_late_are_asked_again(self):
        """Guards against a second of refusals after a lost packet to each issuer."""

        async def script(issuers):
            with self.assertRaises(LedgerUnavailable):
                await issuers.acquire_permit(AcquirePermit(LIMIT))
            permit = await issuers.acquire_permit(AcquirePermit(LIMIT))
            self.assertEqual(permit.wait_seconds, 0.0)

        self.run_script(script, [0.25, 0.25])

    def test_silent_issuers_cost_each_call_one_timeout(self):
        """Guards against calls that are held although no permit can be had."""

        async def script(issuers):
            with self.assertRaises(LedgerUnavailable):
                await issuers.acquire_permit(AcquirePermit(LIMIT))
            started = trio.current_time()
            with self.assertRaises(LedgerUnavailable):
                await issuers.acquire_permit(AcquirePermit(LIMIT))
            self.assertLess(trio.current_time() - started, 0.2)

        self.run_script(script, [60.0] * 3)


if __name__ == "__main__":
    unittest.main()
