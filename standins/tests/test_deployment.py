import socket
import sys
import tempfile
import unittest
from pathlib import Path

from goldcrestvane_standins.deployment import ManagedProcess, reserve_port


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


class PortTests(unittest.TestCase):
    def test_port_of_a_daemon_is_not_lost_before_it_listens(self):
        with reserve_port() as reservation:
            address = reservation.getsockname()
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind(address)
            for _ in range(2):
                with socket.create_server(address) as listener:
                    self.assertEqual(listener.getsockname(), address)


if __name__ == "__main__":
    unittest.main()
