import unittest

from system import run_system

from goldcrestvane_client.exit_codes import ExitCode


class AuditCommandTests(unittest.TestCase):
    def test_audit_of_one_team_and_of_all(self):
        async def check(system, nursery):
            await system.call("set", "alpha", "cache_weight", "0.1", "--reason=first")
            await system.call("set", "beta", "cache_weight", "0.2")
            await system.call("set", "alpha", "cache_weight", "0.3")
            every = await system.call("audit", "--output=json")
            teams = [entry["team"] for entry in every.json]
            self.assertEqual(teams, ["alpha", "beta", "alpha"])
            self.assertEqual(every.json[0]["record"]["reason"], "first")
            one = await system.call("audit", "beta")
            self.assertIn("(absent) -> 0.2", one.stdout)
            self.assertNotIn("alpha", one.stdout)

        run_system(check)

    def test_audit_without_records_is_not_found(self):
        async def check(system, nursery):
            self.assertEqual((await system.call("audit")).code, ExitCode.NOT_FOUND)

        run_system(check)
