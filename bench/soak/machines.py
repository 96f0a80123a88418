"""Frontends and ledger members of a soak, each a process on an address of its own."""

import os
import shutil
import signal
import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple, final

import trio

from bench.soak.checks import (
    DRAIN_SECONDS,
    PROPAGATION_SECONDS,
    REVOCATION_SECONDS,
    STABLE_SECONDS,
)
from bench.soak.process_checks import CATCH_UP_SECONDS
from bench.soak.processes import POLL_SECONDS, Process
from bench.soak.records import Evidence
from goldcrestvane_daemon.bootstrap import LISTEN_VARIABLE

DAEMON_MODULE = "goldcrestvane_daemon.bootstrap"
CLIENT_PORT = 18_490
READY_PORT = 18_491
CONTROL_PORT = 18_492
PEER_PORT = 18_480
GRACE_SECONDS = 8.0
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
catch_up_s = {catch_up}
stable_window_ms = {stable}
config_propagation_ms = {propagation}
revocation_strict = true
revocation_ms = {revocation}
"""


def build_prefix() -> str:
    """Returns the first bytes of loopback addresses that only this run uses."""
    number = os.getpid()
    return f"127.{1 + number // 250 % 250}.{number % 250}"


class SignalAfter(NamedTuple):
    """A signal that is sent some time after the start or after SIGTERM."""

    number: signal.Signals
    seconds: float


@final
class Machine:
    """One machine, which runs one process at a time.

    Attributes:
        name: Name of the machine.
        host: Its address.
        start_count: Number of starts of its process.
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
        self._order_count = 0
        self._role = role
        self._evidence = evidence
        self._process: Process | None = None
        self._path = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        self._data = folder / self.name
        data = f'data_directory = "{self._data}"' if role == "ledger" else ""
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
                catch_up=CATCH_UP_SECONDS,
                stable=int(STABLE_SECONDS * 1000),
                propagation=int(PROPAGATION_SECONDS * 1000),
                revocation=int(REVOCATION_SECONDS * 1000),
            )
        )

    @property
    def stopping(self) -> bool:
        """Whether its process is being stopped, killed, frozen or started."""
        return self._order_count > 0

    def start(self) -> None:
        """Starts the process."""
        self.start_count += 1
        self._process = Process(
            [sys.executable, "-m", DAEMON_MODULE, f"--role={self._role}"],
            name=self.name,
            start=self.start_count,
            environment={
                "GOLDCRESTVANE_BOOT": str(self._path),
                LISTEN_VARIABLE: self._early_addresses,
            },
            log=self._log,
            evidence=self._evidence,
        )

    async def run(self) -> None:
        """Starts the process again whenever it ends by itself."""
        while True:
            await trio.sleep(POLL_SECONDS)
            if not self.stopping and not self._get_process().is_running():
                with self._record("end"):
                    await self._restart()

    async def wait_until_listening(self) -> None:
        """Waits until the process accepts connections or ends."""
        port = CLIENT_PORT if self._role == "frontend" else PEER_PORT
        process = self._get_process()
        with trio.fail_after(START_SECONDS):
            while process.is_running():
                try:
                    stream = await trio.open_tcp_stream(self.host, port)
                except OSError:
                    await trio.sleep(POLL_SECONDS)
                else:
                    await stream.aclose()
                    process.record_start()
                    return

    async def terminate(self, signals: Iterable[SignalAfter] = ()) -> None:
        """Stops the process with SIGTERM and starts it again.

        Args:
            signals: Further signals during the graceful stop.
        """
        with self._record("term"):
            process = self._get_process()
            async with trio.open_nursery() as nursery:
                for each in signals:
                    nursery.start_soon(process.send_after, each.number, each.seconds)
                await self._stop(process)
                nursery.cancel_scope.cancel()
            await self._restart()

    async def kill(
        self,
        down_seconds: float,
        start_signals: Iterable[SignalAfter] = (),
        *,
        loses_disk: bool = False,
    ) -> None:
        """Kills the process and starts it again after a pause.

        If another order already concerns the process, that one starts it again.

        Args:
            down_seconds: Time until the start.
            start_signals: Signals that meet the process while it starts.
            loses_disk: Whether its folder is emptied.
        """
        is_only_order = not self.stopping
        with self._record("lost disk" if loses_disk else "kill"):
            process = self._get_process()
            process.send(signal.SIGKILL)
            await process.wait()
            if not is_only_order:
                return
            if loses_disk:
                shutil.rmtree(self._data, ignore_errors=True)
            await trio.sleep(down_seconds)
            await self._restart(start_signals)

    async def freeze(self, seconds: float) -> None:
        """Suspends the process for some seconds."""
        with self._record("freeze"):
            process = self._get_process()
            process.send(signal.SIGSTOP)
            try:
                await trio.sleep(seconds)
            finally:
                process.send(signal.SIGCONT)

    async def hang_up(self) -> None:
        """Tells the process that its settings file has changed."""
        with self._record("hup"):
            self._get_process().send(signal.SIGHUP)
            await trio.sleep(POLL_SECONDS)

    def end(self) -> None:
        """Ends the process for good."""
        if self._process is not None:
            self._process.end()

    @contextmanager
    def _record(self, kind: str) -> Iterator[None]:
        self._order_count += 1
        try:
            with self._evidence.record(kind, self.name, self.start_count):
                yield
        finally:
            self._order_count -= 1

    def _get_process(self) -> Process:
        assert self._process is not None
        return self._process

    async def _stop(self, process: Process) -> None:
        process.send(signal.SIGTERM)
        with trio.move_on_after(GRACE_SECONDS):
            await process.wait()
        process.kill_after_grace()
        await process.wait()

    async def _restart(self, signals: Iterable[SignalAfter] = ()) -> None:
        """Starts the process, and again after each signal that ends it."""
        await self._get_process().wait()
        self.start()
        for number, seconds in signals:
            process = self._get_process()
            await trio.sleep(seconds)
            if number is signal.SIGTERM:
                await self._stop(process)
            else:
                process.send(number)
            if number is signal.SIGKILL:
                await process.wait()
            if not process.is_running():
                self.start()
        await self.wait_until_listening()
