import re
import signal
import subprocess
import sys
import unittest

import trio

from goldcrestvane_common.transport import Transport

PROBES = {
    "objectapi": "/v1/objects?prefix=",
    "instances": "/v1/instances",
    "tool": "/control/record",
}


class ProgramTests(unittest.TestCase):
    def test_each_program_announces_its_address_and_ends_on_sigterm(self):
        async def main():
            async with trio.open_nursery() as nursery:
                for name, path in PROBES.items():
                    nursery.start_soon(self.check_program, name, path)

        trio.run(main)

    async def check_program(self, name, path):
        command = [sys.executable, "-m", f"goldcrestvane_standins.{name}"]
        process = await trio.lowlevel.open_process(
            [*command, "--listen=127.0.0.1:0"], stdout=subprocess.PIPE
        )
        try:
            line = await process.stdout.receive_some()
            peer = re.fullmatch(rb"listening (127\.0\.0\.1:\d+)\n", line)[1].decode()
            async with Transport() as transport:
                reply = await transport.send("GET", peer, path)
            self.assertEqual(reply.status, 200)
        finally:
            process.terminate()
            await process.wait()
        self.assertEqual(process.returncode, -signal.SIGTERM)
