import tracemalloc
import unittest

import trio
import trio.testing
from ledger.direct_ledger import run_direct_ledger

from frontend.frontend_case import CONFIGURATION, FrontendCase, build_route
from frontend.support import ScriptedTarget, SharedScript, build_response
from goldcrestvane_daemon.frontend.memory_budget import (
    CHAIN_WAIT_SECONDS,
    MemoryBudget,
    MemoryFull,
    build_memory_budgets,
)
from goldcrestvane_daemon.ledger.messages import ReadChain, Turn
from goldcrestvane_daemon.ledger.turn_cache import TurnCache
from goldcrestvane_daemon.ledger.turn_reader import MAX_CHAIN_BYTES

KB = 1024
MB = 1024 * KB
EVENT = b"id: 1\ndata: d1\n\n"
ANSWER = build_response(EVENT, call=None)
REJECTION = build_response(
    b"",
    status="503 Full",
    call=None,
    signed=False,
    extra=b"Goldcrestvane-Not-Executed: 1\r\n",
)

SLOW_KEPT = build_route(
    "kept", "streaming", attempts=1, retention_enabled=True, timeout_ms=60_000
)


class ChainBudgetTests(unittest.TestCase):
    def run_budget(self, script, limit=100):
        async def main():
            budget = MemoryBudget(limit, max_wait_seconds=1.0)
            await script(budget)
            self.assertEqual((budget.waiting, budget.waiting_count), (0, 0))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_chain_that_exceeds_the_limit_by_itself_is_rejected_at_once(self):
        async def script(budget):
            with budget.reserve() as memory:
                await memory.grow(60)
                with self.assertRaisesRegex(MemoryFull, "101 bytes"):
                    await memory.grow(41)
                self.assertEqual((trio.current_time(), budget.used), (0.0, 60))

        self.run_budget(script)

    def test_chain_waits_for_a_limited_time_and_never_exceeds_the_limit(self):
        async def script(budget):
            with budget.reserve() as first, budget.reserve() as second:
                await first.grow(60)
                with self.assertRaises(MemoryFull):
                    await second.grow(50)
                self.assertEqual(trio.current_time(), 1.0)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(second.grow, 50)
                    await trio.sleep(0.5)
                    await first.resize(50)
                self.assertEqual((trio.current_time(), budget.used), (1.5, 100))

        self.run_budget(script)

    def test_chain_behind_a_full_line_is_rejected_at_once(self):
        """Guards against a burst that waits in vain until its deadlines."""

        async def script(budget):
            async def hold(size):
                with budget.reserve() as memory:
                    await memory.grow(size)
                    await trio.sleep(0.4)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(hold, 100)
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(hold, 100)
                await trio.testing.wait_all_tasks_blocked()
                with budget.reserve() as memory, self.assertRaises(MemoryFull):
                    await memory.grow(1)
                self.assertEqual(trio.current_time(), 0.0)

        self.run_budget(script)

    def test_chains_have_a_strict_share_of_the_memory_of_the_machine(self):
        async def main():
            budget = build_memory_budgets(128).chains
            with budget.reserve() as memory:
                await memory.grow(16 * MB)
                with self.assertRaises(MemoryFull):
                    await memory.grow(1)
            with build_memory_budgets(0).chains.reserve() as memory:
                await memory.grow(64 * MB)

        trio.run(main)


class WaitingCallTests(FrontendCase):
    """Programs with long chains continue at once, more than the targets have slots."""

    def run_turns(self, script, *targets):
        configuration = {**CONFIGURATION, "routes": [SLOW_KEPT]}
        self.run_frontend(script, *targets, configuration=configuration)

    def add_chain(self, frontend, turns=2, size=500 * KB):
        previous = None
        for number in range(turns):
            text = b"%d" % number * size
            frontend.ledger.turns[f"t{number}"] = Turn(
                f"t{number}", previous, text, b"out\n", 60.0
            )
            previous = f"t{number}"
        return previous

    def test_calls_that_wait_for_a_target_hold_no_chain(self):
        """Guards against a frontend that exceeds its memory in a burst (review/10)."""

        async def script(frontend):
            previous = self.add_chain(frontend)
            chains = frontend.memory.chains
            tracemalloc.start()
            try:
                async with trio.open_nursery() as nursery:
                    for number in range(40):
                        call = f"c{number}"
                        nursery.start_soon(self.send, frontend, call, previous)
                    await frontend.wait(
                        lambda: frontend.calls.get_queue("s1").waiting_count == 36
                    )
                    await frontend.wait(lambda: len(frontend.requests) == 4)
                    # The targets of the test hold the four requests that they got.
                    held, _ = tracemalloc.get_traced_memory()
                    self.assertLess(held, 16 * MB)
                    self.assertLessEqual(chains.used, 4 * MB)
                    frontend.targets[0].resume.set()
            finally:
                tracemalloc.stop()
            self.assertEqual((len(frontend.requests), chains.used), (40, 0))
            self.assertTrue(all(len(each) > 1000 * KB for each in frontend.requests))

        waits = [ScriptedTarget.WAIT, ANSWER]
        self.run_turns(script, [waits] * 40)

    async def send(self, frontend, call, previous):
        response = await frontend.send_turn(
            "/kept/x", call=call, program=call, Goldcrestvane_Previous_Turn=previous
        )
        self.assertEqual(response.status, 200)

    def test_chain_is_released_when_its_target_answers_and_read_again_if_needed(self):
        async def script(frontend):
            previous = self.add_chain(frontend)
            await self.send(frontend, "c1", previous)
            bodies = [each.partition(b"\r\n\r\n")[2] for each in frontend.requests]
            self.assertEqual(len(bodies), 3)
            self.assertEqual({len(body) for body in bodies}, {2 * (500 * KB + 4) + 2})
            self.assertEqual(len(set(bodies)), 1)
            self.assertEqual(frontend.memory.chains.used, 0)

        script_of_all = SharedScript([[REJECTION], [REJECTION], [ANSWER]])
        self.run_turns(script, *[script_of_all] * 3)

    def test_call_without_memory_for_its_chain_is_refused_as_not_run(self):
        async def script(frontend):
            previous = self.add_chain(frontend)
            frontend.calls._turns._chain_memory = MemoryBudget(
                100 * KB, max_wait_seconds=CHAIN_WAIT_SECONDS
            )
            response = await frontend.send_turn(
                "/kept/x", Goldcrestvane_Previous_Turn=previous
            )
            self.assertEqual((response.status, frontend.requests), (503, []))
            self.assertGreater(float(response.headers["retry-after"]), 0)

        self.run_turns(script, [])


class ChainReadingTests(unittest.TestCase):
    """A long chain is read in pages for which memory is reserved."""

    TURNS = 12
    SIZE = 200 * KB

    async def build_chain(self, ledger):
        calls = [f"c{number}" for number in range(self.TURNS)]
        for previous, call in zip([None, *calls], calls, strict=False):
            await ledger.run_turn(call, previous, size=self.SIZE)
        return calls

    def watch(self, ledger, client, memory, asked):
        """Checks that no response needs more than what is reserved."""

        async def call(address, request, timeout=None):
            answer = await ledger.call(address, request)
            if isinstance(request, ReadChain):
                asked.append(len(answer.turns))
                got = sum(len(turn.input) for turn in answer.turns)
                self.assertLessEqual(got, min(request.room_bytes, memory.size))
                self.assertLess(got, MAX_CHAIN_BYTES + self.SIZE + KB)
            return answer

        client.call = call

    def test_long_chain_is_read_within_the_memory_that_is_reserved(self):
        for names in ("abc", "abcdef"):
            with self.subTest(names=names):

                async def script(ledger):
                    calls = await self.build_chain(ledger)
                    client = ledger.get_client("f2")
                    client.chains.cache = TurnCache(MB)
                    budget = MemoryBudget(3 * MB, max_wait_seconds=0.0)
                    asked = []
                    with budget.reserve() as memory:
                        self.watch(ledger, client, memory, asked)
                        opened = await ledger.open_turn(
                            "d", calls[-1], frontend="f2", memory=memory
                        )
                        self.assertEqual(
                            [turn.call for turn in opened.chain], [*reversed(calls)]
                        )
                        self.assertGreater(memory.size, self.TURNS * self.SIZE)
                        memory.release()
                        chain = await client.read_chain(
                            calls[-1], memory, size=self.TURNS * self.SIZE
                        )
                        self.assertEqual(chain, opened.chain)
                    self.assertEqual(budget.used, 0)

                run_direct_ledger(script, list(names), tolerated_losses=1)

    def test_chain_that_does_not_fit_is_not_read(self):
        async def script(ledger):
            calls = await self.build_chain(ledger)
            client = ledger.get_client("f2")
            asked = []
            budget = MemoryBudget(2 * MB, max_wait_seconds=0.0)
            with budget.reserve() as memory:
                self.watch(ledger, client, memory, asked)
                with self.assertRaises(MemoryFull):
                    await ledger.open_turn("d", calls[-1], frontend="f2", memory=memory)
            # A member may have told the size without a turn.
            self.assertEqual(sum(asked), 0)

        run_direct_ledger(script, list("abc"), tolerated_losses=1)

    def test_long_chain_is_read_from_the_others_if_the_nearest_member_is_down(self):
        async def script(ledger):
            calls = await self.build_chain(ledger)
            for name in "abc":
                client = ledger.get_client(f"f-{name}")
                with MemoryBudget(3 * MB, max_wait_seconds=0.0).reserve() as memory:
                    asked = []
                    self.watch(ledger, client, memory, asked)
                    await ledger.stop(name)
                    opened = await ledger.open_turn(
                        f"d-{name}", calls[-1], frontend=f"f-{name}", memory=memory
                    )
                    self.assertEqual(len(opened.chain), self.TURNS)
                    await ledger.start(name)

        run_direct_ledger(script, list("abc"), tolerated_losses=1)


if __name__ == "__main__":
    unittest.main()
