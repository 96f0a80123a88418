"""A fake owner, fake directories and a caller that run in one process."""

import hashlib
import random
from contextlib import asynccontextmanager

import msgspec
import trio

from goldcrestvane_common.ids import Epoch, InstanceId, ServiceId, ShardId, TeamId
from goldcrestvane_common.messages import (
    CallRequest,
    CallResponse,
    ShardOwner,
    StreamDelta,
    StreamEnd,
    StreamHead,
    TokenUsage,
    encode_json_line,
)
from goldcrestvane_common.paths import (
    CALL_PATH,
    STREAM_PATH,
)
from goldcrestvane_common.programs import (
    ProgramState,
    ProgramView,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Router,
    StreamResponse,
)
from goldcrestvane_common.server import (
    Application,
    serve_http,
)
from goldcrestvane_common.settings import (
    OperationSettings,
    ProgramSettings,
    ServiceKind,
    ServiceSettings,
    TeamSettings,
)
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.entry import EntryLimits, EntryService
from goldcrestvane_daemon.observability import (
    RequestMetrics,
    add_health_and_metrics_routes,
)

TOKEN = "secret-of-lyra"
SERVICES = {
    ServiceId("small"): ServiceSettings(kind=ServiceKind.MODEL),
    ServiceId("vouchers"): ServiceSettings(
        kind=ServiceKind.TOOL,
        operations={
            "issue": OperationSettings(),
            "look_up": OperationSettings(idempotent=True),
        },
    ),
}
TEAMS = {
    "lyra": TeamSettings(
        programs={"fitting": ProgramSettings()},
        services=SERVICES,
        token_sha256=hashlib.sha256(TOKEN.encode()).hexdigest(),
    ),
    "open": TeamSettings(programs={"fitting": ProgramSettings()}, services=SERVICES),
}
HEADERS = {
    "goldcrestvane-team": "open",
    "goldcrestvane-program": "p1",
    "goldcrestvane-sequence": "1",
    "goldcrestvane-timeout": "20",
}
CHAT = {"model": "small", "messages": [{"role": "user", "content": "hello"}]}
QUICK = EntryLimits(
    owner_wait_seconds=0.4,
    initial_backoff_seconds=0.01,
    max_backoff_seconds=0.05,
    reassignment_grace_seconds=0.0,
)
TEST_TIMEOUT_SECONDS = 30.0


class FakeTeams:
    def get_team(self, team: TeamId):
        return TEAMS.get(team)


class FakeOwners:
    """Shard map with one owner of all shards; each refresh selects the next address."""

    def __init__(self, *addresses):
        self.shard_count = 4
        self.refreshes = 0
        self._addresses = list(addresses)
        self._current = 0

    def find_owner(self, shard: ShardId):
        address = self._addresses[self._current]
        if address is None:
            return None
        name = InstanceId(f"owner-{self._current}")
        return ShardOwner(name, address, Epoch(self._current + 1))

    async def refresh(self):
        self.refreshes += 1
        self.reassign()
        await trio.lowlevel.checkpoint()

    def reassign(self):
        self._current = min(self._current + 1, len(self._addresses) - 1)


class FakeOwner:
    """Responds to calls; each queued fault replaces the response to one call."""

    def __init__(self, name="owner"):
        self.name = InstanceId(name)
        self.calls = []
        self.tokens = ["one ", "two ", "three ", "four"]
        self.faults = []
        self.router = Router()
        self.application = Application(self.router)
        self.router.add("POST", CALL_PATH, self.call)
        self.router.add("POST", STREAM_PATH, self.stream)
        for name in ("begin", "end", "show"):
            self.router.add("POST", f"/internal/programs/{name}", self.show)

    async def run_fault(self, request):
        self.calls.append(msgspec.json.decode(request.body, type=CallRequest))
        if self.faults:
            return await self.faults.pop(0)()
        return None

    async def call(self, request):
        fault = await self.run_fault(request)
        return fault or JsonResponse(value=build_call_response(self.name))

    async def stream(self, request):
        fault = await self.run_fault(request)
        if fault is not None:
            return fault
        resume = self.calls[-1].resume
        return stream_frames(self.list_frames(resume.offset if resume else 0))

    def list_frames(self, offset=0, *, end=True):
        frames = [StreamHead(InstanceId("target"), self.name, "stream-1")]
        start = 0
        for token in self.tokens:
            if start + len(token) > offset:
                frames.append(StreamDelta(start, token))
            start += len(token)
        if end:
            frames.append(StreamEnd(TokenUsage(5, 2, len(self.tokens))))
        return frames

    async def show(self, request):
        self.calls.append(msgspec.json.decode(request.body))
        if self.faults:
            return await self.faults.pop(0)()
        view = ProgramView(
            team=TeamId("open"),
            program=self.calls[-1]["program"],
            kind="fitting",
            state=ProgramState.OPEN,
            owner=self.name,
            shard=ShardId(1),
            epoch=Epoch(1),
            next_sequence=1,
        )
        return JsonResponse(value=view)


def build_call_response(owner, *, replayed=False):
    return CallResponse(
        value=msgspec.Raw(b'"well met"'),
        target=InstanceId("target"),
        owner=owner,
        usage=TokenUsage(5, 2, 2),
        replayed=replayed,
    )


def stream_frames(frames, *, cut=False):
    """Returns a streamed response; `cut` breaks the connection after the frames."""

    async def write():
        for frame in frames:
            yield encode_json_line(frame)
        if cut:
            raise ConnectionError("the fake owner cuts the stream")

    return StreamResponse(chunks=write())


def raise_later(error):
    async def fail():
        raise error

    return fail


async def break_exchange():
    """Breaks the connection after the request, without a response."""

    async def write():
        raise ConnectionError("the fake owner breaks the exchange")
        yield b""

    return StreamResponse(chunks=write())


async def hang():
    await trio.sleep_forever()


class Entry:
    """A running entry and the transport of its caller."""

    def __init__(self, peer, transport, application, metrics):
        self.peer = peer
        self.transport = transport
        self.application = application
        self.metrics = metrics

    async def post(self, path, value=None, *, headers=HEADERS, content=None):
        return await self.transport.send(
            "POST", self.peer, path, value=value, content=content, headers=headers
        )

    async def get(self, path, *, headers=HEADERS):
        return await self.transport.send("GET", self.peer, path, headers=headers)

    async def chat(self, *, headers=HEADERS, **fields):
        body = {**CHAT, **fields}
        return await self.post("/v1/chat/completions", body, headers=headers)

    async def count(self, name, **labels):
        return self.metrics.registry.get_sample_value(name, labels) or 0.0


@asynccontextmanager
async def serve_owner(owner):
    async with trio.open_nursery() as nursery:
        yield await nursery.start(serve_http, owner.application, "127.0.0.1:0")
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def serve_entry(
    owners, *, limits=QUICK, is_ready=lambda: True, trace=None, teams=None
):
    metrics = RequestMetrics()
    router = Router()
    async with Transport() as upstream, Transport() as caller:
        service = EntryService(
            transport=upstream,
            teams=teams or FakeTeams(),
            owners=owners,
            metrics=metrics,
            limits=limits,
            rng=random.Random(1),
            trace=trace,
        )
        service.add_routes(router)
        add_health_and_metrics_routes(
            router, registry=metrics.registry, is_ready=is_ready
        )
        application = Application(router)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(service.run)
            peer = await nursery.start(serve_http, application, "127.0.0.1:0")
            yield Entry(peer, caller, application, metrics)
            nursery.cancel_scope.cancel()


def run_with_owner(check, *, limits=QUICK):
    """Runs ``check(entry, owner, owners)`` with one owner, within a time limit."""

    async def main():
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            owner = FakeOwner()
            async with serve_owner(owner) as address:
                owners = FakeOwners(address)
                async with serve_entry(owners, limits=limits) as entry:
                    await check(entry, owner, owners)

    trio.run(main)


async def wait_until(condition):
    with trio.fail_after(TEST_TIMEOUT_SECONDS):
        while True:
            if condition():
                return
            await trio.sleep(0.01)
