import unittest

import trio

from goldcrestvane_common.settings import Priority, ServiceKind
from goldcrestvane_daemon.gate import GateOptions

from .test_gate import GateTestCase, build_request

TWO_SLOTS = GateOptions(slots=2, aging_seconds=5.0, hold_seconds=20.0)


class ResidentTests(GateTestCase):
    def run_full(self, script):
        """Runs a script with a gate whose engine's cache is full with one program."""

        async def fill(gate, nursery):
            gate.set_cache_capacity(10_000)
            resident = build_request("resident", program="resident")
            await self.hold(gate, resident)
            gate.note_tokens(resident, 9_900)
            await script(gate, nursery)

        self.run_gate(fill, TWO_SLOTS)

    def test_new_program_waits_until_a_resident_one_ends(self):
        async def script(gate, nursery):
            await self.start_calls(gate, nursery, build_request("new"))
            await trio.sleep(3)
            self.assertNotIn("new", self.started)
            gate.release_program("shop", "resident")
            await trio.sleep(2)
            self.assertEqual(self.ended["new"], "done")

        self.run_full(script)

    def test_resident_program_its_agents_and_others_pass_a_held_one(self):
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

    def test_new_program_starts_after_the_longest_hold(self):
        async def script(gate, nursery):
            await self.start_calls(gate, nursery, build_request("new"))
            await trio.sleep(19)
            self.assertNotIn("new", self.started)
            await trio.sleep(3)
            self.assertEqual(self.ended["new"], "done")

        self.run_full(script)

    def test_program_without_calls_no_longer_counts(self):
        async def script(gate, nursery):
            await trio.sleep(60)
            await self.hold(gate, build_request("new"))
            self.assertEqual(self.ended["new"], "done")

        self.run_full(script)


if __name__ == "__main__":
    unittest.main()
