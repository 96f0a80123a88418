import re
import signal
import subprocess
import sys
import unittest
from contextlib import asynccontextmanager

import trio

from goldcrestvane_common.transport import ExchangeBroken, Transport

PROBES = {
    "objectapi": "/v1/objects?prefix=",
    "engine": "/v1/load",
    "instances": "/v1/instances",
    "tool": "/control/record",
}


@asynccontextmanager
async def start_standin(name, *flags):
    """Starts a stand-in and yields its process and the address that it printed."""
    command = [sys.executable, "-m", f"goldcrestvane_standins.{name}"]
    process = await trio.lowlevel.open_process(
        [*command, "--listen=127.0.0.1:0", *flags], stdout=subprocess.PIPE
    )
    try:
        line = b""
        while not line.endswith(b"\n"):
            line += await process.stdout.receive_some()
        address = re.fullmatch(rb"listening (127\.0\.0\.1:\d+)\n", line)[1].decode()
        yield process, address
    finally:
        process.kill()
        await process.wait()


class ProgramTests(unittest.TestCase):
    def test_each_standin_prints_its_address_and_exits_on_sigterm(self):
        async def main():
            async with trio.open_nursery() as nursery:
                for name, path in PROBES.items():
                    nursery.start_soon(self.check_standin, name, path)

        trio.run(main)

    async def check_standin(self, name, path):
        async with start_standin(name) as (process, address):
            async with Transport() as transport:
                response = await transport.send("GET", address, path)
            self.assertEqual(response.status, 200)
            process.terminate()
            await process.wait()
        self.assertEqual(process.returncode, -signal.SIGTERM)

    def test_crash_marker_kills_the_engine_and_all_its_runs(self):
        async def main():
            async with start_standin("engine", "--token-seconds=3600") as (
                process,
                address,
            ):
                async with Transport() as transport, trio.open_nursery() as nursery:
                    for content in ("neighbour", "CRASH-ENGINE"):
                        nursery.start_soon(
                            self.check_crash, transport, address, content
                        )
                await process.wait()
            self.assertEqual(process.returncode, 1)

        trio.run(main)

    async def check_crash(self, transport, address, content):
        body = {"messages": [{"role": "user", "content": content}]}
        with self.assertRaises(ExchangeBroken):
            await transport.send(
                "POST", address, "/v1/chat/completions", value=body, timeout=None
            )
