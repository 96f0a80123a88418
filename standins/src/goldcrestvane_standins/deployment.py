"""Starts a complete deployment on the local machine for the demo, tests and benchmarks.

A deployment consists of the stand-ins of the platform, targets with one sidecar each,
and entries. Each runs as a separate process that can be killed, suspended, stopped and
restarted.
"""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any, final

import msgspec
import trio

from goldcrestvane_common.messages import (
    Instance,
    InstanceState,
    Role,
)
from goldcrestvane_common.settings import (
    TeamDocument,
    TeamSettings,
    build_settings_key,
)
from goldcrestvane_common.transport import (
    ClientResponse,
    ConnectFailed,
    ExchangeBroken,
    Transport,
)

POLL_SECONDS = 0.05
START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 90.0
PEER_TOKEN = "a secret of the test deployment"
LISTENING_PREFIX = "listening "

LOG_TAIL_BYTES = 4000
"""Size of the end of a log that an error quotes. The folder of the logs may be gone when
the error is read."""


class TargetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Targets of one service.

    Attributes:
        service: Name of the service.
        kind: ``model`` or ``tool``.
        count: Number of targets, assigned to the domains in round-robin order.
        slots: Number of calls that one target runs concurrently.
        options: Additional flags for the stand-in.
    """

    service: str
    kind: str
    count: int
    slots: int = 8
    options: tuple[str, ...] = ()


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Composition of a deployment.

    Attributes:
        domains: Failure domains.
        targets: Targets of each service.
        teams: Settings of each team.
        entries: Number of entries, assigned to the domains in round-robin order.
        shard_count: Total number of shards.
        list_lag: Delay with which the instance list shows changes, in seconds.
        log_level: Minimum log level of the daemons.
    """

    domains: tuple[str, ...]
    targets: tuple[TargetPlan, ...]
    teams: dict[str, TeamSettings]
    entries: int = 2
    shard_count: int = 16
    list_lag: float = 0.0
    log_level: str = "INFO"


@final
class ManagedProcess:
    """One process of a deployment.

    Attributes:
        name: Name within the deployment. For a daemon, it is also the instance id.
        address: ``host:port`` that the process listens on.
    """

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        self.name = name
        self.address = ""
        self._command = command
        self._log = log
        self._process: subprocess.Popen[str] | None = None

    @property
    def pid(self) -> int:
        """Process id of the running process."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.poll() is None

    def start(self, *extra: str) -> IO[str]:
        """Starts the process and returns its standard output."""
        with self._log.open("a") as log:
            self._process = subprocess.Popen(
                [*self._command, *extra], stdout=subprocess.PIPE, stderr=log, text=True
            )
        assert self._process.stdout is not None
        return self._process.stdout

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kills the process and waits for it to exit."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def describe_exit(self) -> str:
        """Returns the exit code and the end of the log, for an error message."""
        code = self._process.poll() if self._process is not None else None
        log = self._log.read_bytes() if self._log.exists() else b""
        tail = log[-LOG_TAIL_BYTES:].decode(errors="replace")
        return f"exit code {code}; the end of its log:\n{tail}"

    async def wait_for_exit(self) -> int:
        """Waits for the process to exit and returns its exit code."""
        with trio.fail_after(STOP_TIMEOUT_SECONDS):
            while self.is_running:
                await trio.sleep(POLL_SECONDS)
        assert self._process is not None
        return self._process.returncode


@final
class Deployment:
    """A deployment that runs while its asynchronous context manager is open.

    Attributes:
        processes: All processes by name: ``objectapi``, ``instances``,
            ``target-SERVICE-N``, ``sidecar-SERVICE-N`` and ``entry-N``.
        transport: Client for the HTTP interfaces of the processes.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._rows: dict[str, Instance] = {}
        self._reservations: list[socket.socket] = []
        self.processes: dict[str, ManagedProcess] = {}
        self.transport = Transport(peer_token=PEER_TOKEN)

    async def __aenter__(self) -> "Deployment":
        self._folder.mkdir(parents=True, exist_ok=True)
        try:
            await self._start_all()
        except BaseException:
            self._kill_all()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        with trio.CancelScope(shield=True):
            await self.transport.close()
        self._kill_all()

    def _kill_all(self) -> None:
        for process in self.processes.values():
            process.kill()
        for reservation in self._reservations:
            reservation.close()

    def reserve_address(self) -> str:
        """Returns an address that only processes of this deployment listen on."""
        reservation = reserve_port()
        self._reservations.append(reservation)
        return get_address(reservation)

    async def _start_all(self) -> None:
        await self.start_standin("objectapi", "objectapi")
        lag = f"--lag={self._plan.list_lag}"
        await self.start_standin("instances", "instances", lag)
        for team, settings in self._plan.teams.items():
            await self.create_team_settings(team, settings)
        async with trio.open_nursery() as nursery:
            for target in self._plan.targets:
                for number in range(target.count):
                    nursery.start_soon(self._start_target, target, number)
            for number in range(self._plan.entries):
                nursery.start_soon(self.start_entry, f"entry-{number}", number)
        await self.wait_ready()

    async def create_team_settings(self, team: str, settings: TeamSettings) -> None:
        """Writes the initial settings of a team."""
        key = build_settings_key(team)
        body = {"value": TeamDocument(settings), "expected_version": 0}
        await self.request("objectapi", "PUT", f"/v1/objects/{key}", body)

    async def start_standin(self, name: str, module: str, *options: str) -> None:
        """Starts a stand-in on a free port, or restarts it on its previous port."""
        process = self.processes.get(name)
        listen = "127.0.0.1:0" if process is None else process.address
        if process is None:
            command = [sys.executable, "-m", f"goldcrestvane_standins.{module}"]
            log = self._folder / f"{name}.log"
            process = ManagedProcess(name, [*command, *options], log)
            self.processes[name] = process
        output = process.start(f"--listen={listen}")
        line = await trio.to_thread.run_sync(output.readline)
        if not line.startswith(LISTENING_PREFIX):
            raise RuntimeError(f"{name} did not start: {process.describe_exit()}")
        process.address = line.removeprefix(LISTENING_PREFIX).strip()

    async def _start_target(self, target: TargetPlan, number: int) -> None:
        module = "engine" if target.kind == "model" else "tool"
        name = f"target-{target.service}-{number}"
        options = target.options
        if target.kind == "model":
            options = (*options, f"--slots={target.slots}")
        await self.start_standin(name, module, *options)
        await self.start_sidecar(target, number)

    async def start_sidecar(self, target: TargetPlan, number: int) -> None:
        """Starts the sidecar of a target."""
        address = self.processes[f"target-{target.service}-{number}"].address
        domain = self._plan.domains[number % len(self._plan.domains)]
        await self._start_daemon(
            f"sidecar-{target.service}-{number}",
            Role.SIDECAR,
            domain,
            service=target.service,
            options=(
                f"--service={target.service}",
                f"--target_kind={target.kind}",
                f"--target_address={address}",
                f"--target_slots={target.slots}",
            ),
        )

    async def start_entry(self, name: str, number: int) -> None:
        """Starts an entry."""
        domain = self._plan.domains[number % len(self._plan.domains)]
        await self._start_daemon(name, Role.ENTRY, domain)

    async def _start_daemon(
        self,
        name: str,
        role: Role,
        domain: str,
        *,
        service: str | None = None,
        options: tuple[str, ...] = (),
    ) -> None:
        process = self.processes.get(name)
        if process is None:
            command = [
                str(Path(sys.executable).with_name("goldcrestvaned")),
                f"--role={role.value}",
                f"--instance={name}",
                f"--domain={domain}",
                f"--platform={self.processes['objectapi'].address}",
                f"--instances={self.processes['instances'].address}",
                f"--shard_count={self._plan.shard_count}",
                f"--log_level={self._plan.log_level}",
                f"--peer_token={PEER_TOKEN}",
                *options,
            ]
            process = ManagedProcess(name, command, self._folder / f"{name}.log")
            process.address = self.reserve_address()
            self.processes[name] = process
        process.start(f"--listen={process.address}")
        row = Instance(name, role, process.address, domain, service=service)
        await self.put_instance(row)
        await self._wait_healthy(name)

    async def _wait_healthy(self, name: str) -> None:
        process = self.processes[name]

        async def is_healthy() -> bool:
            if not process.is_running:
                raise RuntimeError(
                    f"{name} exited during startup: {process.describe_exit()}"
                )
            return await self._probe(name, "/healthz")

        await self.wait_until(is_healthy, f"{name} is healthy")

    async def restart(self, name: str) -> None:
        """Restarts a daemon or a stand-in that has exited."""
        process = self.processes[name]
        if name not in self._rows:
            await self.start_standin(name, "")
            return
        process.start(f"--listen={process.address}")
        row = msgspec.structs.replace(self._rows[name], state=InstanceState.LIVE)
        await self.put_instance(row)
        await self._wait_healthy(name)

    async def put_instance(self, row: Instance) -> None:
        """Adds or replaces a row of the platform's instance list."""
        self._rows[row.instance] = row
        value = {
            "instance": row.instance,
            "role": row.role,
            "address": row.address,
            "domain": row.domain,
            "state": row.state,
            "service": row.service,
        }
        path = f"/control/instances/{row.instance}"
        await self.request("instances", "PUT", path, value)

    async def mark_leaving(self, name: str) -> None:
        """Marks an instance as leaving in the platform's instance list."""
        row = msgspec.structs.replace(self._rows[name], state=InstanceState.LEAVING)
        await self.put_instance(row)

    async def remove_instance(self, name: str) -> None:
        """Removes an instance from the platform's instance list."""
        await self.request("instances", "DELETE", f"/control/instances/{name}")

    async def request(
        self, name: str, method: str, path: str, value: Any = None
    ) -> ClientResponse:
        """Sends a request to a process.

        Raises:
            RuntimeError: The response has an error status.
        """
        address = self.processes[name].address
        response = await self.transport.send(method, address, path, value=value)
        if response.status >= 400:
            raise RuntimeError(
                f"{name} {path}: {response.status} {response.body[:300]!r}"
            )
        return response

    async def read_record(self, name: str) -> list[dict[str, Any]]:
        """Returns the runs or side effects that a target has recorded."""
        response = await self.request(name, "GET", "/control/record")
        value = msgspec.json.decode(response.body)
        return value if isinstance(value, list) else next(iter(value.values()))

    async def _is_ready(self, name: str) -> bool:
        return await self._probe(name, "/readyz")

    async def _probe(self, name: str, path: str) -> bool:
        address = self.processes[name].address
        try:
            response = await self.transport.send("GET", address, path, timeout=1.0)
        except (ConnectFailed, ExchangeBroken):
            return False
        return response.status == 200

    async def wait_ready(self) -> None:
        """Waits until every daemon is ready and every shard has an owner."""
        for name in self._rows:
            await self.wait_until(lambda n=name: self._is_ready(n), f"{name} is ready")

    async def wait_until(
        self,
        condition: Callable[[], Any],
        description: str,
        *,
        timeout: float | None = None,
    ) -> None:
        """Polls an asynchronous condition until it holds.

        Raises:
            TimeoutError: The condition did not hold in time.
        """
        with trio.move_on_after(timeout or START_TIMEOUT_SECONDS):
            while not await condition():
                await trio.sleep(POLL_SECONDS)
            return
        raise TimeoutError(
            f"Timed out waiting until {description}; see {self._folder}."
        )


def reserve_port() -> socket.socket:
    """Returns a socket that keeps a TCP port for a process that listens on it later.

    The socket is bound and does not listen. No other socket gets the port by chance, and
    a process that sets `SO_REUSEADDR`, as servers do, can listen on it.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation


def get_address(reservation: socket.socket) -> str:
    """Returns the ``host:port`` that a socket is bound to."""
    host, port = reservation.getsockname()
    return f"{host}:{port}"
