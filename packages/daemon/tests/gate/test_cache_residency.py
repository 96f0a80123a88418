import unittest

import trio
from prometheus_client import CollectorRegistry

from goldcrestvane_common.errors import DeadlineExceeded, Overloaded
from goldcrestvane_common.settings import Priority, ServiceKind
from goldcrestvane_daemon.gate import GateOptions, register_gate_metrics

from .test_gate import GateTestCase, build_request

TWO_SLOTS = GateOptions(slots=2, aging_seconds=5.0, class_start_seconds=200.0)


class CacheResidencyTests(GateTestCase):
    def run_full(self, script):
        """Runs a script with a gate whose prefix cache is filled by one program."""

        async def fill(gate, nursery):
            gate.set_cache_capacity(10_000)
            resident = build_request("resident", program="resident")
            await self.hold(gate, resident)
            gate.record_cached_tokens(resident, 9_900)
            await script(gate, nursery)

        self.run_gate(fill, TWO_SLOTS)

    def test_new_program_is_deferred_until_a_resident_one_ends(self):
        async def script(gate, nursery):
            await self.start_calls(gate, nursery, build_request("new"))
            await trio.sleep(3)
            self.assertNotIn("new", self.started)
            gate.release_program("shop", "resident")
            await trio.sleep(2)
            self.assertEqual(self.ended["new"], "done")

        self.run_full(script)

    def test_calls_that_start_no_new_program_overtake_a_deferred_call(self):
        async def script(gate, nursery):
            await self.start_calls(
                gate,
                nursery,
                build_request("new"),
                build_request("again", program="resident"),
                build_request("agent", program="resident/a0"),
                build_request("person", priority=Priority.INTERACTIVE),
                build_request("tool", kind=ServiceKind.TOOL),
            )
            await trio.sleep(5)
            self.assertEqual(
                set(self.started), {"resident", "again", "agent", "person", "tool"}
            )

        self.run_full(script)

    def test_deferred_call_fails_at_its_deadline(self):
        async def script(gate, nursery):
            begin = trio.current_time()
            await self.hold(gate, build_request("new", deadline_seconds=12))
            self.assertEqual(trio.current_time(), begin + 12)
            self.assertIsInstance(self.ended["new"], DeadlineExceeded)

        self.run_full(script)

    def test_call_deferred_beyond_its_deadline_is_rejected_immediately(self):
        async def script(gate, nursery):
            for number in range(3):
                short = build_request(f"short-{number}", program=f"short-{number}")
                gate.record_cached_tokens(short, 0)
                await trio.sleep(10)
                gate.release_program("shop", short.program)
            await self.hold(gate, build_request("new", deadline_seconds=9))
            error = self.ended["new"]
            self.assertIsInstance(error, Overloaded)
            self.assertEqual(error.retry_after, 10.0)

        self.run_full(script)

    def test_young_programs_count_with_the_expected_size_of_their_class(self):
        async def script(gate, nursery):
            gate.release_program("shop", "resident")
            await self.start_calls(
                gate, nursery, build_request("first"), build_request("second")
            )
            await trio.sleep(2)
            self.assertEqual(self.ended["second"], "done")
            await self.start_calls(gate, nursery, build_request("third"))
            await trio.sleep(2)
            self.assertNotIn("third", self.started)
            nursery.cancel_scope.cancel()

        self.run_full(script)

    def test_deferred_call_counts_as_held_and_queued_in_the_metrics(self):
        async def script(gate, nursery):
            registry = CollectorRegistry()
            register_gate_metrics(gate, registry)
            await self.start_calls(gate, nursery, build_request("new"))
            for name, value in (("held", 1), ("queued", 1), ("running", 0)):
                sample = registry.get_sample_value(f"goldcrestvane_gate_{name}")
                self.assertEqual(sample, value, name)
            gate.release_program("shop", "resident")
            self.assertEqual(registry.get_sample_value("goldcrestvane_gate_held"), 0)

        self.run_full(script)

    def test_starved_class_gets_a_start(self):
        async def script(gate, nursery):
            gate.apply(GateOptions(slots=2, class_start_seconds=30.0))
            await self.start_calls(
                gate,
                nursery,
                build_request("standard"),
                build_request("batch", priority=Priority.BATCH),
                build_request("batch-later", priority=Priority.BATCH),
            )
            await trio.sleep(28)
            self.assertEqual(self.started, ["resident"])
            await trio.sleep(12)
            self.assertEqual(sorted(self.started), ["batch", "resident", "standard"])
            nursery.cancel_scope.cancel()

        self.run_full(script)

    def test_new_program_is_deferred_while_resident_ones_fill_the_queue(self):
        async def script(gate, nursery):
            gate.set_cache_capacity(0)
            agents = [f"resident/a{number}" for number in range(4)]
            await self.start_calls(
                gate,
                nursery,
                *(build_request(agent, program=agent) for agent in agents),
                build_request("new"),
                build_request("last", program="resident/a4"),
            )
            await trio.sleep(5)
            self.assertEqual(self.started[-2:], ["last", "new"])

        self.run_full(script)

    def test_idle_program_no_longer_counts_as_resident(self):
        async def script(gate, nursery):
            await trio.sleep(60)
            await self.hold(gate, build_request("new"))
            self.assertEqual(self.ended["new"], "done")

        self.run_full(script)


if __name__ == "__main__":
    unittest.main()
