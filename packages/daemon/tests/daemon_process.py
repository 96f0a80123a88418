"""A real process of the daemon, which is signalled and judged by its exit code."""

import os
import socket
import subprocess
import sys
import tempfile
import threading
import unittest
from pathlib import Path

from goldcrestvane_daemon.bootstrap import LISTEN_VARIABLE
from goldcrestvane_daemon.platform.machine import SETTINGS_PATH_VARIABLE

SETTINGS = """
node_name = "machine-0"
ip = "{host}"
zone = "zone-0"
internal_port_range = [{peers}, {peers}]
seeds = []
data_directory = "{folder}"
[listen_addresses]
frontend = "{host}:{clients}"
ready = "{host}:{ready}"
control_plane = "{host}:{control}"
[platform]
address = "{host}:{store}"
"""
PORT_NAMES = ("clients", "ready", "control", "peers", "store")
HANG_SECONDS = 60.0
"""Time after which a process that hangs is killed, so that its test fails."""

OWN_FORM_FLAGS = ("--role=entry", "--instance=entry-0", "--domain=zone-0")


class ProcessCase(unittest.TestCase):
    """Starts processes on an address of their own, without a platform."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.settings_path = self.folder / "settings.toml"
        # A process of its own has an address of its own, as on the platform.
        number = os.getpid()
        self.host = f"127.{number >> 16 & 63 | 64}.{number >> 8 & 255}.{number & 255}"
        self.ports = {name: self.reserve_port() for name in PORT_NAMES}
        self.data_folder = self.folder / "disk"
        self.write_settings()

    def reserve_port(self):
        with socket.create_server((self.host, 0)) as server:
            return server.getsockname()[1]

    def write_settings(self):
        self.settings = SETTINGS.format(
            host=self.host, folder=self.data_folder, **self.ports
        )
        self.settings_path.write_text(self.settings)

    def start(self, role):
        """Starts a process; in the own form if the role is ``entry``."""
        module, flags = "bootstrap", [f"--role={role}"]
        if role == "entry":
            store = f"{self.host}:{self.ports['store']}"
            module = "main"
            flags = [*OWN_FORM_FLAGS, f"--platform={store}", f"--instances={store}"]
            flags.append(f"--listen={self.host}:{self.ports['clients']}")
        early = {"frontend": ("clients", "ready"), "ledger": ("peers",)}.get(role, ())
        addresses = (f"{self.host}:{self.ports[name]}" for name in early)
        process = subprocess.Popen(
            [sys.executable, "-m", f"goldcrestvane_daemon.{module}", *flags],
            env={
                **os.environ,
                SETTINGS_PATH_VARIABLE: str(self.settings_path),
                LISTEN_VARIABLE: ",".join(addresses),
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        watchdog = threading.Timer(HANG_SECONDS, process.kill)
        watchdog.start()
        self.addCleanup(watchdog.cancel)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def wait_for_line(self, process, part):
        """Reads the log up to a line with a text, and returns what was read."""
        read = []
        for line in process.stdout:
            read.append(line)
            if part in line:
                return read
        self.fail(f"{process.args}: {process.wait()}, no line with {part!r}: {read}")
