import io
import unittest

import trio

from goldcrestvane_client.exits import ExitCode
from goldcrestvane_client.main import COMMANDS, execute


class MainTests(unittest.TestCase):
    def call(self, *words):
        results, notes = io.StringIO(), io.StringIO()

        async def run():
            return await execute(
                ["goldcrestvane", *words], {}, results=results, notes=notes
            )

        return trio.run(run), results.getvalue(), notes.getvalue()

    def test_help_names_every_command_and_the_flags(self):
        code, results, _ = self.call("--help")
        self.assertEqual(code, ExitCode.OK)
        for command in COMMANDS.values():
            self.assertIn(command.usage, results)
        self.assertIn("--expected_version", results)

    def test_usage_faults_name_the_remedy(self):
        for words, remedy in (
            ((), "--help"),
            (("fly",), "--help"),
            (("settings", "show"), "settings show TEAM"),
            (("settings", "show", "a"), "--platform"),
            (("status",), "--instances"),
        ):
            with self.subTest(words):
                code, _, notes = self.call(*words)
                self.assertEqual(code, ExitCode.USAGE)
                self.assertIn(remedy, notes)

    def test_platform_that_does_not_listen_is_unavailable(self):
        code, _, notes = self.call("settings", "show", "a", "--platform=127.0.0.1:1")
        self.assertEqual(code, ExitCode.UNAVAILABLE)
        self.assertIn("try again", notes)
