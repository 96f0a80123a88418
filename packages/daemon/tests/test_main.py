import gc
import socket
import subprocess
import sys
import unittest
from unittest import mock

import trio

from goldcrestvane_daemon.listening import open_listener
from goldcrestvane_daemon.main import PLATFORM_ROLES, import_role

LIST_MODULES = "import sys, goldcrestvane_daemon.main; print(*sys.modules)"
HEAVY_MODULES = (
    "hypercorn",
    "goldcrestvane_daemon.frontend",
    "prometheus_client",
    "pythonjsonlogger",
    "trio",
)


class RoleTests(unittest.TestCase):
    def test_each_role_can_be_imported(self):
        for role in PLATFORM_ROLES:
            self.assertTrue(callable(import_role(role).run))
            self.assertTrue(gc.isenabled())
        self.assertGreater(gc.get_freeze_count(), 0)
        gc.unfreeze()

    def test_each_role_has_an_address_to_listen_on_before_it_is_imported(self):
        settings = mock.Mock(client_address="clients", peer_address="peers")
        for role, address in (("frontend", "clients"), ("ledger", "peers")):
            found = PLATFORM_ROLES[role].get_address(settings)
            self.assertEqual(found, address)

    def test_address_of_ipv6_is_listened_on(self):
        with mock.patch.object(socket, "create_server") as create_server:
            open_listener("[::1]:80")
        create_server.assert_called_once_with(
            ("::1", 80), family=socket.AF_INET6, backlog=mock.ANY
        )

    def test_connection_made_before_the_process_serves_waits_in_the_backlog(self):
        listener = open_listener("127.0.0.1:0")
        self.addCleanup(listener.close)
        client = socket.create_connection(listener.getsockname())
        self.addCleanup(client.close)
        client.sendall(b"early")
        received = []

        async def main():
            async def serve(stream):
                received.append(await stream.receive_some())
                nursery.cancel_scope.cancel()

            wrapped = trio.socket.from_stdlib_socket(listener)
            async with trio.open_nursery() as nursery:
                await trio.serve_listeners(serve, [trio.SocketListener(wrapped)])

        trio.run(main)
        self.assertEqual(received, [b"early"])

    def test_importing_main_imports_no_role_and_no_heavy_module(self):
        output = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        imported = set(output.split())
        self.assertFalse(imported.intersection(HEAVY_MODULES))


if __name__ == "__main__":
    unittest.main()
