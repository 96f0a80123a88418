import signal
import unittest

from daemon_process import ProcessCase

STARTED = {"frontend": "started", "ledger": "started", "entry": "listens on"}
STOPPING = {"frontend": "finishing the running calls", "entry": "new calls are refused"}


class LateSignalTests(ProcessCase):
    """Guards against calls that are cut off by a signal beside a planned stop."""

    def test_signals_during_a_graceful_shutdown_do_not_kill_the_process(self):
        for role, stopping in STOPPING.items():
            process = self.start(role)
            self.wait_for_line(process, STARTED[role])
            process.terminate()
            self.wait_for_line(process, stopping)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                process.send_signal(number)
            self.wait_for_line(process, "stopped")
            self.assertEqual(process.wait(), 0)

    def test_signals_that_come_together_do_not_kill_the_process(self):
        for role, started in STARTED.items():
            process = self.start(role)
            self.wait_for_line(process, started)
            # A stopped process finds all signals pending when it continues.
            for name in ("SIGSTOP", "SIGHUP", "SIGINT", "SIGTERM", "SIGCONT"):
                process.send_signal(signal.Signals[name])
            self.wait_for_line(process, "stopped")
            self.assertEqual(process.wait(), 0)

    def test_sighup_does_not_end_a_process(self):
        for role, started in STARTED.items():
            process = self.start(role)
            self.wait_for_line(process, started)
            process.send_signal(signal.SIGHUP)
            self.wait_for_line(process, "settings file changed")
            process.terminate()
            self.wait_for_line(process, "stopped")
            self.assertEqual(process.wait(), 0)


if __name__ == "__main__":
    unittest.main()
