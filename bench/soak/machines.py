"""Frontends and ledger members of a soak, each a process on an address of its own."""

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import final

import trio

from bench.soak.checks import (
    DRAIN_SECONDS,
    PROPAGATION_SECONDS,
    REVOCATION_SECONDS,
    STABLE_SECONDS,
)
from bench.soak.records import Disturbance, Evidence
from goldcrestvane_daemon.bootstrap import LISTEN_VARIABLE

DAEMON_MODULE = "goldcrestvane_daemon.bootstrap"
CLIENT_PORT = 18_490
READY_PORT = 18_491
CONTROL_PORT = 18_492
PEER_PORT = 18_480
GRACE_SECONDS = 8.0
POLL_SECONDS = 0.05
START_SECONDS = 60.0

SETTINGS = """
node_name = "{name}"
ip = "{host}"
zone = "d{domain}"
internal_port_range = [{peer}, {peer}]
seeds = [{seeds}]
{data}
[listen_addresses]
{addresses}
[platform]
address = "{store}"
[fault_tolerance]
machines = 1
[bounds]
drain_ms = {drain}
grace_s = {grace}
stable_window_ms = {stable}
config_propagation_ms = {propagation}
revocation_strict = true
revocation_ms = {revocation}
"""


def build_prefix() -> str:
    """Returns the first bytes of loopback addresses that only this run uses."""
    number = os.getpid()
    return f"127.{1 + number // 250 % 250}.{number % 250}"


@final
class Machine:
    """One machine, which runs one process at a time.

    Attributes:
        name: Name of the machine.
        host: Its address.
        start_count: Number of starts of its process.
        stopping: Whether its process is being stopped, killed or frozen.
    """

    def __init__(
        self,
        *,
        role: str,
        number: int,
        prefix: str,
        seeds: list[str],
        store: str,
        folder: Path,
        evidence: Evidence,
    ) -> None:
        self.name = f"{role}-{number}"
        self.host = f"{prefix}.{number + (100 if role == 'ledger' else 1)}"
        self.start_count = 0
        self.stopping = False
        self._role = role
        self._evidence = evidence
        self._process: subprocess.Popen[bytes] | None = None
        self._path = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        data = f'data_directory = "{folder / self.name}"' if role == "ledger" else ""
        names = {"frontend": CLIENT_PORT, "ready": READY_PORT}
        names["control_plane"] = CONTROL_PORT
        addresses = "\n".join(f'{k} = "{self.host}:{v}"' for k, v in names.items())
        early = (CLIENT_PORT, READY_PORT) if role == "frontend" else (PEER_PORT,)
        self._early_addresses = ",".join(f"{self.host}:{port}" for port in early)
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                domain=number % 3,
                peer=PEER_PORT,
                seeds=", ".join(f'"{seed}"' for seed in seeds),
                data=data,
                addresses=addresses if role == "frontend" else "",
                store=store,
                drain=int(DRAIN_SECONDS * 1000),
                grace=GRACE_SECONDS,
                stable=int(STABLE_SECONDS * 1000),
                propagation=int(PROPAGATION_SECONDS * 1000),
                revocation=int(REVOCATION_SECONDS * 1000),
            )
        )

    def start(self) -> None:
        """Starts the process."""
        self.start_count += 1
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", DAEMON_MODULE, f"--role={self._role}"],
                env={
                    **os.environ,
                    "GOLDCRESTVANE_BOOT": str(self._path),
                    LISTEN_VARIABLE: self._early_addresses,
                },
                stdout=log,
                stderr=log,
            )

    async def wait_until_listening(self) -> None:
        """Waits until the process accepts connections."""
        port = CLIENT_PORT if self._role == "frontend" else PEER_PORT
        with trio.fail_after(START_SECONDS):
            while True:
                try:
                    stream = await trio.open_tcp_stream(self.host, port)
                except OSError:
                    await trio.sleep(POLL_SECONDS)
                else:
                    await stream.aclose()
                    return

    async def terminate(self) -> None:
        """Stops the process with SIGTERM and starts it again."""
        with self._record("term"):
            self._send(signal.SIGTERM)
            with trio.move_on_after(GRACE_SECONDS):
                await self._wait_exit()
            self._send(signal.SIGKILL)
            await self._restart()

    async def kill(self, down_seconds: float) -> None:
        """Kills the process and starts it again after a pause."""
        with self._record("kill"):
            self._send(signal.SIGKILL)
            await self._wait_exit()
            await trio.sleep(down_seconds)
            await self._restart()

    async def freeze(self, seconds: float) -> None:
        """Suspends the process for some seconds."""
        with self._record("freeze"):
            self._send(signal.SIGSTOP)
            try:
                await trio.sleep(seconds)
            finally:
                self._send(signal.SIGCONT)

    async def hang_up(self) -> None:
        """Tells the process that its settings file has changed."""
        with self._record("hup"):
            self._send(signal.SIGHUP)
            await trio.sleep(POLL_SECONDS)

    def end(self) -> None:
        """Ends the process for good."""
        if self._process is not None:
            self._send(signal.SIGKILL)
            self._process.wait()

    @contextmanager
    def _record(self, kind: str) -> Iterator[None]:
        self.stopping = True
        start, began_at = self.start_count, trio.current_time()
        try:
            yield
        finally:
            self.stopping = False
            self._evidence.disturbances.append(
                Disturbance(
                    kind=kind,
                    subject=self.name,
                    start=start,
                    began_at=began_at,
                    ended_at=trio.current_time(),
                )
            )

    def _send(self, number: signal.Signals) -> None:
        assert self._process is not None
        if self._process.poll() is None:
            self._process.send_signal(number)

    async def _wait_exit(self) -> None:
        assert self._process is not None
        while self._process.poll() is None:
            await trio.sleep(POLL_SECONDS)

    async def _restart(self) -> None:
        await self._wait_exit()
        self.start()
        await self.wait_until_listening()
