"""Runs calls of accounts with quotas through a frontend, against a fake member."""

import unittest
from unittest import mock

import trio
import trio.testing

from frontend.frontend_case import FrontendCase, build_stream
from frontend.support import ScriptedTarget, build_response
from goldcrestvane_daemon.accounts.directory import ClientAccount, Quota, QuotaTolerance
from goldcrestvane_daemon.accounts.quota_buckets import QuotaBuckets
from goldcrestvane_daemon.frontend import calls as calls_module
from goldcrestvane_daemon.frontend import quota_client
from goldcrestvane_daemon.frontend.ledger_client import LedgerUnavailable
from goldcrestvane_daemon.frontend.refusals import QuotaUnavailable
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import QuotaGrants
from goldcrestvane_daemon.platform.store import ObjectKind

OK = [build_response(b"ok")]
REJECTION = [
    build_response(
        b"",
        status="503 Service Unavailable",
        extra=b"Goldcrestvane-Not-Executed: 1\r\n",
    )
]
BROKEN = [None]
SHOP = ClientAccount(account="shop", quota=Quota(rate=0.01, burst=1))


class FakeMembers:
    """One member that issues the whole quota, and counts what was reported."""

    def __init__(self):
        self.buckets = QuotaBuckets(QuotaTolerance(requests=0, overage=0), 1)
        self.available = True
        self.error = None
        self.uses = {}

    def list_members(self, account):
        return ("m",)

    def is_connected(self, member):
        return True

    async def ask(self, member, request):
        await trio.sleep(0.001)
        if self.error is not None:
            raise self.error
        if not self.available:
            raise LedgerUnavailable("out")
        now = trio.current_time()
        for item in request.items:
            self.uses.update({use.grant: use for use in item.uses})
        return QuotaGrants(
            [
                self.buckets.handle(item, members=1, began=float("-inf"), now=now)
                for item in request.items
            ]
        )

    def count(self, field):
        return sum(getattr(use, field) for use in self.uses.values())


class QuotaClientTests(FrontendCase):
    def run_account(self, script, *targets, account=SHOP):
        """Runs a script; all calls belong to one account."""
        members = FakeMembers()
        build = calls_module.build_call_context

        def build_with_account(*arguments):
            call = build(*arguments)
            call.account = account
            return call

        async def main(frontend):
            frontend.members = members
            frontend.calls._quotas._source = members
            await script(frontend)

        with mock.patch.object(calls_module, "build_call_context", build_with_account):
            self.run_frontend(main, *targets)

    def test_call_over_the_quota_gets_429_and_has_not_run(self):
        """Guards against calls over the quota that wait or run (Q4)."""

        async def script(frontend):
            statuses = [(await frontend.send("/once/x")).status for _ in range(3)]
            response = await frontend.send("/once/x")
            self.assertEqual(statuses, [200, 429, 429])
            self.assertEqual(response.status, 429)
            self.assertGreater(float(response.headers["retry-after"]), 0)
            self.assertIn(b"QuotaExceeded", response.body)
            self.assertEqual(len(frontend.requests), 1)

        self.run_account(script, [OK])

    def test_call_without_any_member_gets_503_and_has_not_run(self):
        """Guards against calls that run while nobody counts them (Q5)."""

        async def script(frontend):
            frontend.members.available = False
            response = await frontend.send("/once/x")
            self.assertEqual(response.status, 503)
            self.assertIn(b"QuotaUnavailable", response.body)
            self.assertEqual(len(frontend.requests), 0)

        self.run_account(script, [OK])

    def test_call_waits_for_a_member_that_returns(self):
        """Guards against refusals in the first moments after a loss of power."""

        async def script(frontend):
            frontend.members.available = False
            async with trio.open_nursery() as nursery:

                @nursery.start_soon
                async def _():
                    await trio.sleep(0.15)
                    frontend.members.available = True

                response = await frontend.send("/once/x")
            self.assertEqual(response.status, 200)

        with mock.patch(
            "goldcrestvane_daemon.accounts.quota_tokens.UNRESPONSIVE_SECONDS", 0.1
        ):
            self.run_account(script, [OK])

    def test_rejected_attempt_keeps_its_token(self):
        """Guards against rejections by targets that count as requests (Q3)."""

        async def script(frontend):
            self.assertEqual((await frontend.send("/once/x")).status, 200)
            await frontend.wait(lambda: frontend.members.uses)
            self.assertEqual(frontend.members.count("used"), 1)

        self.run_account(script, [REJECTION, OK])

    def test_second_attempt_without_a_token_is_not_promised_as_not_run(self):
        """Guards against a 429 for a call whose first attempt may have run (Q3)."""

        async def script(frontend):
            response = await frontend.send("/get/x")
            self.assertEqual(response.status, 502)
            self.assertEqual(len(frontend.requests), 1)

        self.run_account(script, [BROKEN], [BROKEN])

    def test_call_whose_client_has_left_returns_its_token(self):
        """Guards against tokens that are lost on a path without an attempt."""

        async def script(frontend):
            target = frontend.targets[0]
            frontend.list_target(target, state="draining")
            await frontend.wait_synced(ObjectKind.TARGETS)
            stream = await trio.open_tcp_stream("127.0.0.1", frontend.port)
            await stream.send_all(frontend.build_request("/once/x"))
            await trio.sleep(0.1)
            await stream.aclose()
            await frontend.wait(lambda: frontend.members.count("returned") == 1)
            self.assertEqual(len(frontend.requests), 0)

        self.run_account(script, [OK])

    def test_refused_turn_returns_its_token(self):
        """Guards against tokens that refusals of the ledger use up."""

        async def script(frontend):
            response = await frontend.send_turn(Goldcrestvane_Token_Budget=1)
            self.assertEqual(response.status, 402)
            await frontend.wait(lambda: frontend.members.count("returned") == 1)

        self.run_account(script, [build_stream([1])])

    def test_long_stream_reports_its_token_while_it_runs(self):
        """Guards against credit that long streams hold until they end."""

        async def script(frontend):
            target = frontend.targets[0]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(frontend.send_turn)
                await frontend.wait(lambda: frontend.members.count("used") == 1)
                self.assertEqual(len(target.requests), 1)
                target.resume.set()

        head, event, *rest = build_stream([1])
        self.run_account(script, [[head, event, ScriptedTarget.WAIT, *rest]])

    def test_error_in_the_quota_part_ends_no_other_call(self):
        """Guards against faults of quotas that reach accounts without one."""

        async def script(frontend):
            frontend.members.error = ValueError("a fault")
            self.assertEqual((await frontend.send("/once/x")).status, 503)
            with mock.patch.object(
                quota_client.QuotaTokens, "update", side_effect=KeyError
            ):
                await trio.sleep(0.2)
            frontend.calls._quotas.open = lambda call: quota_client.CallQuota(
                frontend.calls._quotas, call, None
            )
            self.assertEqual((await frontend.send("/once/x")).status, 200)

        self.run_account(script, [OK])

    def test_account_without_a_quota_asks_no_member(self):
        """Guards against messages and refusals where no quota is configured."""

        async def script(frontend):
            frontend.members.error = AssertionError("asked")
            self.assertEqual((await frontend.send("/once/x")).status, 200)

        self.run_account(script, [OK], account=ClientAccount(account="depot"))


class SlowLedger:
    """Three members that issue a quota.

    Attributes:
        delays: Seconds until the next responses of each member; None for one that never
            comes. Then its responses are immediate.
    """

    view = mock.Mock(
        list_quota_issuers=lambda account, issuers: [
            mock.Mock(address=name) for name in ("a", "b", "c")
        ]
    )

    def __init__(self, *delays):
        self.delays = {name: list(delays) for name in ("a", "b", "c")}
        self.buckets = {
            name: QuotaBuckets(QuotaTolerance(), 1) for name in ("a", "b", "c")
        }

    def is_connected(self, address):
        return True

    async def call(self, address, request, timeout=60.0):
        delays = self.delays[address]
        delay = delays.pop(0) if delays else 0.0
        if delay is None or delay > timeout:
            await trio.sleep(timeout)
            raise PeerUnreachable(f"{address} did not answer within {timeout} s.")
        await trio.sleep(delay)
        now = trio.current_time()
        return QuotaGrants(
            [
                self.buckets[address].handle(
                    item, members=3, began=float("-inf"), now=now
                )
                for item in request.items
            ]
        )


class LateTokensTests(unittest.TestCase):
    """Members whose responses take longer than usual, on a simulated clock."""

    ACCOUNT = ClientAccount(account="shop", quota=Quota(rate=100.0, burst=100.0))

    def run_script(self, script, *delays):
        async def main():
            async with trio.open_nursery() as nursery:
                source = quota_client.LedgerQuotaSource(
                    SlowLedger(*delays), address="f", domain="d", issuers=3
                )
                client = quota_client.QuotaClient(source, nursery)

                async def acquire(seconds_left=3.0):
                    call = mock.Mock(
                        deadline=trio.current_time() + seconds_left, version=1
                    )
                    return await client.acquire(call, self.ACCOUNT, self.ACCOUNT.quota)

                with mock.patch.object(
                    quota_client, "get_elapsed_time", trio.current_time
                ):
                    await script(acquire)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_tokens_that_come_late_are_used(self):
        """Guards against refusals while all members issue, after a lost packet each."""

        async def script(acquire):
            token = await acquire()
            self.assertTrue(token.is_valid(trio.current_time()))
            self.assertLess(trio.current_time(), 0.6)

        self.run_script(script, 0.45)

    def test_member_is_asked_again_after_a_late_response(self):
        """Guards against seconds of refusals that a few late responses cause."""

        async def script(acquire):
            await acquire()
            await trio.sleep(0.3)
            started = trio.current_time()
            for _ in range(30):
                await acquire(seconds_left=1.2)
            self.assertLess(trio.current_time() - started, 0.1)

        self.run_script(script, 0.25)

    def test_call_does_not_wait_for_silent_members_beyond_its_share(self):
        """Guards against calls that are held until their deadline."""

        async def script(acquire):
            with self.assertRaises(QuotaUnavailable):
                await acquire(seconds_left=2.0)
            self.assertLessEqual(trio.current_time(), 0.3 * 2.0 + 1e-6)

        self.run_script(script, *[None] * 20)
