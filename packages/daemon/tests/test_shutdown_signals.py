import os
import signal
import unittest

import trio

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


if __name__ == "__main__":
    unittest.main()
