import os
import signal
import unittest

import trio
from daemon_process import ProcessCase

from goldcrestvane_daemon.shutdown_signals import wait_for_shutdown_signal


class ShutdownSignalTests(unittest.TestCase):
    def test_sighup_does_not_stop_the_process(self):
        async def main():
            ended = trio.Event()

            async def wait(*, task_status):
                await wait_for_shutdown_signal(task_status=task_status)
                ended.set()

            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    await nursery.start(wait)
                    os.kill(os.getpid(), signal.SIGHUP)
                    await trio.sleep(0.1)
                    self.assertFalse(ended.is_set())
                    os.kill(os.getpid(), signal.SIGTERM)
                    await ended.wait()

        trio.run(main)


STARTED = {"frontend": "started", "ledger": "started", "entry": "listens on"}
STOPPING = {"frontend": "received a shutdown signal", "entry": "new calls are refused"}


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

    def test_sighup_does_not_end_a_process_of_the_own_form(self):
        process = self.start("entry")
        self.wait_for_line(process, STARTED["entry"])
        process.send_signal(signal.SIGHUP)
        self.wait_for_line(process, "settings file changed")
        process.terminate()
        self.wait_for_line(process, "stopped")
        self.assertEqual(process.wait(), 0)


if __name__ == "__main__":
    unittest.main()
