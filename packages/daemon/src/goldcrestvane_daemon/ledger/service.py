"""Answers the requests of frontends and of other members."""

import functools
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import Any, final

import trio

from goldcrestvane_common.ids import CallId, Epoch, InstanceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger.log import DiskFailed, EntryLog
from goldcrestvane_daemon.ledger.messages import (
    Announce,
    EntriesMerged,
    Entry,
    EntryPage,
    Failed,
    ForwardResult,
    ForwardWrite,
    Frontend,
    Frontends,
    GetMemberState,
    MemberState,
    PullEntries,
    PushEntries,
    ReadChain,
    Response,
    StaleView,
    Turn,
    TurnChain,
    Write,
    Written,
)
from goldcrestvane_daemon.ledger.quorum import call_until_quorum
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.view import View

PAGE_ENTRIES = 200
EXPIRY_SECONDS = 5.0
FRONTEND_SECONDS = 8.0
"""Time after its last announcement at which a frontend is taken as gone."""

MAX_FRONTENDS = 16
"""Frontends that one answer names; each asker keeps connections to a few."""


logger = get_logger("ledger")

CallMember = Callable[[str, Write], Awaitable[Any]]


@final
class LedgerService:
    """One member: its state, its log, and the view that it has adopted.

    Attributes:
        view: The newest view that this member knows; None before the first.
        votes: Whether this member has every entry that it must have.
        unreachable: Members that this one cannot reach.
    """

    def __init__(self, instance: InstanceId, log: EntryLog, state: LedgerState) -> None:
        self._instance = instance
        self._log = log
        self._state = state
        self._frontends: dict[Frontend, float] = {}
        self._pages: dict[int, list[Entry]] = {}
        self._call_member: CallMember | None = None
        self._nursery: trio.Nursery | None = None
        self.view: View | None = None
        self.votes = False
        self.unreachable: list[InstanceId] = []

    def enable_forwarding(self, call_member: CallMember, nursery: trio.Nursery) -> None:
        """Lets this member have other members write entries.

        Args:
            call_member: Sends a request to a member by its address.
            nursery: Runs the requests that nobody waits for any more.
        """
        self._call_member = call_member
        self._nursery = nursery

    def adopt(self, view: View) -> bool:
        """Takes over a newer view; writers with an older one are refused from now on."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return False
        logger.info(
            "adopted a view",
            extra={
                "epoch": view.epoch,
                "before": self.view.epoch if self.view else None,
                "members": [member.instance for member in view.slots],
            },
        )
        self.view = view
        own = view.find(self._instance)
        if own is None or own.disk != self._log.disk:
            self.votes = False
        return True

    async def adopt_durably(self, view: View) -> None:
        """Adopts a view and records it before anyone relies on it.

        Raises:
            OSError: The disk refused the write.
        """
        if self.adopt(view):
            await self._log.write_view(view)

    async def run_expiry(self) -> None:
        """Drops expired entries until cancelled."""
        while True:
            await trio.sleep(EXPIRY_SECONDS)
            dropped = self._state.drop_expired()
            if dropped:
                logger.info("dropped expired entries", extra={"count": dropped})

    @singledispatchmethod
    async def handle(self, request: object) -> Response:
        """Answers one request."""
        return Failed(f"got {type(request).__name__}, expected a ledger request")

    @handle.register
    async def _(self, request: Write) -> Response:
        if self.view is not None and request.epoch < self.view.epoch:
            return StaleView(self.view)
        entry = request.entry
        if not await self.store([entry]):
            return Failed("the disk refused the write")
        if self.view is not None and request.epoch < self.view.epoch:
            # A new member may have copied this one's entries meanwhile.
            return StaleView(self.view)
        account = entry.account
        return Written(
            votes=self.votes,
            account=self._state.get_account(account.program) if account else None,
            chain=self._state.list_chain(request.return_chain_of),
        )

    @handle.register
    async def _(self, request: ForwardWrite) -> Response:
        if self._call_member is None or self._nursery is None:
            return Failed("this member does not reach the others yet")
        calls = [
            functools.partial(self.handle, request.write),
            *(
                functools.partial(self._call_member, address, request.write)
                for address in request.others
            ),
        ]
        answers = await call_until_quorum(
            calls,
            lambda got: isinstance(got, Written) and got.votes,
            quorum=request.quorum,
            nursery=self._nursery,
        )
        return ForwardResult(
            [got for got in answers if isinstance(got, Written | StaleView)]
        )

    @handle.register
    async def _(self, request: ReadChain) -> Response:
        return TurnChain(self.votes, self._state.list_chain(request.call))

    @handle.register
    async def _(self, request: PullEntries) -> Response:
        await self.adopt_durably(request.view)
        if request.position == 0 or request.view.epoch not in self._pages:
            self._pages = {request.view.epoch: list(self._state.iterate_entries())}
        entries = self._pages[request.view.epoch]
        end = request.position + PAGE_ENTRIES
        assert self.view is not None
        return EntryPage(
            epoch=self.view.epoch,
            entries=entries[request.position : end],
            next_position=end if end < len(entries) else None,
        )

    @handle.register
    async def _(self, request: PushEntries) -> Response:
        await self.adopt_durably(request.view)
        if not await self.store(request.entries):
            return Failed("the disk refused the write")
        return EntriesMerged()

    @handle.register
    async def _(self, request: Announce) -> Response:
        now = trio.current_time()
        self._frontends.pop(request.frontend, None)
        self._frontends[request.frontend] = now
        for frontend, seen in list(self._frontends.items()):
            if seen < now - FRONTEND_SECONDS:
                del self._frontends[frontend]
        return Frontends(list(self._frontends)[-MAX_FRONTENDS:])

    @handle.register
    async def _(self, request: GetMemberState) -> Response:
        epoch = self.view.epoch if self.view else Epoch(0)
        return MemberState(self._instance, epoch, self.votes, self.unreachable)

    def list_chain(self, call: CallId) -> list[Turn]:
        """Returns a turn and those before it, as far as this member has them."""
        return self._state.list_chain(call)

    async def store(self, entries: list[Entry]) -> bool:
        """Merges entries and makes them durable; returns whether the disk took them."""
        for entry in entries:
            # Merged before the write, so that a compaction never misses an entry.
            self._state.apply(entry)
        try:
            await self._log.append(entries)
        except DiskFailed as error:
            logger.error("entries are not durable", extra={"reason": str(error)})
            return False
        return True
