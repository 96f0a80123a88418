import unittest

from system import CLOSED_ADDRESS, run_system

from goldcrestvane_client.exit_codes import ExitCode
from goldcrestvane_client.processes import MAX_PUSH_PEERS
from goldcrestvane_common.messages import (
    Instance,
    Role,
)

KEY = "control/settings/alpha"


class PushTests(unittest.TestCase):
    def test_accepted_change_is_pushed_to_a_few_processes(self):
        async def check(system, nursery):
            processes = [
                await system.start_process(nursery, f"s{number}", Role.SIDECAR)
                for number in range(MAX_PUSH_PEERS + 2)
            ]
            result = await system.call(
                "set", "alpha", "cache_weight", "0.1", "--output=json"
            )
            self.assertEqual(result.json["pushed"], MAX_PUSH_PEERS)
            held = [process.replica.get(KEY) for process in processes]
            held = [stored for stored in held if stored is not None]
            self.assertEqual(len(held), MAX_PUSH_PEERS)
            stored = await system.control("GET", f"/v1/objects/{KEY}")
            self.assertEqual(held[0].version, stored["version"])
            self.assertEqual(held[0].decode(dict), stored["value"])

        run_system(check)

    def test_change_succeeds_when_no_process_can_be_reached(self):
        async def check(system, nursery):
            await system.put_instance(
                Instance(
                    instance="z", role=Role.ENTRY, address=CLOSED_ADDRESS, domain="d"
                )
            )
            result = await system.call("set", "alpha", "cache_weight", "0.1")
            self.assertEqual(result.code, ExitCode.OK)
            self.assertIn("accepted", result.stderr)
            result = await system.call(
                "set", "alpha", "cache_weight", "0.2", f"--instances={CLOSED_ADDRESS}"
            )
            self.assertEqual(result.code, ExitCode.OK)
            self.assertIn("accepted", result.stderr)

        run_system(check)
