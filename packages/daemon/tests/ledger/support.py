"""Runs a ledger in one process over loopback, with a stand-in for the object store."""

import shutil
import tempfile
from pathlib import Path

import msgspec
import trio

from goldcrestvane_common.server import Application, serve_http
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.accounts.directory import QuotaTolerance
from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker
from goldcrestvane_daemon.frontend.ledger_announcer import LedgerAnnouncer
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.ledger.compaction import Compactor
from goldcrestvane_daemon.ledger.frames import serve_frames
from goldcrestvane_daemon.ledger.log import EntryLog
from goldcrestvane_daemon.ledger.membership import LedgerMembership
from goldcrestvane_daemon.ledger.membership_watcher import VIEW_NAME
from goldcrestvane_daemon.ledger.messages import (
    Frontend,
    Request,
    TokenAccount,
    TokenCharge,
    Turn,
)
from goldcrestvane_daemon.ledger.process import REQUEST_FAILED
from goldcrestvane_daemon.ledger.quotas import QuotaIssuer
from goldcrestvane_daemon.ledger.service import LedgerService
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.view import Member, View
from goldcrestvane_daemon.platform.store import ObjectKind, StoreClient
from goldcrestvane_standins.platformstore import PlatformStore

HOST = "127.0.0.1"
LOCAL_FRONTEND = Frontend("none", "d")


class RunningMember:
    """One ledger member; `stop` kills it, and `wipe` also empties its disk."""

    def __init__(self, ledger, name, port=0):
        self.ledger = ledger
        self.name = name
        self.port = port
        self.folder = ledger.folder / name
        self.scope = None
        self.service = None

    async def start(self):
        self.scope = trio.CancelScope()
        await self.ledger.nursery.start(self._run)

    async def _run(self, *, task_status):
        state = LedgerState()
        log = EntryLog(self.folder, state)
        await log.open()
        self.service = service = LedgerService(self.name, log, state)
        view = log.read_view()
        if view is not None:
            service.adopt(view)
        service.quotas = QuotaIssuer(
            instance=self.name,
            log=log,
            tolerance=QuotaTolerance(),
            get_pending=lambda: service.holdings.pending,
        )
        with self.scope:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(self.port, host=HOST)
                self.port = listeners[0].socket.getsockname()[1]

                async def serve(stream):
                    await serve_frames(
                        stream, Request, service.handle, failure=REQUEST_FAILED
                    )

                nursery.start_soon(trio.serve_listeners, serve, listeners)
                nursery.start_soon(log.run)
                nursery.start_soon(Compactor(log, state).run)
                membership = LedgerMembership(
                    local_member=Member(
                        instance=self.name,
                        address=f"{HOST}:{self.port}",
                        domain=self.name,
                        disk=log.disk,
                    ),
                    tolerated_losses=self.ledger.tolerated_losses,
                    store=StoreClient(self.ledger.transport, self.ledger.store_address),
                    service=service,
                    state=state,
                    log=log,
                    nursery=nursery,
                )
                service.enable_forwarding(membership.call_member, nursery)
                nursery.start_soon(membership.run)
                task_status.started()
        log.close()

    async def stop(self):
        self.scope.cancel()
        await trio.sleep(0.05)

    async def wipe(self):
        await self.stop()
        shutil.rmtree(self.folder)


class Ledger:
    """The members, the object store and the client of one frontend."""

    def __init__(self, folder, tolerated_losses=1):
        self.folder = Path(folder)
        self.tolerated_losses = tolerated_losses
        self.platform = PlatformStore()
        self.members = {}

    def add(self, name):
        member = self.members[name] = RunningMember(self, name)
        return member

    async def wait(self, condition, seconds=15):
        with trio.fail_after(seconds):
            while not condition():
                await trio.sleep(0.05)

    async def wait_votes(self, *names):
        await self.wait(lambda: all(self.members[name].service.votes for name in names))

    async def refresh(self):
        """Makes the client adopt the view in the object store."""
        for item in (await self.store.list(ObjectKind.LEDGER)).objects:
            if item.name == VIEW_NAME:
                self.client.adopt(msgspec.json.decode(item.value, type=View))
        await self.wait(lambda: self.client.is_reachable)

    def build_client(self):
        frontends = FrontendPeers("none", CrashTracker(), self.nursery)
        return LedgerClient(LOCAL_FRONTEND, frontends, self.nursery)

    def build_announcer(self, client, on_limit=lambda limit: None):
        frontends = FrontendPeers("none", CrashTracker(), self.nursery)
        return LedgerAnnouncer(client, frontends, LOCAL_FRONTEND, on_limit)

    async def open_turn(self, program, call, tokens, previous=None):
        account = TokenAccount(program, [TokenCharge(call, tokens)], 60.0)
        return await self.client.open_turn(account=account, previous=previous)

    async def store_turn(self, program, call, previous=None):
        turn = Turn(call, previous, f"in-{call}\n".encode(), b"out\n", 60.0)
        await self.client.settle(program, TokenCharge(call, 10, True), turn, 60.0)


def run_ledger(script, members=("a", "b", "c"), tolerated_losses=1):
    """Runs a script once all members of a new ledger vote."""

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            ledger = Ledger(folder, tolerated_losses)
            async with Transport() as transport, trio.open_nursery() as nursery:
                ledger.nursery = nursery
                ledger.transport = transport
                ledger.store_address = await nursery.start(
                    serve_http, Application(ledger.platform.build_router()), f"{HOST}:0"
                )
                ledger.store = StoreClient(transport, ledger.store_address)
                ledger.client = ledger.build_client()
                for name in members:
                    await ledger.add(name).start()
                await ledger.wait_votes(*members)
                await ledger.refresh()
                with trio.fail_after(60):
                    await script(ledger)
                nursery.cancel_scope.cancel()

    trio.run(main)
