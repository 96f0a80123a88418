import unittest

import trio

from goldcrestvane_daemon.frontend.permit_issuers import PermitIssuers
from goldcrestvane_daemon.ledger.messages import AcquirePermit, RateLimit
from goldcrestvane_daemon.ledger.rate_limits import (
    MAX_RETRY_SECONDS,
    STANDBY_SHARE,
    PermitIssuer,
)
from ledger.support import run_ledger

TARGET = "i-1 10.0.0.1:80 0"


def build_request(rate, age=0.0, max_wait=0.0):
    return AcquirePermit(RateLimit(TARGET, rate, age), max_wait)


def count_issued(issuer, rate, *, share, seconds):
    """Asks for a permit every 10 ms and returns the number of permits."""
    request = build_request(rate)
    permits = (
        issuer.issue(request, share=share, now=step / 100)
        for step in range(int(seconds * 100))
    )
    return sum(permit.wait_seconds is not None for permit in permits)


class PermitIssuerTests(unittest.TestCase):
    def test_first_choice_issues_the_limit_and_the_standby_a_half(self):
        for share in (1.0, STANDBY_SHARE):
            issued = count_issued(PermitIssuer(), 4.0, share=share, seconds=20)
            self.assertAlmostEqual(issued, 20 * 4.0 * share, delta=2)

    def test_latest_observation_decides_in_any_order_of_arrival(self):
        issuer = PermitIssuer()
        issuer.record(RateLimit(TARGET, 4.0, 0.0), now=10.0)
        issuer.record(RateLimit(TARGET, 2.0, 0.0), now=12.0)
        issuer.record(RateLimit(TARGET, None, 3.0), now=14.0)
        self.assertEqual([each.rate for each in issuer.list_limits(14.0)], [2.0])
        issuer.record(RateLimit(TARGET, None, 0.0), now=15.0)
        permit = issuer.issue(build_request(2.0, age=3.0), share=1.0, now=15.0)
        self.assertEqual((permit.wait_seconds, permit.limit.rate), (0.0, None))

    def test_refused_frontends_are_told_different_times(self):
        issuer = PermitIssuer()
        permits = [
            issuer.issue(build_request(5.0), share=1.0, now=0.0) for _ in range(6)
        ]
        times = [each.retry_seconds for each in permits if each.wait_seconds is None]
        self.assertEqual(len(times), 5)
        self.assertEqual(times, sorted(set(times)))
        self.assertLessEqual(max(times), MAX_RETRY_SECONDS)

    def test_reserved_calls_are_spaced_at_the_limit(self):
        issuer = PermitIssuer()
        permits = [
            issuer.issue(build_request(5.0, max_wait=0.5), share=1.0, now=0.0)
            for _ in range(6)
        ]
        waits = [each.wait_seconds for each in permits]
        self.assertEqual(waits[3:], [None] * 3)
        for wait, expected in zip(waits, (0.0, 0.2, 0.4), strict=False):
            self.assertAlmostEqual(wait, expected)


class PermitsOfTheLedgerTests(unittest.TestCase):
    def test_permits_are_issued_when_the_first_choice_is_down(self):
        async def script(ledger):
            issuers = PermitIssuers(ledger.client)
            first = ledger.client.view.rank_permit_issuers(TARGET)[0]
            permit = await issuers.acquire_permit(build_request(1.0))
            self.assertEqual(permit.wait_seconds, 0.0)
            permit = await issuers.acquire_permit(build_request(1.0))
            self.assertIsNone(permit.wait_seconds)
            await ledger.members[first.instance].stop()
            permit = await issuers.acquire_permit(build_request(1.0))
            self.assertEqual(permit.wait_seconds, 0.0)

        run_ledger(script)

    def test_frontend_learns_a_limit_that_another_one_has_reported(self):
        async def script(ledger):
            await PermitIssuers(ledger.client).report_limit(RateLimit(TARGET, 3.0, 0.0))
            known = []
            other = ledger.build_client()
            other.adopt(ledger.client.view)
            announcer = ledger.build_announcer(other, known.append)
            ledger.nursery.start_soon(announcer.run)
            await ledger.wait(lambda: known)
            self.assertEqual((known[0].target, known[0].rate), (TARGET, 3.0))
            await trio.lowlevel.checkpoint()

        run_ledger(script)


if __name__ == "__main__":
    unittest.main()
