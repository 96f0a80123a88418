"""Test case that runs several frontends with the same store, ledger and targets."""

import unittest

import trio

from frontend.frontend_case import CONFIGURATION, HOST, Frontend
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.platform.store import ObjectKind


class SharedFrontendsCase(unittest.TestCase):
    """Runs a script against two frontends; the script may start more."""

    def run_frontends(self, script, *targets):
        async def main():
            async with Transport() as transport, trio.open_nursery() as nursery:
                self.transport = transport
                first = Frontend(nursery)
                await first.start(transport, targets, CONFIGURATION)
                second = await self.start_another(first)
                with trio.fail_after(60):
                    await script(first, second)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def start_another(self, first):
        """Starts another frontend, which knows the targets that are listed now."""
        frontend = Frontend(first.nursery)
        frontend.platform, frontend.ledger = first.platform, first.ledger
        frontend.targets = first.targets
        await frontend.start(self.transport, (), CONFIGURATION)
        await frontend.wait_synced(ObjectKind.TARGETS)
        return frontend

    async def read_events(self, frontend, path, last, **headers):
        """Begins a stream, reads up to the data of an event and breaks the connection."""
        stream = await trio.open_tcp_stream(HOST, frontend.port)
        async with stream:
            await stream.send_all(frontend.build_request(path, **headers))
            received = b""
            while last not in received:
                data = await stream.receive_some()
                self.assertTrue(data, received)
                received += data
