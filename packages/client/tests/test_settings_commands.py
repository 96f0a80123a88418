import unittest

import trio
from system import run_system

from goldcrestvane_client.exit_codes import ExitCode
from goldcrestvane_common.settings import MAX_AUDIT_RECORDS

SETTINGS = {
    "programs": {"fitting": {"priority": "interactive", "budget": {"tokens": 900}}},
    "services": {"search": {"kind": "tool", "operations": {"find": {}}}},
}


class SettingsCommandTests(unittest.TestCase):
    def test_apply_show_diff_and_remove(self):
        async def check(system, nursery):
            name = system.write_file("a.json", SETTINGS)
            applied = await system.call("settings", "apply", "alpha", name)
            self.assertEqual(applied.code, ExitCode.OK, applied.stderr)
            self.assertIn("(absent) -> 900", applied.stdout)

            shown = await system.call("settings", "show", "alpha", "--output=json")
            self.assertEqual(shown.json["version"], 1)
            self.assertEqual(shown.json["settings"], SETTINGS)
            table = await system.call("settings", "show", "alpha")
            self.assertRegex(table.stdout, r"cache_weight +0\.5")

            name = system.write_file("b.json", {**SETTINGS, "cache_weight": 0.1})
            diff = await system.call("settings", "diff", "alpha", name)
            self.assertIn("cache_weight: 0.5 -> 0.1", diff.stdout)

            removed = await system.call("settings", "remove", "alpha")
            self.assertEqual(removed.code, ExitCode.OK)
            shown = await system.call("settings", "show", "alpha")
            self.assertEqual(shown.code, ExitCode.NOT_FOUND)
            history = await system.call("settings", "history", "alpha")
            self.assertIn("settings remove", history.stdout)

        run_system(check)

    def test_apply_of_the_same_file_changes_nothing(self):
        async def check(system, nursery):
            name = system.write_file("a.json", SETTINGS)
            await system.call("settings", "apply", "alpha", name)
            again = await system.call("settings", "apply", "alpha", name)
            self.assertIn("nothing to change", again.stdout)
            self.assertEqual(
                (await system.control("GET", "/control/counts"))["writes"], 1
            )

        run_system(check)

    def test_concurrent_change_conflicts_and_succeeds_on_retry(self):
        async def check(system, nursery):
            base = system.write_file("base.json", SETTINGS)
            await system.call("settings", "apply", "alpha", base)
            await system.control("PUT", "/control/faults", {"delay": 0.05})
            codes = {}

            async def race(operator, weight):
                name = system.write_file(
                    f"{operator}.json", {**SETTINGS, "cache_weight": weight}
                )
                result = await system.call(
                    "settings",
                    "apply",
                    "alpha",
                    name,
                    f"--operator={operator}",
                    "--expected-version=1",
                )
                codes[operator] = result

            async with trio.open_nursery() as racers:
                racers.start_soon(race, "bob", 0.1)
                racers.start_soon(race, "eve", 0.9)
            winner, loser = sorted(codes, key=lambda name: codes[name].code.value)
            self.assertEqual(codes[winner].code, ExitCode.OK)
            self.assertEqual(codes[loser].code, ExitCode.CONFLICT)
            self.assertIn(winner, codes[loser].stderr)
            self.assertIn("--expected-version=2", codes[loser].stderr)

            name = str(system.folder / f"{loser}.json")
            again = await system.call(
                "settings",
                "apply",
                "alpha",
                name,
                f"--operator={loser}",
                "--expected-version=2",
            )
            self.assertEqual(again.code, ExitCode.OK, again.stderr)
            history = await system.call("settings", "history", "alpha", "--output=json")
            operators = [record["operator"] for record in history.json]
            self.assertEqual(operators, ["ada", winner, loser])

        run_system(check)

    def test_change_with_a_lost_response_is_written_once(self):
        async def check(system, nursery):
            faults = {"lose_answers": 1, "lose_prefix": "control/settings/"}
            await system.control("PUT", "/control/faults", faults)
            name = system.write_file("a.json", SETTINGS)
            result = await system.call("settings", "apply", "alpha", name)
            self.assertEqual(result.code, ExitCode.OK, result.stderr)
            history = await system.control("GET", "/control/history?prefix=control/")
            self.assertEqual(len(history), 1)

        run_system(check)

    def test_history_keeps_every_record_when_the_document_is_trimmed(self):
        async def check(system, nursery):
            count = MAX_AUDIT_RECORDS + 5
            for number in range(count):
                await system.call("set", "alpha", "budget.tokens", str(number))
            history = await system.call("settings", "history", "alpha", "--output=json")
            changes = [record["changes"][-1] for record in history.json]
            self.assertEqual(len(changes), count)
            self.assertTrue(changes[-1].endswith(f"-> {count - 1}"))

        run_system(check)

    def test_invalid_file_lists_all_faults_and_writes_nothing(self):
        async def check(system, nursery):
            raw = {"cache_weight": 2, "programs": {"one": {"priority": "hasty"}}}
            name = system.write_file("a.json", raw)
            result = await system.call("settings", "apply", "alpha", name)
            self.assertEqual(result.code, ExitCode.INVALID_SETTINGS)
            self.assertIn("cache_weight", result.stderr)
            self.assertIn("programs.one.priority", result.stderr)
            name = system.write_file("b.json", "{")
            result = await system.call("settings", "apply", "alpha", name)
            self.assertEqual(result.code, ExitCode.INVALID_SETTINGS)
            self.assertEqual(
                (await system.control("GET", "/control/counts"))["writes"], 0
            )

        run_system(check)

    def test_outage_exits_with_unavailable_and_the_remedy(self):
        async def check(system, nursery):
            await system.control("PUT", "/control/faults", {"outage": True})
            name = system.write_file("a.json", SETTINGS)
            result = await system.call("settings", "apply", "alpha", name)
            self.assertEqual(result.code, ExitCode.UNAVAILABLE)
            self.assertIn("--platform", result.stderr)

        run_system(check)

    def test_invalid_commands_exit_with_the_code_of_their_error(self):
        async def check(system, nursery):
            name = system.write_file("a.json", SETTINGS)
            for expected, words in (
                (ExitCode.USAGE, ("settings", "apply", "alpha", "/nowhere.json")),
                (ExitCode.USAGE, ("settings", "apply", "alpha", name, "--operator=")),
                (ExitCode.NOT_FOUND, ("settings", "show", "nobody")),
                (ExitCode.NOT_FOUND, ("settings", "remove", "nobody")),
                (ExitCode.NOT_FOUND, ("settings", "history", "nobody")),
                (ExitCode.INVALID_SETTINGS, ("settings", "apply", "a/b", name)),
            ):
                with self.subTest(words):
                    result = await system.call(*words)
                    self.assertEqual(result.code, expected, result.stderr)

        run_system(check)
