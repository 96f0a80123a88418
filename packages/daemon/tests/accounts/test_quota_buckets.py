import subprocess
import sys
import unittest

from goldcrestvane_daemon.accounts.directory import Quota, QuotaTolerance
from goldcrestvane_daemon.accounts.quota_buckets import (
    EXPIRY_SECONDS,
    ISSUED_SECONDS,
    QuotaBuckets,
    compute_share,
    count_issuers,
)
from goldcrestvane_daemon.accounts.quota_items import GrantUse, QuotaItem, QuotaLimit

TOLERANCE = QuotaTolerance()
LONG_AGO = float("-inf")


class Member:
    """Buckets of one of three members; requests name one account."""

    def __init__(self, began=LONG_AGO):
        self.buckets = QuotaBuckets(TOLERANCE, 1)
        self.began = began

    def ask(
        self, wanted, *, now, rate=12.0, burst=12.0, version=1, prefetched=0, uses=()
    ):
        limit = QuotaLimit(version, rate, burst)
        item = QuotaItem("shop", limit, wanted, prefetched, list(uses))
        return self.buckets.handle(item, members=3, began=self.began, now=now)

    def drain(self, now, **options):
        """Uses all tokens that there are, and returns their number."""
        total = 0
        while tokens := (grant := self.ask(100, now=now, **options)).tokens:
            total += tokens
            self.ask(0, now=now, uses=[GrantUse(grant.grant, tokens, 0)], **options)
        return total


class QuotaShareTests(unittest.TestCase):
    def test_shares_with_two_restarts_stay_within_the_tolerance(self):
        """Guards against credits whose sum exceeds the slack of the quota."""
        for rate in (0.01, 0.4, 1, 10, 100, 1000):
            for burst in (0, 1, 5, 300):
                for members in (1, 2, 3, 5):
                    quota = Quota(rate=rate, burst=burst)
                    share = compute_share(quota, TOLERANCE, members)
                    most = share.capacity + share.credit + 2 * share.start_credit
                    allowed = burst + TOLERANCE.compute_slack(quota)
                    self.assertLessEqual(members * most, allowed + 1e-6)
                    self.assertGreaterEqual(share.capacity, max(1, burst / members))
                    self.assertGreaterEqual(min(share.credit, share.start_credit), 1)

    def test_small_tolerance_leaves_one_issuer(self):
        """Guards against members that each add a token to a tolerance of none."""
        self.assertEqual(count_issuers(QuotaTolerance(requests=0)), 1)
        self.assertEqual(count_issuers(TOLERANCE), 3)


class QuotaBucketTests(unittest.TestCase):
    def test_burst_after_a_pause_is_granted_at_once(self):
        """Guards against refusals of the first calls of an account."""
        share = compute_share(Quota(rate=12, burst=12), TOLERANCE, 3)
        self.assertEqual(Member().drain(now=100.0), int(share.capacity))

    def test_restarted_member_begins_with_its_start_credit(self):
        """Guards against a second burst by each restart within a window."""
        share = compute_share(Quota(rate=12, burst=300), TOLERANCE, 3)
        member = Member(began=100.0)
        self.assertEqual(member.drain(now=100.0, burst=300), int(share.start_credit))
        self.assertLess(share.start_credit, share.capacity / 10)

    def test_tokens_of_a_member_that_died_before_their_use_stay_within_the_bound(self):
        """Guards against tokens that three generations of a member have in use."""
        share = compute_share(Quota(rate=12, burst=300), TOLERANCE, 3)
        first = Member().ask(100, now=100.0, burst=300).tokens
        second = Member(began=100.5).ask(100, now=100.5, burst=300).tokens
        self.assertEqual((first, second), (int(share.credit), int(share.start_credit)))
        third = Member(began=101.0).drain(now=101.0, burst=300)
        self.assertGreater(third, 0)
        allowed = share.credit + 2 * share.start_credit
        self.assertLessEqual(first + second + third, allowed)

    def test_bucket_created_late_has_what_it_would_have_refilled(self):
        """Guards against refusals because an account is new to a running member."""
        share = compute_share(Quota(rate=12, burst=12), TOLERANCE, 3)
        self.assertEqual(Member(began=0.0).drain(now=100.0), int(share.capacity))

    def test_unreported_tokens_count_until_they_expire(self):
        """Guards against lost responses and dead frontends whose tokens are in use."""
        member = Member()
        share = compute_share(Quota(rate=12, burst=300), TOLERANCE, 3)
        first = member.ask(100, now=100.0, burst=300)
        self.assertEqual(first.tokens, int(share.credit))
        self.assertEqual(member.ask(1, now=102.9, burst=300).tokens, 0)
        self.assertEqual(member.ask(1, now=100 + ISSUED_SECONDS, burst=300).tokens, 1)

    def test_repeated_and_late_reports_return_no_token_twice(self):
        """Guards against a token that is issued again while it is still in use."""
        member = Member()
        grant = member.ask(2, now=100.0)
        use = GrantUse(grant.grant, 0, 2)
        member.ask(0, now=100.0, uses=[use])
        self.assertGreater(member.drain(now=100.0), 0)
        member.ask(0, now=100.0, uses=[use])
        self.assertEqual(member.drain(now=100.0), 0)
        late = GrantUse(member.ask(2, now=102.0).grant, 0, 2)
        member.drain(now=102.0 + ISSUED_SECONDS)
        member.ask(0, now=102.0 + ISSUED_SECONDS, uses=[late])
        self.assertEqual(member.drain(now=102.0 + ISSUED_SECONDS), 0)

    def test_prefetched_tokens_leave_half_for_others(self):
        """Guards against idle tokens at one frontend that another one needs."""
        member = Member()
        share = compute_share(Quota(rate=12, burst=12), TOLERANCE, 3)
        taken = member.ask(0, prefetched=100, now=100.0).tokens
        self.assertGreater(taken, 0)
        self.assertLessEqual(taken, share.credit / 2)
        self.assertEqual(member.ask(0, prefetched=100, now=100.0).tokens, 0)

    def test_highest_version_of_a_limit_counts(self):
        """Guards against a frontend with an old configuration that restores a limit."""
        member = Member()
        member.drain(now=100.0, version=2, rate=0.3, burst=0.0)
        self.assertEqual(member.drain(now=100.5, version=1, rate=900.0, burst=90.0), 0)

    def test_higher_limit_takes_effect_at_once(self):
        """Guards against refusals of calls that a raised quota allows."""
        member = Member()
        member.drain(now=100.0)
        self.assertGreater(member.drain(now=100.0, version=2, burst=90.0), 20)

    def test_limit_that_is_lowered_and_restored_grants_no_second_burst(self):
        """Guards against an operator's two changes that double an account's burst."""
        high, low = {"rate": 20.0, "burst": 100.0}, {"rate": 2.0, "burst": 2.0}
        share = compute_share(Quota(**high), TOLERANCE, 3)
        window = TOLERANCE.window_seconds
        allowed = share.capacity + share.rate * window
        for pause in (0.0, 0.3, 0.5, 1.0, 2.0, 3.0):
            member = Member()
            issued = [(100.0, member.drain(now=100.0, **high))]
            for number in range(1, 13):
                now = 100.0 + pause * number
                limit = low if number % 2 else high
                tokens = member.drain(now=now, version=number + 1, **limit)
                issued.append((now, tokens))
            for start, _ in issued:
                within = [n for at, n in issued if start <= at <= start + window]
                with self.subTest(pause=pause, start=start):
                    self.assertLessEqual(sum(within), allowed + 1)

    def test_restored_limit_grants_what_was_not_used(self):
        """Guards against refusals of calls below a limit that was restored."""
        member = Member()
        member.ask(0, now=100.0, rate=20.0, burst=100.0)
        member.ask(0, now=101.0, rate=2.0, burst=2.0, version=2)
        share = compute_share(Quota(rate=20, burst=100), TOLERANCE, 3)
        total = member.drain(now=102.0, rate=20.0, burst=100.0, version=3)
        self.assertEqual(total, int(share.capacity))

    def test_returned_tokens_do_not_count_when_the_limit_rises(self):
        member = Member()
        grant = member.ask(12, now=100.0, rate=20.0, burst=100.0)
        use = GrantUse(grant.grant, 0, grant.tokens)
        member.ask(0, now=100.2, rate=20.0, burst=100.0, uses=[use])
        member.ask(0, now=100.3, rate=2.0, burst=2.0, version=2)
        share = compute_share(Quota(rate=20, burst=100), TOLERANCE, 3)
        total = member.drain(now=100.4, rate=20.0, burst=100.0, version=3)
        self.assertEqual(total, int(share.capacity))

    def test_forgotten_account_gains_no_tokens(self):
        """Guards against a new burst because a member dropped an account's bucket."""
        member = Member(began=0.0)
        member.drain(now=100.0, rate=0.03, burst=300)
        now = 100.0 + 2 * EXPIRY_SECONDS
        member.buckets.forget_idle(now)
        self.assertLess(member.drain(now=now, rate=0.03, burst=300), 3)

    def test_frontends_refused_together_get_different_times(self):
        """Guards against requests of all frontends at the moment of the next token."""
        member = Member()
        member.drain(now=100.0)
        times = [member.ask(1, now=100.0).retry_seconds for _ in range(6)]
        self.assertEqual(len(set(times)), 6)

    def test_modules_import_neither_trio_nor_a_transport(self):
        """Guards against decisions that depend on a clock or on messages."""
        code = (
            "import sys, goldcrestvane_daemon.accounts.quota_tokens;"
            "sys.exit(bool({'trio', 'socket', 'h11', 'httpcore'} & set(sys.modules)))"
        )
        done = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(done.returncode, 0)
