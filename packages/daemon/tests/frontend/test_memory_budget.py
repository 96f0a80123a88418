import unittest

import trio
import trio.testing

from frontend.frontend_case import (
    CONFIGURATION,
    HOST,
    FrontendCase,
    build_route,
    read_response,
)
from frontend.support import ScriptedTarget, build_response
from goldcrestvane_daemon.frontend.memory_budget import (
    MemoryBudget,
    build_memory_budgets,
)

KB = 1024


class MemoryBudgetTests(unittest.TestCase):
    def test_bodies_beyond_the_limit_wait_and_are_all_served(self):
        """Guards against bodies that exceed the memory, or wait for one another.

        Each body is read in parts, and all begin before any ends.
        """

        async def main():
            budget = MemoryBudget(100 * KB)
            peak = 0

            async def read():
                nonlocal peak
                with budget.reserve() as memory:
                    for _ in range(8):
                        await memory.grow(10 * KB)
                        peak = max(peak, budget.used)
                        await trio.testing.wait_all_tasks_blocked()

            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(read)
            self.assertLessEqual(peak, (100 + 80) * KB)
            self.assertEqual(budget.used, 0)

        trio.run(main)

    def test_cancelled_reader_releases_its_memory(self):
        async def main():
            budget = MemoryBudget(10)
            with budget.reserve() as first, budget.reserve() as second:
                await first.grow(20)
                with trio.move_on_after(0) as scope:
                    await second.grow(1)
                self.assertTrue(scope.cancelled_caught)
            self.assertEqual((budget.used, budget.waiting_count), (0, 0))

        trio.run(main)

    def test_budgets_follow_the_memory_of_the_machine(self):
        """Guards against a bound that a small machine does not have."""

        async def main():
            for memory_mb, waits in ((128, True), (0, False)):
                for budget in build_memory_budgets(memory_mb)[:2]:
                    with budget.reserve() as first, budget.reserve() as second:
                        await first.grow(64 * KB * KB)
                        with trio.move_on_after(0) as scope:
                            await second.grow(1)
                        self.assertEqual(scope.cancelled_caught, waits)

        trio.run(main)


class BodyMemoryTests(FrontendCase):
    """Guards against bodies of many calls that exceed the memory of a small machine."""

    def test_request_without_memory_is_refused_as_not_run(self):
        async def script(frontend):
            async def send(body):
                return await frontend.send("/long/x", body=body)

            body = b"x" * 100 * KB
            requests = frontend.memory.requests
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, body)
                await frontend.wait(lambda: len(frontend.requests) == 1)
                nursery.start_soon(send, body)
                await frontend.wait(lambda: len(frontend.requests) == 2)
                # The second body was the one that may exceed the limit.
                refused = await send(b"x")
                self.assertEqual(refused.status, 503)
                self.assertGreater(float(refused.headers["retry-after"]), 0)
                self.assertEqual(requests.used, 2 * len(body))
                frontend.targets[0].resume.set()
            await frontend.wait(lambda: requests.used == 0)
            self.assertEqual((await send(b"x")).status, 200)
            self.assertEqual(len(frontend.requests), 3)

        ok = build_response(b"ok")
        waits = [ScriptedTarget.WAIT, ok]
        # The calls wait for longer than the refused one, on a machine of any speed.
        route = build_route("long", "non_idempotent", timeout_ms=60_000)
        self.run_frontend(
            script,
            [waits, waits, [ok]],
            configuration={**CONFIGURATION, "routes": [route]},
            memory=(150 * KB, 150 * KB),
        )

    def test_response_without_memory_waits(self):
        async def script(frontend):
            responses = frontend.memory.responses
            with responses.reserve() as memory:
                await memory.grow(200 * KB)
                client = await trio.open_tcp_stream(HOST, frontend.port)
                await client.send_all(frontend.build_request("/once/x"))
                await frontend.wait(lambda: responses.waiting_count == 1)
            self.assertEqual((await read_response(client)).body, b"ok")
            await frontend.wait(lambda: responses.used == 0)

        self.run_frontend(
            script, [[build_response(b"ok")]], memory=(150 * KB, 150 * KB)
        )


if __name__ == "__main__":
    unittest.main()
