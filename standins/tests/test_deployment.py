import sys
import tempfile
import unittest
from pathlib import Path

from goldcrestvane_standins.deployment import ManagedProcess


class ManagedProcessTests(unittest.TestCase):
    def test_error_of_a_process_that_ends_at_its_start_quotes_its_log(self):
        with tempfile.TemporaryDirectory() as folder:
            command = [sys.executable, "-c", "raise SystemExit('port in use')"]
            process = ManagedProcess("daemon", command, Path(folder) / "daemon.log")
            with process.start() as output:
                output.read()
            process._process.wait()
            description = process.describe_exit()
        self.assertIn("exit code 1", description)
        self.assertIn("port in use", description)


if __name__ == "__main__":
    unittest.main()
