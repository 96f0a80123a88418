import io
import unittest

import trio

from goldcrestvane_client.exit_codes import ExitCode
from goldcrestvane_client.main import COMMANDS, execute


class MainTests(unittest.TestCase):
    def call(self, *words):
        stdout, stderr = io.StringIO(), io.StringIO()

        async def run():
            return await execute(
                ["goldcrestvane", *words], {}, stdout=stdout, stderr=stderr
            )

        return trio.run(run), stdout.getvalue(), stderr.getvalue()

    def test_help_names_every_command_and_the_flags(self):
        code, stdout, _ = self.call("--help")
        self.assertEqual(code, ExitCode.OK)
        for command in COMMANDS.values():
            self.assertIn(command.usage, stdout)
        self.assertIn("--expected_version", stdout)

    def test_usage_errors_name_the_remedy(self):
        for words, remedy in (
            ((), "--help"),
            (("fly",), "--help"),
            (("settings", "show"), "settings show TEAM"),
            (("settings", "show", "a"), "--platform"),
            (("status",), "--instances"),
        ):
            with self.subTest(words):
                code, _, stderr = self.call(*words)
                self.assertEqual(code, ExitCode.USAGE)
                self.assertIn(remedy, stderr)

    def test_unreachable_platform_exits_with_unavailable(self):
        code, _, stderr = self.call("settings", "show", "a", "--platform=127.0.0.1:1")
        self.assertEqual(code, ExitCode.UNAVAILABLE)
        self.assertIn("try again", stderr)
