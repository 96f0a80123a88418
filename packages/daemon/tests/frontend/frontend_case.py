"""Test case that runs a frontend in this process against scripted targets.

The object cache, the calls and the connections are real; the ledger is a fake.
"""

import math
import random
import unittest

import msgspec
import trio

from frontend.support import ScriptedTarget
from goldcrestvane_common.server import Application, serve_http
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.accounts.authentication import build_key_bounds
from goldcrestvane_daemon.frontend.account_gate import AccountGate
from goldcrestvane_daemon.frontend.calls import CallService
from goldcrestvane_daemon.frontend.chain_reader import get_chain_size
from goldcrestvane_daemon.frontend.clients import ClientServer
from goldcrestvane_daemon.frontend.copy_bounds import CopyBounds
from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker
from goldcrestvane_daemon.frontend.graceful_shutdown import GracefulShutdown
from goldcrestvane_daemon.frontend.ledger_answers import OpenedTurn
from goldcrestvane_daemon.frontend.ledger_client import LedgerUnavailable, TurnNotFound
from goldcrestvane_daemon.frontend.memory_budget import MemoryBudget, MemoryBudgets
from goldcrestvane_daemon.frontend.object_cache import ObjectCache
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    OutputExtended,
    OutputFound,
    ReadOutput,
)
from goldcrestvane_daemon.ledger.rate_limits import PermitIssuer
from goldcrestvane_daemon.ledger.stream_outputs import StreamOutputs
from goldcrestvane_daemon.ledger.view import Member
from goldcrestvane_daemon.platform.store import StoreClient
from goldcrestvane_daemon.targets import TargetTable
from goldcrestvane_standins.platformstore import PlatformStore

HOST = "127.0.0.1"
TEST_TIMEOUT_SECONDS = 60
"""Timeout that ends a test that hangs. No test result depends on its length."""

NO_LIMITS = (math.inf, math.inf)
"""Limits on the memory for bodies of requests and of responses."""

EVENT = b"id: %d\ndata: d%d\n\n"


def build_route(name, kind, **changes):
    route = {
        "name": name,
        "host": "shop.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "priority": 0,
        "service": "s1",
        "attempts": 2,
    }
    return {**route, **changes}


CONFIGURATION = {
    "version": 4,
    "routes": [
        build_route("get", "idempotent"),
        build_route("once", "non_idempotent"),
        build_route("turn", "streaming", attempts=1),
        build_route("kept", "streaming", attempts=1, retention_enabled=True),
        build_route("resume", "streaming", resumable=True),
        build_route("story", "streaming", resumable=True, retention_enabled=True),
        build_route("quick", "non_idempotent", timeout_ms=200),
    ],
    "services": [
        {"name": "s1", "inference_engine": {"slots": 4, "tokens_per_event": 10}}
    ],
}


class FakeLedger:
    """In-memory ledger with the interface of the ledger client."""

    view = None

    def __init__(self):
        self.charges = {}
        self.turns = {}
        self.available = True
        self.accepts_turns = True
        self.chain_reads = 0
        self.outputs = {name: StreamOutputs(10**6) for name in ("m0", "m1", "m2")}
        self.permits = PermitIssuer()

    def adopt(self, view):
        raise AssertionError("no view is stored")

    async def open_turn(self, *, account, previous, memory=None):
        await trio.lowlevel.checkpoint()
        if not self.available:
            raise LedgerUnavailable("out")
        chain = self.list_chain(previous)
        if memory is not None:
            await memory.resize(get_chain_size(chain))
        program = self.charges.setdefault(account.program, {})
        program.update({charge.call: charge for charge in account.charges})
        return OpenedTurn(dict(program), chain, self.accepts_turns)

    def list_chain(self, previous):
        chain = []
        while previous is not None:
            if previous not in self.turns:
                raise TurnNotFound(f"Turn {previous} does not exist.")
            chain.append(self.turns[previous])
            previous = chain[-1].previous
        return chain

    async def read_chain(self, call, memory, *, size):
        self.chain_reads += 1
        await trio.lowlevel.checkpoint()
        if not self.available:
            raise LedgerUnavailable("out")
        await memory.resize(size)
        return self.list_chain(call)

    def list_group(self, key):
        return tuple(
            Member(instance=name, address=name, domain="d1", disk=name)
            for name in self.outputs
        )

    async def call(self, address, request):
        await trio.lowlevel.checkpoint()
        if not self.available:
            raise PeerUnreachable(f"{address} is down.")
        outputs = self.outputs[address]
        if isinstance(request, ReadOutput):
            return OutputFound(outputs.cut(request.call, request.event))
        return OutputExtended(
            outputs.extend(request.call, request.start, request.data, request.marks)
        )

    async def acquire_permit(self, request):
        await trio.lowlevel.checkpoint()
        if not self.available:
            raise LedgerUnavailable("out")
        return self.permits.issue(request, share=1.0, now=trio.current_time())

    async def report_limit(self, limit):
        await trio.lowlevel.checkpoint()
        if not self.available:
            raise LedgerUnavailable("out")
        self.permits.record(limit, now=trio.current_time())

    async def settle(self, program, charge, turn, retention, chain=()):
        await trio.lowlevel.checkpoint()
        if not self.available:
            raise LedgerUnavailable("out")
        self.charges.setdefault(program, {})[charge.call] = charge
        if turn is not None:
            self.turns[turn.call] = turn


class ClientResponse(msgspec.Struct):
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class Frontend:
    def __init__(self, nursery, memory=NO_LIMITS):
        self.nursery = nursery
        self.memory = MemoryBudgets(*map(MemoryBudget, memory), MemoryBudget())
        self.platform = PlatformStore()
        self.ledger = FakeLedger()
        self.shutdown = GracefulShutdown(8.0)
        self.key_bounds = build_key_bounds(None)
        self.targets = []
        self.table_seconds = 0.0

    async def start(self, transport, scripts, configuration):
        for script in scripts:
            target = ScriptedTarget(script)
            await self.nursery.start(target.run)
            self.targets.append(target)
            self.list_target(target)
        if configuration is not None and not self.platform.exists("config", "main"):
            self.platform.put("config", "main", configuration)
        store_address = await self.nursery.start(
            serve_http, Application(self.platform.build_router()), f"{HOST}:0"
        )
        crash_tracker = CrashTracker()
        frontends = FrontendPeers("none", crash_tracker, self.nursery)
        table = TargetTable(lambda: trio.current_time() + self.table_seconds)
        self.crash_tracker = crash_tracker
        self.object_cache = ObjectCache(
            store=StoreClient(transport, store_address),
            targets=table,
            ledger=self.ledger,
            frontends=frontends,
            bounds=CopyBounds(),
            key_bounds=self.key_bounds,
            rng=random.Random(1),
            on_change=lambda removed: self.calls.handle_targets_changed(removed),
        )
        gate = AccountGate(self.object_cache, self.key_bounds)
        self.calls = CallService(
            targets=table,
            ledger=self.ledger,
            permits=self.ledger,
            domain="d1",
            crash_tracker=crash_tracker,
            frontends=frontends,
            account_gate=gate,
            response_memory=self.memory.responses,
            chain_memory=self.memory.chains,
            nursery=self.nursery,
        )
        self.nursery.start_soon(self.object_cache.run)
        clients = ClientServer(
            calls=self.calls,
            object_cache=self.object_cache,
            shutdown=self.shutdown,
            request_memory=self.memory.requests,
        )
        self.clients = clients
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        self.nursery.start_soon(trio.serve_listeners, clients.serve, listeners)
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            while len(table.list_all()) < len(scripts) or (
                configuration is not None and self.object_cache.routes is None
            ):
                await trio.sleep(0.01)

    def list_target(self, target, state="ready", **changes):
        entry = {
            "service": "s1",
            "address": f"{HOST}:{target.port}",
            "zone": "d1",
            "slots": 4,
            "state": state,
            **changes,
        }
        self.platform.put("servers", f"i-{target.port}", entry)

    async def wait(self, condition):
        """Waits for a condition; the timeout of `run_frontend` limits the wait."""
        while not condition():
            await trio.sleep(0.01)

    async def wait_synced(self, kind):
        """Waits until the frontend has the store's current objects of a kind."""

        def is_synced():
            revision = self.object_cache.get_revision(kind)
            return revision >= self.platform.store.revision

        await self.wait(is_synced)

    async def wait_settled(self, program, call):
        """Waits until a turn is settled and returns its tokens."""
        charges = self.ledger.charges[program]
        await self.wait(lambda: charges[call].is_final)
        return charges[call].tokens

    def build_request(self, path, *, method="POST", body=b"in", call="c1", **headers):
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: shop.example",
            f"Goldcrestvane-Request-Id: {call}",
            f"Content-Length: {len(body)}",
        ]
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def send(self, path, **options):
        """Sends one request on a new connection and returns the response."""
        stream = await trio.open_tcp_stream(HOST, self.port)
        async with stream:
            await stream.send_all(self.build_request(path, **options))
            return await read_response(stream)

    async def send_turn(self, path="/turn/x", *, call="c1", program="p1", **headers):
        options = {
            "Goldcrestvane_Program_Id": program,
            "Goldcrestvane_Token_Budget": 100,
            "Goldcrestvane_Token_Usage": "10,40",
        }
        return await self.send(path, call=call, **{**options, **headers})

    @property
    def requests(self):
        return [request for target in self.targets for request in target.requests]


async def read_response(stream):
    """Reads one response with a length or chunks; `whole` is set if it is complete."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = await stream.receive_some()
        if not part:
            return ClientResponse(0, {}, data, False)
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(lines[0].split()[1])
    while True:
        body, whole = parse_body(headers, rest)
        if whole:
            return ClientResponse(status, headers, body, True)
        try:
            part = await stream.receive_some()
        except trio.BrokenResourceError:
            part = b""
        if not part:
            return ClientResponse(status, headers, body, False)
        rest += part


def parse_body(headers, data):
    if "content-length" in headers:
        return data, len(data) >= int(headers["content-length"])
    body = b""
    while b"\r\n" in data:
        size, _, data = data.partition(b"\r\n")
        if int(size, 16) == 0:
            return body, data.startswith(b"\r\n")
        if len(data) < int(size, 16) + 2:
            break
        body += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return body, False


def build_stream(numbers, *, call=b"c1", end=True):
    """Returns the pieces of a streamed response for a scripted target."""
    head = (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
        b"content-type: text/event-stream\r\nGoldcrestvane-Request-Id: " + call
    )
    pieces = [head + b"\r\nGoldcrestvane-Response-Signature: s\r\n\r\n"]
    for number in numbers:
        event = EVENT % (number, number)
        pieces.append(b"%x\r\n%s\r\n" % (len(event), event))
    pieces.append(b"0\r\n\r\n" if end else None)
    return pieces


def build_events(numbers):
    return b"".join(EVENT % (number, number) for number in numbers)


class FrontendCase(unittest.TestCase):
    """Runs a script against a frontend with scripted targets."""

    def run_frontend(
        self,
        script,
        *targets,
        configuration=CONFIGURATION,
        revocation_seconds=None,
        memory=NO_LIMITS,
    ):
        async def main():
            async with Transport() as transport, trio.open_nursery() as nursery:
                frontend = Frontend(nursery, memory)
                frontend.key_bounds = build_key_bounds(revocation_seconds)
                await frontend.start(transport, targets, configuration)
                with trio.fail_after(TEST_TIMEOUT_SECONDS):
                    await script(frontend)
                nursery.cancel_scope.cancel()

        trio.run(main)
