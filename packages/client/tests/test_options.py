import unittest

from goldcrestvane_client.exit_codes import UsageError
from goldcrestvane_client.options import OutputFormat, parse_command_line


class OptionTests(unittest.TestCase):
    def parse(self, *words, **environment):
        return parse_command_line(["goldcrestvane", *words], environment)

    def test_flags_are_accepted_anywhere_with_dashes_or_underscores(self):
        line = self.parse("set", "--expected-version=3", "a", "--output", "json", "b")
        self.assertEqual(line.positional_arguments, ["set", "a", "b"])
        self.assertEqual(line.options.expected_version, 3)
        self.assertIs(line.options.output, OutputFormat.JSON)
        self.assertEqual(self.parse("--expected_version=3").options.expected_version, 3)

    def test_values_after_two_dashes_are_positional_arguments(self):
        line = self.parse("set", "--", "--a-b", "-1")
        self.assertEqual(line.positional_arguments, ["set", "--a-b", "-1"])

    def test_flags_override_environment_variables(self):
        environment = {"GOLDCRESTVANE_OPERATOR": "bob", "GOLDCRESTVANE_OUTPUT": "json"}
        line = self.parse("--output=table", **environment)
        self.assertEqual(line.options.operator, "bob")
        self.assertIs(line.options.output, OutputFormat.TABLE)

    def test_invalid_options_are_usage_errors(self):
        for words, environment in (
            (("--colour=blue",), {}),
            (("--output=xml",), {}),
            (("--expected-version=-1",), {}),
            (("--platform=here",), {}),
            ((), {"GOLDCRESTVANE_OUTPUT": "xml"}),
        ):
            with self.subTest(words), self.assertRaises(UsageError):
                self.parse(*words, **environment)
