"""Measures what a call and a streamed event cost a frontend of the platform.

A frontend and a ledger run as separate processes. The clients, one target and the
platform's store run in this process. A bare byte forwarder is measured in the same run
for comparison.
"""

import os
import subprocess
import sys
from pathlib import Path

import h11
import trio

from cost.report import Target, print_rows
from cost.usage import Meter
from goldcrestvane_common.server import Application, serve_http
from goldcrestvane_standins.platformstore import PlatformStore

HOST = "127.0.0.1"
FRONTEND_HOST = "127.0.0.3"
LEDGER_HOST = "127.0.0.2"
PEER_PORT = 18_380
CLIENT_PORT = 18_390
READY_PORT = 18_391
CALLS = 600
STREAMS = 30
EVENTS = 100
EVENT_SECONDS = 0.005
WORKERS = 4
MAX_CALL_MS = 2.0
MAX_EVENT_MS = 0.05
START_SECONDS = 20.0

SETTINGS = """
node_name = "{name}"
ip = "{host}"
zone = "d1"
internal_port_range = [{port}, {port}]
data_directory = "{folder}"
[listen_addresses]
frontend = "{host}:{client}"
ready = "{host}:{ready}"
[platform]
address = "{store}"
[fault_tolerance]
machines = 0
"""


def build_configuration() -> dict:
    """Returns a configuration with a lookup route and a streaming route."""
    common = {"host": "h", "service": "s", "timeout_ms": 20_000, "attempts": 1}
    return {
        "version": 1,
        "routes": [
            {"name": "get", "path_prefix": "/get/", "kind": "idempotent", **common},
            {"name": "turn", "path_prefix": "/turn/", "kind": "streaming", **common},
        ],
        "services": [{"name": "s", "inference_engine": {"tokens_per_event": 1}}],
    }


async def serve_target(stream: trio.SocketStream) -> None:
    """Serves one connection: whole responses to lookups, event streams to turns."""
    parser = h11.Connection(h11.SERVER)
    headers = [(b"Goldcrestvane-Response-Signature", b"s")]
    while True:
        path = await _read_request(stream, parser)
        if path is None:
            return
        if path.startswith(b"/get/"):
            lookup_headers = [*headers, (b"content-length", b"800")]
            parts = [
                parser.send(h11.Response(status_code=200, headers=lookup_headers)),
                parser.send(h11.Data(data=b"x" * 800)),
            ]
            await stream.send_all(b"".join(part for part in parts if part))
        else:
            head = h11.Response(status_code=200, headers=headers)
            await stream.send_all(parser.send(head) or b"")
            for number in range(1, int(path.rpartition(b"/")[2]) + 1):
                event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 140)
                await stream.send_all(parser.send(h11.Data(data=event)) or b"")
                await trio.sleep(EVENT_SECONDS)
        await stream.send_all(parser.send(h11.EndOfMessage()) or b"")
        parser.start_next_cycle()


async def _read_request(
    stream: trio.SocketStream, parser: h11.Connection
) -> bytes | None:
    path = None
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some())
        elif isinstance(event, h11.Request):
            path = event.target
        elif isinstance(event, h11.EndOfMessage):
            return path
        elif isinstance(event, h11.ConnectionClosed):
            return None


async def run_client(address: str, paths: list[str]) -> None:
    """Sends calls in sequence on one connection."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        parser = h11.Connection(h11.CLIENT)
        for number, path in enumerate(paths):
            headers = [
                ("host", "h"),
                ("goldcrestvane-request-id", f"{id(stream)}-{number}"),
                ("goldcrestvane-program-id", f"p{id(stream)}-{number}"),
                ("goldcrestvane-token-budget", "100000"),
                ("goldcrestvane-token-usage", "10,1000"),
            ]
            request = h11.Request(method="GET", target=path, headers=headers)
            await stream.send_all(parser.send(request) or b"")
            parser.send(h11.EndOfMessage())
            while not isinstance(event := parser.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    parser.receive_data(await stream.receive_some())
                elif isinstance(event, h11.Response) and event.status_code != 200:
                    raise RuntimeError(f"Got status {event.status_code} for {path}.")
            parser.start_next_cycle()


async def measure_cpu_seconds(address: str, pid: int, paths: list[str]) -> float:
    """Returns the processor seconds of a process while all workers send the calls."""
    await run_client(address, paths[:2])
    meter = Meter({"process": pid})
    async with trio.open_nursery() as nursery:
        for _ in range(WORKERS):
            nursery.start_soon(run_client, address, paths)
    return meter.read_cpu()["process"]


async def measure_call_and_event(address: str, pid: int) -> tuple[float, float]:
    """Returns the processor time in milliseconds of a whole call and of an event."""
    calls = await measure_cpu_seconds(address, pid, ["/get/x"] * CALLS)
    short = await measure_cpu_seconds(address, pid, ["/turn/1"] * STREAMS)
    long = await measure_cpu_seconds(address, pid, [f"/turn/{EVENTS}"] * STREAMS)
    events = WORKERS * STREAMS * (EVENTS - 1)
    return calls / (WORKERS * CALLS) * 1000, (long - short) / events * 1000


def start_role(role: str, host: str, store: str, folder: Path) -> subprocess.Popen:
    """Starts the process of a role that uses the platform."""
    path = folder / f"{role}.toml"
    path.write_text(
        SETTINGS.format(
            name=role,
            host=host,
            port=PEER_PORT,
            folder=folder / "data",
            client=CLIENT_PORT,
            ready=READY_PORT,
            store=store,
        )
    )
    return subprocess.Popen(
        [sys.executable, "-m", "goldcrestvane_daemon.main", f"--role={role}"],
        env={**os.environ, "GOLDCRESTVANE_BOOT": str(path)},
        stdout=subprocess.DEVNULL,
    )


def start_bare_forwarder(target: str) -> tuple[subprocess.Popen, str]:
    """Starts a bare forwarder and returns its process and address."""
    process = subprocess.Popen(
        [sys.executable, "-m", "cost.bare_frontend", target],
        env={**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)},
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    return process, process.stdout.readline().strip()


async def wait_until_serving(address: str) -> None:
    """Waits until the frontend serves calls."""
    with trio.fail_after(START_SECONDS):
        while True:
            try:
                await run_client(address, ["/get/x", "/turn/1"])
            except (OSError, RuntimeError, h11.RemoteProtocolError):
                await trio.sleep(0.2)
            else:
                return


async def run_frontend(folder: Path) -> list[Target]:
    """Prints the costs of the frontend and a bare forwarder; returns the targets."""
    await trio.Path(folder).mkdir(parents=True)
    platform = PlatformStore()
    processes: list[subprocess.Popen] = []
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, serve_target, listeners)
        router = platform.build_router()
        store = await nursery.start(serve_http, Application(router), f"{HOST}:0")
        platform.put("config", "main", build_configuration())
        server = {"service": "s", "address": f"{HOST}:{port}", "zone": "d1"}
        platform.put("servers", "i-1", {**server, "slots": 64, "state": "ready"})
        try:
            processes.append(start_role("ledger", LEDGER_HOST, store, folder))
            processes.append(start_role("frontend", FRONTEND_HOST, store, folder))
            bare, bare_address = await trio.to_thread.run_sync(
                start_bare_forwarder, f"{HOST}:{port}"
            )
            processes.append(bare)
            address = f"{FRONTEND_HOST}:{CLIENT_PORT}"
            await wait_until_serving(address)
            frontend_ms = await measure_call_and_event(address, processes[1].pid)
            bare_ms = await measure_call_and_event(bare_address, bare.pid)
        finally:
            for process in processes:
                process.terminate()
                process.wait()
        nursery.cancel_scope.cancel()
    print_rows(
        "frontend of the platform against a bare forwarder of bytes, CPU",
        ["path", "ms a whole call", "ms a streamed event"],
        [
            ["bare forwarder", f"{bare_ms[0]:.2f}", f"{bare_ms[1]:.3f}"],
            ["frontend", f"{frontend_ms[0]:.2f}", f"{frontend_ms[1]:.3f}"],
            [
                "ratio",
                f"{frontend_ms[0] / bare_ms[0]:.1f}",
                f"{frontend_ms[1] / bare_ms[1]:.1f}",
            ],
        ],
    )
    return [
        Target(
            name="frontend, call", value=frontend_ms[0], limit=MAX_CALL_MS, unit="ms"
        ),
        Target(
            name="frontend, event", value=frontend_ms[1], limit=MAX_EVENT_MS, unit="ms"
        ),
    ]
