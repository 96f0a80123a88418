import contextlib
import signal
import socket
import unittest

from daemon_process import ProcessCase

from goldcrestvane_daemon.metrics_server import METRICS_PORT

STARTED = {"frontend": "started", "ledger": "started", "entry": "listens on"}
USED_ADDRESSES = (
    ("frontend", "clients"),
    ("frontend", "ready"),
    ("frontend", "control"),
    ("ledger", "peers"),
    ("entry", "clients"),
)


class StartConditionTests(ProcessCase):
    """Guards against processes that end at their start for a reason that passes.

    Each test is a row of the table in docs/reference/platform.md.
    """

    def stop(self, process):
        process.terminate()
        self.wait_for_line(process, "stopped")
        self.assertEqual(process.wait(), 0)

    def use_address(self, port):
        """Listens on a port until the context is left."""
        return contextlib.closing(socket.create_server((self.host, port)))

    def test_metrics_address_in_use_does_not_end_the_process(self):
        for role in ("frontend", "ledger"):
            with self.use_address(METRICS_PORT):
                process = self.start(role)
                self.wait_for_line(process, "metrics: the address cannot be used")
            self.wait_for_line(process, "metrics: serves")
            self.stop(process)

    def test_address_in_use_is_waited_for(self):
        for role, name in USED_ADDRESSES:
            with self.use_address(self.ports[name]):
                process = self.start(role)
                self.wait_for_line(process, "Address already in use")
                self.assertIsNone(process.poll())
            self.wait_for_line(process, STARTED[role])
            process.kill()
            process.wait()

    def test_signal_to_stop_ends_the_wait_for_an_address_or_the_settings(self):
        """Guards against a process that outlives SIGTERM by the time of its waits."""
        for number in (signal.SIGTERM, signal.SIGINT):
            for role, name in (("frontend", "clients"), ("entry", "clients")):
                with self.use_address(self.ports[name]):
                    self.stop_waiting(role, "Address already in use", number)
            self.settings_path.unlink()
            self.stop_waiting("ledger", "cannot be read", number)
            self.write_settings()

    def stop_waiting(self, role, reason, number):
        process = self.start(role)
        self.wait_for_line(process, reason)
        process.send_signal(number)
        self.wait_for_line(process, f"stopped by {number.name}")
        self.assertEqual(process.wait(), 0)

    def test_settings_file_that_is_missing_or_half_written_is_waited_for(self):
        self.settings_path.unlink()
        process = self.start("ledger")
        self.wait_for_line(process, "cannot be read")
        self.settings_path.write_text(self.settings.partition("[platform]")[0])
        self.wait_for_line(process, "missing required field")
        self.settings_path.write_text(self.settings)
        self.wait_for_line(process, "started")
        self.stop(process)

    def test_full_disk_is_waited_for(self):
        self.data_folder.mkdir()
        full = self.data_folder / "disk-id.new"
        full.symlink_to("/dev/full")
        process = self.start("ledger")
        self.wait_for_line(process, "No space left on device")
        self.stop(process)
        process = self.start("ledger")
        self.wait_for_line(process, "No space left on device")
        full.unlink()
        self.wait_for_line(process, "started")
        self.stop(process)

    def test_data_folder_that_is_a_file_is_an_error_that_names_the_remedy(self):
        self.data_folder.write_text("")
        process = self.start("ledger")
        self.wait_for_line(process, "give the process a folder")
        self.assertEqual(process.wait(), 2)

    def test_process_starts_without_a_store_and_creates_its_data_folder(self):
        for role, started in STARTED.items():
            process = self.start(role)
            self.wait_for_line(process, started)
            self.stop(process)
        self.assertTrue(self.data_folder.is_dir())


if __name__ == "__main__":
    unittest.main()
