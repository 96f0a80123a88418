import os
import socket
import subprocess
import sys
import unittest
from unittest import mock

from goldcrestvane_daemon import bootstrap, listening, start_retries, startup_signals

LIST_MODULES = "import sys, goldcrestvane_daemon.bootstrap; print(*sys.modules)"
LATER_MODULES = ("absl", "logging", "msgspec", "socket", "tomllib", "trio")


class BootstrapTests(unittest.TestCase):
    def run_with(self, addresses):
        self.addCleanup(startup_signals.release_signals)
        self.addCleanup(listening._early_listeners.clear)
        with (
            mock.patch.dict(os.environ, {bootstrap.LISTEN_VARIABLE: addresses}),
            mock.patch.object(bootstrap.importlib, "import_module") as import_module,
        ):
            bootstrap.run()
        return import_module

    def reserve_address(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            return f"127.0.0.1:{server.getsockname()[1]}"

    def test_signals_are_held_and_addresses_listened_on_before_other_imports(self):
        output = subprocess.run(
            [sys.executable, "-S", "-c", LIST_MODULES],
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        self.assertFalse(set(output.split()).intersection(LATER_MODULES))

    def test_listeners_are_handed_to_the_parts_that_serve_them(self):
        address = self.reserve_address()
        import_module = self.run_with(f"{address},")
        import_module.return_value.run.assert_called_once_with()
        host, port = address.split(":")
        client = socket.create_connection((host, int(port)))
        self.addCleanup(client.close)
        listener = listening.open_listener(address)
        self.addCleanup(listener.close)
        self.assertTrue(listening.has_pending_connection(listener))

    def test_address_that_stays_unusable_is_a_clear_error(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            used = f"127.0.0.1:{server.getsockname()[1]}"
            for address in ("nowhere", "192.0.2.1:80", used):
                with (
                    self.subTest(address),
                    mock.patch("sys.stderr") as stderr,
                    mock.patch.object(start_retries, "MAX_WAIT_SECONDS", 0.05),
                    self.assertRaises(SystemExit) as stopped,
                ):
                    self.run_with(address)
                self.assertEqual(stopped.exception.code, 2)
                self.assertIn(address, str(stderr.write.mock_calls))


if __name__ == "__main__":
    unittest.main()
