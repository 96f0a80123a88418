import signal
import subprocess
import sys
import unittest
from unittest import mock

from goldcrestvane_daemon import main, startup_signals

STARTING_PROCESS = """
import os, signal, trio
from goldcrestvane_daemon.shutdown_signals import handle_signals
from goldcrestvane_daemon.startup_signals import hold_signals

async def main():
    async with trio.open_nursery() as nursery:
        shutdown = trio.Event()
        await nursery.start(handle_signals, shutdown)
        print("running", flush=True)
        await shutdown.wait()
        nursery.cancel_scope.cancel()

hold_signals()
os.kill(os.getpid(), signal.{name})
trio.run(main)
print("stopped")
"""


class StartupSignalTests(unittest.TestCase):
    def run_process(self, name):
        script = STARTING_PROCESS.format(name=name)
        return subprocess.Popen(
            [sys.executable, "-c", script],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )

    def test_sigterm_during_the_start_stops_the_process_gracefully(self):
        process = self.run_process("SIGTERM")
        output, _ = process.communicate()
        self.assertEqual((output, process.returncode), ("running\nstopped\n", 0))

    def test_sighup_during_the_start_does_not_stop_the_process(self):
        process = self.run_process("SIGHUP")
        self.assertEqual(process.stdout.readline(), "running\n")
        self.assertIsNone(process.poll())
        process.terminate()
        output, _ = process.communicate()
        self.assertEqual((output, process.returncode), ("stopped\n", 0))

    def test_signals_are_held_before_the_process_listens(self):
        self.addCleanup(startup_signals.release_signals)
        masks = []

        def listen(address):
            masks.append(signal.pthread_sigmask(signal.SIG_BLOCK, ()))
            raise KeyboardInterrupt

        with (
            mock.patch.object(main, "FLAGS", role="frontend"),
            mock.patch.object(main, "read_machine_settings"),
            mock.patch.object(main, "open_listener", listen),
            self.assertRaises(KeyboardInterrupt),
        ):
            main.main([])
        self.assertLessEqual(set(startup_signals.HANDLED_SIGNALS), masks[0])


if __name__ == "__main__":
    unittest.main()
