"""Many frontends share the limits of targets; simulated on a mock clock."""

import math
import random
import unittest

import trio
import trio.testing

from frontend.support import build_target
from goldcrestvane_daemon.frontend.affinity import Affinity
from goldcrestvane_daemon.frontend.ledger_client import LedgerUnavailable
from goldcrestvane_daemon.frontend.permits import PermitClient
from goldcrestvane_daemon.frontend.queue import ServiceQueue
from goldcrestvane_daemon.frontend.rate_limits import TargetRateLimits
from goldcrestvane_daemon.frontend.refusals import Overloaded
from goldcrestvane_daemon.ledger.rate_limits import STANDBY_SHARE, PermitIssuer
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.placement.inputs import PlacementOptions
from goldcrestvane_daemon.targets import TargetTable

FRONTENDS = 60
SLOTS = 6
RUN_SECONDS = 0.3
HEAD_SECONDS = 0.03
DELAY_SECONDS = 0.005
DEADLINE_SECONDS = 3.0
STABLE_SECONDS = 3.0
LEARNING_SECONDS = 0.5
WINDOW_SECONDS = 4.0
DURATION = 20.0


class SimulatedTarget:
    """Records the calls of frontends that know its limit."""

    def __init__(self, number, rate):
        self.entry = build_target(number, instance=f"t{number}", slots=SLOTS)
        self.rate = rate
        self.limited_since = 0.0
        self.arrivals = []
        self.told = {}

    async def run(self, frontend):
        now = trio.current_time()
        if self.told.get(frontend, math.inf) + LEARNING_SECONDS <= now:
            self.arrivals.append(now)
        await trio.sleep(HEAD_SECONDS)
        if self.rate is not None:
            self.told.setdefault(frontend, trio.current_time())
        frontend.limits.observe(self.entry, self.rate)
        await trio.sleep(RUN_SECONDS - HEAD_SECONDS)

    def count_most(self):
        """Returns the largest number of calls in a window, once the limit counts."""
        times = [
            at for at in self.arrivals if at >= self.limited_since + STABLE_SECONDS
        ]
        return max(
            (sum(at <= each <= at + WINDOW_SECONDS for each in times) for at in times),
            default=0,
        )


class Ledger:
    """The first choice and the standby for all permits, on one clock."""

    def __init__(self):
        self.issuers = {1.0: PermitIssuer(), STANDBY_SHARE: PermitIssuer()}
        self.is_available = True

    def restart(self):
        self.issuers[1.0] = PermitIssuer()

    async def call(self, action, share):
        await trio.sleep(DELAY_SECONDS)
        if not self.is_available:
            raise LedgerUnavailable("out")
        answer = action(self.issuers[share])
        await trio.sleep(DELAY_SECONDS)
        return answer


class LedgerConnection:
    """The connection of one frontend, which reaches one of the two members."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.share = 1.0

    async def acquire_permit(self, request):
        def issue(issuer):
            now = trio.current_time()
            return issuer.issue(request, share=self.share, now=now)

        return await self.ledger.call(issue, self.share)

    async def report_limit(self, limit):
        def record(issuer):
            issuer.record(limit, now=trio.current_time())

        await self.ledger.call(record, self.share)


class SimulatedFrontend:
    def __init__(self, ledger, targets, nursery):
        self.ledger = LedgerConnection(ledger)
        table = TargetTable()
        self.targets = {each.entry.instance: each for each in targets}
        for target in targets:
            table.put(target.entry)
        self.limits = TargetRateLimits(PermitClient(self.ledger, nursery))
        self.queue = ServiceQueue(
            "s1",
            table=table,
            health=HealthTracker(PlacementOptions()),
            rate_limits=self.limits,
            domain="d1",
        )


class Fleet:
    """Frontends that send calls at a rate, and what becomes of the calls."""

    def __init__(self, rates, calls_per_second, frontends, nursery):
        self.nursery = nursery
        self.ledger = Ledger()
        self.targets = [SimulatedTarget(*each) for each in enumerate(rates, start=1)]
        self.calls_per_second = calls_per_second
        self.rng = random.Random(1)
        self.frontends = []
        self.served = 0
        self.refused_after = []
        self.held = 0
        for _ in range(frontends):
            self.add_frontend()

    def add_frontend(self):
        frontend = SimulatedFrontend(self.ledger, self.targets, self.nursery)
        self.frontends.append(frontend)

    async def send_calls(self, seconds):
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self.rng.expovariate(self.calls_per_second))
            self.nursery.start_soon(self.call, self.rng.choice(self.frontends))

    async def call(self, frontend):
        arrived = trio.current_time()
        try:
            with trio.fail_after(DEADLINE_SECONDS):
                target = await frontend.queue.acquire(
                    affinity=Affinity(),
                    priority=0,
                    arrived=arrived,
                    seconds_left=DEADLINE_SECONDS,
                )
        except Overloaded as error:
            assert error.retry_after > 0
            self.refused_after.append(trio.current_time() - arrived)
            return
        except trio.TooSlowError:
            self.held += 1
            return
        await self.targets_by_instance(target).run(frontend)
        frontend.queue.release(target, run_seconds=RUN_SECONDS)
        self.served += 1

    def targets_by_instance(self, target):
        return self.frontends[0].targets[target.instance]


class RateLimitedFleetTests(unittest.TestCase):
    def run_fleet(self, script, rates, *, calls_per_second=30.0, frontends=FRONTENDS):
        async def main():
            async with trio.open_nursery() as nursery:
                fleet = Fleet(rates, calls_per_second, frontends, nursery)
                await script(fleet)
                await trio.sleep(DEADLINE_SECONDS)
                nursery.cancel_scope.cancel()
                self.check(fleet)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def check(self, fleet):
        for target in fleet.targets:
            if target.rate is not None:
                allowed = 1.5 * target.rate * WINDOW_SECONDS + 5
                self.assertLessEqual(target.count_most(), allowed, target.entry)
        self.assertEqual(fleet.held, 0)

    def count_arrivals(self, target, since):
        return sum(at >= since for at in target.arrivals)

    def test_frontends_together_keep_a_limit_and_other_targets_get_the_rest(self):
        async def script(fleet):
            await fleet.send_calls(DURATION)
            self.assertEqual(fleet.refused_after, [])
            limited = fleet.targets[0]
            used = self.count_arrivals(limited, STABLE_SECONDS)
            self.assertGreater(used, 0.5 * limited.rate * (DURATION - STABLE_SECONDS))

        self.run_fleet(script, [5.8, None, None])

    def test_few_frontends_use_each_permit_once(self):
        async def script(fleet):
            await fleet.send_calls(DURATION)

        self.run_fleet(
            script, [5.8, None, None, None], calls_per_second=60, frontends=4
        )

    def test_permits_are_not_saved_up_while_there_are_no_calls(self):
        async def script(fleet):
            await fleet.send_calls(DURATION)
            await trio.sleep(60)
            fleet.calls_per_second = 60.0
            await fleet.send_calls(DURATION)

        self.run_fleet(script, [2.0, None, None, None], calls_per_second=5.0)

    def test_end_of_a_limit_of_no_calls_is_noticed(self):
        async def script(fleet):
            await fleet.send_calls(DURATION)
            fleet.targets[0].rate = None
            await fleet.send_calls(DURATION)
            self.assertGreater(
                self.count_arrivals(fleet.targets[0], DURATION), DURATION
            )

        self.run_fleet(script, [0.0, None, None])

    def test_limit_below_one_call_a_second_is_kept(self):
        async def script(fleet):
            await fleet.send_calls(DURATION)

        self.run_fleet(script, [0.3, 0.0, None, None])

    def test_calls_are_refused_at_once_when_all_targets_are_limited(self):
        async def script(fleet):
            await fleet.send_calls(STABLE_SECONDS)
            served = fleet.served
            fleet.refused_after.clear()
            await fleet.send_calls(DURATION)
            rates = sum(target.rate for target in fleet.targets)
            self.assertGreater(fleet.served - served, 0.8 * rates * DURATION)
            self.assertGreater(len(fleet.refused_after), 0)
            self.assertLess(max(fleet.refused_after), 0.1 * DEADLINE_SECONDS)

        self.run_fleet(script, [3.0, 2.0, 1.0])

    def test_limit_that_falls_is_kept(self):
        async def script(fleet):
            await fleet.send_calls(DURATION)
            limited = fleet.targets[0]
            limited.rate = 1.5
            limited.arrivals.clear()
            fell_at = trio.current_time()
            await fleet.send_calls(DURATION)
            limited.arrivals = [at for at in limited.arrivals if at > fell_at + 0.5]

        self.run_fleet(script, [6.0, None, None])

    def test_end_of_a_limit_is_noticed_by_all_frontends(self):
        async def script(fleet):
            await fleet.send_calls(DURATION)
            limited = fleet.targets[0]
            limited.rate = None
            await fleet.send_calls(1.0)
            before = self.count_arrivals(limited, 0.0)
            await fleet.send_calls(DURATION)
            used = self.count_arrivals(limited, 0.0) - before
            self.assertGreater(used, 0.7 * DURATION * 30.0 / 3)

        self.run_fleet(script, [1.0, None, None])

    def test_end_of_a_limit_is_noticed_after_a_time_without_calls(self):
        async def script(fleet):
            await fleet.send_calls(DURATION)
            for target in fleet.targets:
                target.rate = None
            await trio.sleep(60)
            fleet.refused_after.clear()
            await fleet.send_calls(DURATION)
            self.assertLess(len(fleet.refused_after), 30)

        self.run_fleet(script, [1.0, 1.0])

    def test_limit_is_kept_while_frontends_and_the_issuer_restart(self):
        async def script(fleet):
            for _ in range(20):
                await fleet.send_calls(DURATION / 20)
                fleet.ledger.restart()
                for _ in range(5):
                    fleet.frontends.pop(0)
                    fleet.add_frontend()

        self.run_fleet(script, [5.8, None, None], calls_per_second=60.0)

    def test_limit_is_kept_when_half_of_the_frontends_reach_another_member(self):
        async def script(fleet):
            for frontend in fleet.frontends[: FRONTENDS // 2]:
                frontend.ledger.share = STANDBY_SHARE
            await fleet.send_calls(DURATION)

        self.run_fleet(script, [5.8, None], calls_per_second=60.0)

    def test_calls_go_to_other_targets_or_are_refused_without_the_ledger(self):
        for rates, refused in (([5.8, None, None], False), ([5.8, 5.8], True)):

            async def script(fleet, refused=refused):
                await fleet.send_calls(DURATION)
                fleet.ledger.is_available = False
                await fleet.send_calls(1.0)
                fleet.refused_after.clear()
                for target in fleet.targets:
                    target.arrivals.clear()
                await fleet.send_calls(DURATION)
                self.assertEqual(bool(fleet.refused_after), refused)
                self.assertEqual(fleet.targets[0].arrivals, [])

            with self.subTest(rates):
                self.run_fleet(script, rates)


if __name__ == "__main__":
    unittest.main()
