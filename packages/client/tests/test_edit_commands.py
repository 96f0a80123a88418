import unittest

from system import run_system

from goldcrestvane_client.exit_codes import ExitCode
from goldcrestvane_common.settings_tree.validation import validate_settings


class EditCommandTests(unittest.TestCase):
    def test_each_setter_edits_its_path(self):
        async def check(system, nursery):
            for words in (
                ("set", "alpha", "programs.fitting.priority", "interactive"),
                ("program", "set", "alpha", "fitting", "history", "owner"),
                ("priority", "set", "alpha", "fitting.v2", "batch"),
                ("budget", "set", "alpha", "fitting", "tokens", "900"),
                ("service", "set", "alpha", "chat", "kind", "model"),
                ("team", "set", "alpha", "cache_weight", "0.2"),
                ("team", "set", "alpha", "budget.calls", "7"),
                ("unset", "alpha", "programs.fitting.budget.tokens"),
            ):
                result = await system.call(*words)
                self.assertEqual(result.code, ExitCode.OK, (words, result.stderr))
            shown = await system.call("settings", "show", "alpha", "--output=json")
            self.assertEqual(
                validate_settings(shown.json["settings"]),
                validate_settings(
                    {
                        "programs": {
                            "fitting": {"priority": "interactive", "history": "owner"},
                            "fitting.v2": {"priority": "batch"},
                        },
                        "services": {"chat": {"kind": "model"}},
                        "budget": {"calls": 7},
                        "cache_weight": 0.2,
                    }
                ),
            )

        run_system(check)

    def test_invalid_edits_write_nothing(self):
        async def check(system, nursery):
            for expected, words in (
                (ExitCode.INVALID_SETTINGS, ("set", "alpha", "cache_weight", "2")),
                (ExitCode.INVALID_SETTINGS, ("set", "alpha", "colour", "blue")),
                (ExitCode.USAGE, ("set", "alpha", "a..b", "2")),
                (ExitCode.USAGE, ("unset", "alpha", "cache_weight")),
                (ExitCode.USAGE, ("set", "alpha", "cache_weight")),
            ):
                with self.subTest(words):
                    result = await system.call(*words)
                    self.assertEqual(result.code, expected, result.stderr)
            self.assertEqual(
                (await system.control("GET", "/control/counts"))["writes"], 0
            )

        run_system(check)
