"""Runs members with real disks, and clients that call them without a network.

A clock that tests advance stands for the time, so that retentions take no real time.
"""

import functools
import shutil
import tempfile
from pathlib import Path
from unittest import mock

import msgspec
import trio
import trio.testing

from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.ledger.copying import PartitionCopier
from goldcrestvane_daemon.ledger.frames import PeerConnection, PeerUnreachable
from goldcrestvane_daemon.ledger.log import EntryLog
from goldcrestvane_daemon.ledger.messages import (
    Frontend,
    TokenAccount,
    TokenCharge,
    Turn,
)
from goldcrestvane_daemon.ledger.service import LedgerService
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.view import Member, build_first_view

RETENTION_SECONDS = 60.0
BUDGET = 1000


class DirectMember:
    """One member. While it is down, calls to it fail."""

    def __init__(self, folder, name):
        self.folder = folder / name
        self.name = name
        self.service = None

    @property
    def is_up(self):
        return self.service is not None

    async def start(self, nursery, view=None):
        self.state = LedgerState()
        self.log = EntryLog(self.folder, self.state)
        await self.log.open()
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        nursery.start_soon(self._run_log)
        self.service = LedgerService(self.name, self.log, self.state)
        if view is not None:
            self.service.adopt(view)
            if self.service.holdings.is_complete:
                self.service.holdings.synced = view
                await self.log.write_synced_view(view)

    async def _run_log(self):
        with self.scope:
            await self.log.run()
        self.ended.set()

    async def stop(self):
        self.service = None
        self.scope.cancel()
        await self.ended.wait()
        self.log.close()


class DirectPeer:
    """What one member needs of its connection to another one."""

    def __init__(self, ledger, address):
        self.ledger = ledger
        self.address = address
        self.connected = trio.Event()
        self.connected.set()

    async def call(self, request, *, timeout):
        return await self.ledger.call(self.address, request)


class DirectLedger:
    """The members and the clients of any number of frontends."""

    def __init__(self, folder, nursery, clock):
        self.folder = Path(folder)
        self.nursery = nursery
        self.clock = clock
        self.members = {}
        self.answered = {}
        self.clients = {}

    async def create(self, names, tolerated_losses):
        members = []
        for number, name in enumerate(names):
            member = self.members[name] = DirectMember(self.folder, name)
            await member.start(self.nursery)
            members.append(
                Member(
                    instance=name,
                    address=name,
                    domain=f"d{number % 3}",
                    disk=member.log.disk,
                )
            )
        self.view = build_first_view(members, tolerated_losses=tolerated_losses)
        for member in self.members.values():
            await member.service.adopt_durably(self.view)
            member.service.holdings.synced = self.view
            await member.log.write_synced_view(self.view)

    def get_client(self, name):
        if name not in self.clients:
            frontends = mock.Mock()
            client = LedgerClient(Frontend(name, "d0"), frontends, self.nursery)
            client.adopt(self.view)
            client.call = self.call
            self.clients[name] = client
        return self.clients[name]

    async def call(self, address, request, timeout=None):
        await trio.lowlevel.checkpoint()
        member = self.members[address]
        if not member.is_up:
            raise PeerUnreachable(f"{address} is down.")
        service = member.service
        answer = await service.handle(request)
        if member.service is not service:
            raise PeerUnreachable(f"{address} ended.")
        return answer

    async def stop(self, name):
        await self.members[name].stop()

    async def start(self, name):
        """Starts a member that was down."""
        await self.members[name].start(self.nursery, self.view)

    async def lose_disk(self, name):
        """Stops a member for good."""
        await self.stop(name)
        shutil.rmtree(self.members[name].folder)

    async def replace_disk(self, name):
        """Starts a member that is down with an empty disk, which it fills from others."""
        member = self.members[name]
        shutil.rmtree(member.folder)
        await member.start(self.nursery)
        registration = msgspec.structs.replace(
            self.view.find(name), disk=member.log.disk
        )
        self.view = self.view.replace(name, registration)
        for each in self.members.values():
            if each.is_up:
                await each.service.adopt_durably(self.view)
        copier = PartitionCopier(
            name,
            member.service,
            member.state,
            lambda address: DirectPeer(self, address),
        )
        await copier.copy_pending(self.view)
        assert member.service.holdings.is_complete
        member.service.holdings.synced = self.view
        await member.log.write_synced_view(self.view)

    async def advance(self, seconds):
        """Lets time pass in steps in which the members drop what has expired."""
        while seconds > 0:
            await self._wait_for_writes()
            step = min(1.0, seconds)
            self.clock.jump(step)
            seconds -= step
            for member in self.members.values():
                if member.is_up:
                    member.state.drop_expired()

    async def _wait_for_writes(self):
        """Waits until nothing is left to do at this time, also by the disks' threads."""
        while True:
            await trio.testing.wait_all_tasks_blocked()
            running = (each for each in self.members.values() if each.is_up)
            if not any(each.log.pending_bytes for each in running):
                return

    async def open_turn(
        self, call, previous=None, *, frontend="f1", program="p", memory=None
    ):
        account = TokenAccount(program, [TokenCharge(call, 10)], RETENTION_SECONDS)
        client = self.get_client(frontend)
        return await client.open_turn(account=account, previous=previous, memory=memory)

    async def run_turn(
        self, call, previous=None, *, frontend="f1", program="p", size=0
    ):
        """Opens and stores a turn; returns what the ledger knew at its start."""
        opened = await self.open_turn(
            call, previous, frontend=frontend, program=program
        )
        text = b"in-" + call.encode() + bytes(size)
        turn = Turn(call, previous, text, b"out", RETENTION_SECONDS)
        charge = TokenCharge(call, 10, True)
        chain = [each.call for each in opened.chain]
        await self.get_client(frontend).settle(
            program, charge, turn, RETENTION_SECONDS, chain
        )
        self.answered[call] = trio.current_time()
        return opened


def run_direct_ledger(script, names, *, tolerated_losses):
    """Runs a script with a new ledger."""

    async def main(clock):
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                ledger = DirectLedger(folder, nursery, clock)
                await ledger.create(names, tolerated_losses)
                await script(ledger)
                nursery.cancel_scope.cancel()

    with mock.patch.object(PeerConnection, "run", mock.AsyncMock()):
        clock = trio.testing.MockClock()
        trio.run(functools.partial(main, clock), clock=clock)
