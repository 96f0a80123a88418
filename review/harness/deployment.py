"""A small deployment: the project's processes, and stand-ins for all around them."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.clients import Balancer, Client
from harness.machines import CannotRun, Machine, Network
from harness.record import Record
from harness.replicas import Replica
from harness.store import PlatformStore

HOST = "ficu95.example"
TURN_PATH = "/pufi791/"
FREE_TURN_PATH = "/lohu930/"
LOOKUP_PATH = "/pule252/"
ORDER_PATH = "/puxa403/"
ZONES = ("milano", "torino", "verona")
MODEL_SERVICE = "huvo11a"
TOOL_SERVICE = "wuno96b"
GRACE_SECONDS = 8.0
START_SECONDS = 25.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

Case = Callable[["Deployment"], Awaitable[bool]]


def _build_route(
    name: str, path: str, kind: str, **fields: object
) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 0,
        **fields,
    }


def build_configuration(version: int = 7) -> dict[str, object]:
    """Returns a config like that of the site passolungo-hq."""
    kept = {"attempts": 2, "retention_s": 60.0, "sticky": True, "target_gap_ms": 250}
    model, tool = {"service": MODEL_SERVICE}, {"service": TOOL_SERVICE}
    return {
        "version": version,
        "routes": [
            _build_route(
                "companion",
                TURN_PATH,
                "streaming",
                retention_enabled=True,
                resumable=False,
                **kept,
                **model,
            ),
            _build_route(
                "advice",
                FREE_TURN_PATH,
                "streaming",
                retention_enabled=False,
                resumable=True,
                **kept,
                **model,
            ),
            _build_route("lookup", LOOKUP_PATH, "idempotent", attempts=2, **tool),
            _build_route("order", ORDER_PATH, "non_idempotent", attempts=1, **tool),
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "health_path": "/health",
                "connection_limit": 170,
                "inference_engine": {
                    "slots": 16,
                    "kv_cache_tokens": 484_854,
                    "tokens_per_event": 22,
                },
            },
            {
                "name": TOOL_SERVICE,
                "health_path": "/health",
                "connection_limit": 100,
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
    }


class Deployment:
    """The processes and stand-ins of one run.

    Attributes:
        trouble: Whether the disruption takes place.
        record: What happened.
        network: Addresses and ports.
        store: The platform's store.
        machines: Machines of the system by name.
        replicas: Replicas of both services.
        balancer: The platform's balancer.
        client: Sends requests.
        bounds: Bounds in the settings that differ from the usual ones.
        configuration: The first config of the operator.
    """

    def __init__(self, folder: Path, record: Record, *, tolerated: int) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.network = Network()
        self.store = PlatformStore()
        self.machines: dict[str, Machine] = {}
        self.replicas: list[Replica] = []
        self.bounds: dict[str, object] = {}
        self.configuration = build_configuration()
        self._folder = folder
        self._tolerated = tolerated
        self._next_store_byte = 101
        hosts = [f"{self.network.prefix}.{number}" for number in range(1, 41)]
        self._frontend_hosts = hosts
        self._seeds = [f"{host}:{self.network.control}" for host in hosts[:3]]
        self.balancer = Balancer([], self.network.ready)
        self.client = Client(host=HOST, port=self.network.client, record=record)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def frontends(self) -> list[str]:
        """Addresses of the frontends, in the order of their numbers."""
        return [each.host for each in self.machines.values() if each.role == "frontend"]

    def find_machine(self, host: str) -> Machine:
        """Returns the machine with an address."""
        return next(each for each in self.machines.values() if each.host == host)

    def add_frontend(self, number: int) -> Machine:
        """Adds a frontend, which is not started yet."""
        return self._add(
            f"frontend-{ZONES[number % 3]}-{number // 3 + 1}",
            role="frontend",
            zone=ZONES[number % 3],
            last_byte=number + 1,
        )

    def add_store_machine(
        self, number: int, zone: str, *, bootstrap: bool = True
    ) -> Machine:
        """Adds a machine with a disk, which is not started yet."""
        self._next_store_byte += 1
        return self._add(
            f"storage-{zone}-{number}",
            role="ledger",
            zone=zone,
            last_byte=self._next_store_byte,
            bootstrap=bootstrap,
        )

    def _add(self, name: str, **fields: object) -> Machine:
        machine = Machine(
            name,
            network=self.network,
            folder=self._folder,
            tolerated=self._tolerated,
            seeds=self._seeds,
            bounds=self.bounds,
            **fields,  # type: ignore[arg-type]
        )
        self.machines[name] = machine
        return machine

    def start_machine(self, machine: Machine) -> None:
        """Starts the process of a machine."""
        machine.start()
        machine.started_at = self.record.now
        self.record.add("start", machine=machine.name)

    def kill(self, machine: Machine) -> None:
        """Kills the process of a machine."""
        self.record.add("kill", machine=machine.name)
        machine.end()

    def wipe(self, machine: Machine) -> None:
        """Empties the disk of a machine whose process was killed."""
        self.record.add("wipe", machine=machine.name)
        shutil.rmtree(machine.disk)
        machine.disk.mkdir()
        machine.bootstrap = False

    async def restart_with_term(
        self, machine: Machine, down_seconds: float = 0.0
    ) -> None:
        """Sends SIGTERM, waits for the end as the platform does, and starts again."""
        self.record.add("term", machine=machine.name)
        machine.send(signal.SIGTERM)
        for _ in range(int(GRACE_SECONDS / 0.05)):
            if machine.pid is None:
                break
            await asyncio.sleep(0.05)
        machine.end()
        self.record.add("ended", machine=machine.name)
        machine.bootstrap = False
        await asyncio.sleep(down_seconds)
        self.start_machine(machine)

    async def start(
        self, *, stores_in_zone: int, frontends: int, models: int, tools: int
    ) -> None:
        """Starts everything and waits until clients can be served.

        Raises:
            CannotRun: It is not ready in time.
        """
        host, port = self.network.store_address.split(":")
        await self.store.start(host, int(port))
        self.store.put("config", "main", self.configuration)
        for service, count, slots, base in (
            (MODEL_SERVICE, models, 16, 41),
            (TOOL_SERVICE, tools, 6, 61),
        ):
            for number in range(count):
                replica = Replica(
                    service=service,
                    zone=ZONES[number % 3],
                    host=f"{self.network.prefix}.{base + number}",
                    slots=slots,
                    store=self.store,
                    record=self.record,
                )
                await replica.start()
                self.replicas.append(replica)
        for number in range(1, stores_in_zone + 1):
            for zone in ZONES:
                self.start_machine(self.add_store_machine(number, zone))
        for number in range(frontends):
            self.start_machine(self.add_frontend(number))
        self.balancer = Balancer(self.frontends, self.network.ready)
        self.run_in_background(self.balancer.run())
        if not await self.balancer.wait_ready(frontends, START_SECONDS):
            raise CannotRun("the frontends are not ready in time")
        for machine in self.machines.values():
            machine.bootstrap = False
        self.record.add("ready", seconds=round(self.record.now, 1))

    def run_in_background(self, work: Awaitable[None]) -> None:
        """Runs a task until the end of the case."""
        self._tasks.append(asyncio.ensure_future(work))  # type: ignore[arg-type]

    def end(self) -> None:
        """Ends all processes."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines.values():
            machine.end()

    def report_unexpected_ends(self) -> None:
        """Records machines whose process has ended by itself."""
        for machine in self.machines.values():
            if machine.pid is None:
                self.record.add("not running at the end", machine=machine.name)


def run_case(
    file: str, case: Case, *, tolerated: int = 1, limit_seconds: float = 115.0
) -> None:
    """Runs a case and exits with 0, 1 or 2.

    Args:
        file: File of the case; the record is written beside it.
        case: Returns whether the rule held.
        tolerated: Machines with disks that may be lost at once.
        limit_seconds: Time after which the case counts as one that could not run.
    """
    record = Record(Path(file).parent / "record.txt")

    async def run(folder: Path) -> bool:
        deployment = Deployment(folder, record, tolerated=tolerated)
        try:
            async with asyncio.timeout(limit_seconds):
                return await case(deployment)
        finally:
            deployment.end()
            if keep := os.environ.get("KEEP_LOGS"):
                for machine in deployment.machines.values():
                    path = Path(keep) / f"{machine.name}.log"
                    path.write_text(machine.read_log())

    status = CANNOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = HELD if asyncio.run(run(Path(folder))) else BROKEN
        except (CannotRun, OSError, TimeoutError) as error:
            record.add("cannot run", reason=repr(error))
    record.add("result", exit=status)
    print({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "no run"))
    sys.exit(status)
