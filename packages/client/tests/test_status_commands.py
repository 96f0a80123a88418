import unittest

from system import CLOSED_ADDRESS, run_system

from goldcrestvane_client.exit_codes import ExitCode
from goldcrestvane_common.messages import (
    Instance,
    InstanceState,
    Role,
)


class StatusCommandTests(unittest.TestCase):
    def test_status_shows_processes_and_shards(self):
        async def check(system, nursery):
            await system.start_process(nursery, "e1", Role.ENTRY, {"alpha": 5})
            await system.start_process(nursery, "s1", Role.SIDECAR, {"alpha": 4})
            await system.put_instance(
                Instance(
                    instance="z", role=Role.ENTRY, address=CLOSED_ADDRESS, domain="d"
                )
            )
            shards = {"shards": [["s1", "s1:1", 1], None, ["s1", "s1:1", 1]]}
            body = {"value": shards, "expected_version": 0}
            await system.control("PUT", "/v1/objects/control/shards", body)
            result = await system.call("status")
            self.assertEqual(result.code, ExitCode.OK, result.stderr)
            lines = {
                line.split()[0]: line for line in result.stdout.splitlines() if line
            }
            self.assertTrue(lines["e1"].endswith("0"))
            self.assertIn("no answer", lines["z"])
            self.assertRegex(lines["(none)"], r"\(none\) +1$")
            json_result = await system.call("status", "--output=json")
            self.assertEqual(json_result.json["shard_map"]["shards"][1], None)
            sidecar = json_result.json["processes"][1]["status"]
            self.assertEqual(sidecar["load"]["running"], 2)

        run_system(check)

    def test_status_during_an_outage_omits_the_shard_map(self):
        async def check(system, nursery):
            await system.start_process(nursery, "e1", Role.ENTRY)
            await system.control("PUT", "/control/faults", {"outage": True})
            result = await system.call("status", "--output=json")
            self.assertEqual(result.code, ExitCode.OK)
            self.assertIsNone(result.json["shard_map"])
            self.assertIn("shard map", result.stderr)

        run_system(check)

    def test_drain_tells_the_process_to_leave(self):
        async def check(system, nursery):
            process = await system.start_process(nursery, "e1", Role.ENTRY)
            result = await system.call("drain", "e1")
            self.assertEqual(result.stdout, "e1 is leaving\n")
            self.assertIs(process.state, InstanceState.LEAVING)
            unknown = await system.call("drain", "e2")
            self.assertEqual(unknown.code, ExitCode.NOT_FOUND)

        run_system(check)
