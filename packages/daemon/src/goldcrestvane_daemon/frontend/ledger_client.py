"""Client of the ledger for a frontend; reads and writes by quorum."""

import functools
import math
from collections.abc import Callable, Sequence
from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.ids import CallId, ProgramId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.chain_reader import ChainReader, get_chain_size
from goldcrestvane_daemon.frontend.chain_renewal import (
    EXTRA_RETENTION_SECONDS,
    ChainRenewal,
    RenewalTimes,
)
from goldcrestvane_daemon.frontend.entry_forwarding import (
    EntryForwarding,
    ForwardedWrite,
)
from goldcrestvane_daemon.frontend.ledger_answers import (
    OpenedTurn,
    describe_write,
    find_missing_charges,
    find_missing_turn,
    get_turn_size,
    has_room_for_turns,
    has_turn,
    has_write_quorum,
    is_write_vote,
    merge_charges,
)
from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable, TurnNotFound
from goldcrestvane_daemon.frontend.memory_budget import MemoryBudget, MemoryReservation
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.ledger.frames import PeerConnection, PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    Entry,
    Frontend,
    ReadChain,
    Response,
    StaleView,
    TokenAccount,
    TokenCharge,
    Turn,
    TurnChain,
    Write,
    Written,
    get_stamp,
)
from goldcrestvane_daemon.ledger.quorum import call_until_quorum
from goldcrestvane_daemon.ledger.turn_cache import TurnCache
from goldcrestvane_daemon.ledger.view import Member, View
from goldcrestvane_daemon.tasks import Task, run_supervised

REQUEST_TIMEOUT_SECONDS = 0.5
"""Timeout of a request to a member. A write takes a round trip between domains and a
sync, 20 ms in total. A lost packet is retransmitted within a second; a disk that hangs
takes longer."""

LARGE_ENTRY_BYTES = 1024
"""Size from which sending an entry again costs a slow link more than waiting."""

LARGE_FORWARD_SECONDS = 0.25
"""Minimum time for which a member that forwards a large entry is awaited, before the entry
is sent to all members."""

NEAREST_TIMEOUT_SECONDS = 0.15
"""Time for which the nearest member alone is asked for a chain, before the whole group
is asked."""

RELAYED_SECONDS = 2.0
"""Time for which a response that another frontend relayed shows that it relays. It covers
an announcement that times out and the next one."""

REPAIR_DELAY_SECONDS = 2.0
"""Time after which charges that a member lacks are written again. Concurrent writes reach
all members sooner."""

MAX_VIEW_ATTEMPTS = 3
MAX_REWRITTEN_TURNS = 4
"""Number of turns that are read at a time to be written again where they are missing."""

TURN_CACHE_BYTES = 8 * 1024 * 1024
"""Size of a frontend's cache of turns. Turns that are not cached are read from the
ledger."""

logger = get_logger("ledger")


@final
class LedgerClient:
    """Writes to and reads from the members that are responsible for a key.

    Attributes:
        chains: Reads chains of turns.
        view: The newest known view; None before the first view arrives.
    """

    def __init__(
        self, local_frontend: Frontend, frontends: FrontendPeers, nursery: trio.Nursery
    ) -> None:
        self._local_frontend = local_frontend
        self._frontends = frontends
        self._nursery = nursery
        self._peers: dict[str, PeerConnection] = {}
        self._forwarding = EntryForwarding(
            call_member=self.call,
            choose_nearest=self._choose_nearest,
            nursery=nursery,
            max_seconds=REQUEST_TIMEOUT_SECONDS,
        )
        self.chains = ChainReader(self._read_page, TurnCache(TURN_CACHE_BYTES))
        self._rewrites = trio.CapacityLimiter(MAX_REWRITTEN_TURNS)
        self._renewal_times = RenewalTimes()
        self._missing_charges: dict[ProgramId, dict[CallId, TokenCharge]] = {}
        self._relayed_at: dict[str, float] = {}
        self.view: View | None = None

    @property
    def is_reachable(self) -> bool:
        """Whether enough members are connected for a quorum."""
        return self._has_quorum(self.is_connected)

    @property
    def is_usable(self) -> bool:
        """Whether enough members respond for a quorum, also through other frontends."""
        return self._has_quorum(self._responds)

    def _has_quorum(self, counts: Callable[[str], bool]) -> bool:
        view = self.view
        if view is None:
            return False
        counted = sum(counts(member.address) for member in view.slots)
        return len(view.slots) - counted <= view.group_size - view.write_quorum

    def is_connected(self, address: str) -> bool:
        """Returns whether this frontend reaches a member without another one."""
        peer = self._peers.get(address)
        return peer is not None and peer.is_connected

    def _responds(self, address: str) -> bool:
        relayed_at = self._relayed_at.get(address, -math.inf)
        is_recent = trio.current_time() < relayed_at + RELAYED_SECONDS
        return is_recent or self.is_connected(address)

    def list_addresses(self) -> list[str]:
        """Returns the addresses of all members that were ever known."""
        return list(self._peers)

    def adopt(self, view: View) -> None:
        """Adopts a view if it is newer, and connects to its members."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return
        logger.info(
            "adopted a view",
            extra={
                "epoch": view.epoch,
                "members": [member.instance for member in view.slots],
            },
        )
        self.view = view
        for member in view.slots:
            if member.address not in self._peers:
                peer = self._peers[member.address] = PeerConnection(
                    member.address, Response
                )
                self._nursery.start_soon(peer.run)

    async def open_turn(
        self,
        *,
        account: TokenAccount,
        previous: CallId | None,
        memory: MemoryReservation | None = None,
    ) -> OpenedTurn:
        """Makes a turn's reservation durable and returns the ledger's state for it.

        Args:
            account: The reservation.
            previous: Turn that the turn continues, if any.
            memory: Memory of the chain; None if it has no bound.

        Raises:
            LedgerUnavailable: No quorum answered; the turn must not run.
            MemoryFull: There is no memory for the chain; the turn must not run.
            TurnNotFound: The previous turn does not exist.
        """
        memory = memory or MemoryBudget().open()
        chain = await self.chains.start(previous, memory)
        wanted = find_missing_turn(chain, previous)
        size = get_chain_size(chain)
        entry = Entry(account=account)
        answers = await self._write(account.program, entry, return_chain_of=wanted)
        self._repair_account_later(account, answers)
        for written in answers:
            self.chains.cache.put_all(written.chain)
            if written.chain and written.chain[0].call == wanted:
                chain += written.chain
                wanted = find_missing_turn(chain, previous)
            elif written.chain_bytes:
                # The whole chain is reserved before any of it is read.
                await memory.resize(size + written.chain_bytes)
        await self.chains.complete(chain, previous, memory)
        return OpenedTurn(merge_charges(answers), chain, has_room_for_turns(answers))

    async def settle(
        self,
        program: ProgramId,
        charge: TokenCharge,
        turn: Turn | None,
        retention: float,
        chain: Sequence[CallId] = (),
    ) -> None:
        """Makes the end of a turn durable.

        Args:
            program: Id of the program in the ledger.
            charge: Tokens that the turn has generated.
            turn: The turn, if it is stored.
            retention: Time in seconds for which the entries are kept.
            chain: Ids of the turns that precede a stored turn. They are kept as long as it.

        Raises:
            LedgerUnavailable: No quorum answered.
        """
        account = TokenAccount(program, [charge], retention)
        if turn is None:
            await self._write(program, Entry(account=account))
            return
        await self._renew_chain(chain, retention)
        turn = msgspec.structs.replace(
            turn, retention_seconds=retention + EXTRA_RETENTION_SECONDS
        )
        sent_at = trio.current_time()
        # A single entry suffices if the same group stores the account and the turn.
        groups = self.list_group(program), self.list_group(turn.call)
        if {m.instance for m in groups[0]} == {m.instance for m in groups[1]}:
            await self._write(turn.call, Entry(account=account, turn=turn))
        else:
            await self._write(turn.call, Entry(turn=turn))
            await self._write(program, Entry(account=account))
        self._renewal_times.record([turn.call], retention, sent_at=sent_at)
        self.chains.cache.put_all([turn])

    async def _renew_chain(self, chain: Sequence[CallId], retention: float) -> None:
        """Keeps the turns of a chain for a retention from now.

        Raises:
            LedgerUnavailable: No quorum has one of the turns on disk.
        """
        due = self._renewal_times.list_due(chain, retention)
        if not due:
            return
        for _ in range(MAX_VIEW_ATTEMPTS):
            view = self.view
            if view is None:
                raise LedgerUnavailable("No view of the ledger is known yet.")
            sent_at = trio.current_time()
            renewal = ChainRenewal(
                view,
                due,
                retention + EXTRA_RETENTION_SECONDS,
                call_member=self.call,
                read_turn=self.chains.read_turn,
                rewrites=self._rewrites,
                nursery=self._nursery,
            )
            await renewal.run()
            if self._adopt_newest(renewal.answers):
                continue
            if renewal.unconfirmed:
                raise LedgerUnavailable(
                    f"No quorum keeps {len(renewal.unconfirmed)} of the {len(due)} "
                    "preceding turns."
                )
            self._renewal_times.record(due, retention, sent_at=sent_at)
            return
        raise LedgerUnavailable(
            f"The view changed {MAX_VIEW_ATTEMPTS} times during the renewal."
        )

    def list_group(self, key: str) -> tuple[Member, ...]:
        """Returns the members that are responsible for a key; none without a view."""
        return self.view.list_group(key) if self.view else ()

    def _repair_account_later(
        self, account: TokenAccount, answers: list[Written]
    ) -> None:
        """Writes again the charges of a program that a member of the quorum lacks.

        A member lacks the charges that were written while it was down. Each write extends
        the retention of those that a member has, so the others must be made up for: when
        a member drops an account, a quorum must still have all of it. That is long after
        now, so charges that are still on their way to a member get time to arrive.
        """
        missing = find_missing_charges(answers)
        if not missing:
            return
        program = account.program
        if program not in self._missing_charges:
            self._missing_charges[program] = {}
            self._nursery.start_soon(
                run_supervised,
                Task.TURN,
                self._repair_account,
                program,
                account.retention_seconds,
            )
        self._missing_charges[program].update(
            {charge.call: charge for charge in missing}
        )

    async def _repair_account(self, program: ProgramId, retention: float) -> None:
        await trio.sleep(REPAIR_DELAY_SECONDS)
        missing = list(self._missing_charges.pop(program).values())
        account = TokenAccount(program, missing, retention)
        try:
            await self._write(program, Entry(account=account))
        except LedgerUnavailable as error:
            logger.warning(
                "charges that a member lacks were not written again",
                extra={"program": program, "reason": str(error)},
            )

    async def _write(
        self, key: str, entry: Entry, return_chain_of: CallId | None = None
    ) -> list[Written]:
        for _ in range(MAX_VIEW_ATTEMPTS):
            view = self.view
            if view is None:
                raise LedgerUnavailable("No view of the ledger is known yet.")
            group = view.list_group(key)
            nearest = self._choose_nearest(group)

            def build(
                member: Member, view: View = view, near: Member = nearest
            ) -> Write:
                wanted = return_chain_of if member is near else None
                return Write(get_stamp(view), entry, wanted)

            forward_seconds = self._get_forward_seconds(group, entry, return_chain_of)
            forwarded = ForwardedWrite()
            if forward_seconds is not None:
                forwarded = await self._forwarding.write(
                    view, group, entry, min_seconds=forward_seconds
                )
            answers = forwarded.answers
            stale = any(isinstance(answer, StaleView) for answer in answers)
            if not stale and not has_write_quorum(answers, view):
                # All members are asked again, so that no member counts twice.
                answers = await self._call_group(
                    group, build, is_write_vote, quorum=view.write_quorum
                )
                if has_write_quorum(forwarded.answers, view):
                    answers = forwarded.answers
            if self._adopt_newest(answers):
                continue
            if has_write_quorum(answers, view):
                return [a for a in answers if isinstance(a, Written)]
            raise LedgerUnavailable(
                f"{describe_write(answers, len(group))}; the quorum is {view.write_quorum}."
            )
        raise LedgerUnavailable(
            f"The view changed {MAX_VIEW_ATTEMPTS} times during the write."
        )

    def _adopt_newest(self, answers: list[Any]) -> bool:
        """Adopts the newest view of members that rejected a request, if any."""
        newer = [answer.view for answer in answers if isinstance(answer, StaleView)]
        if newer:
            self.adopt(max(newer, key=lambda each: each.epoch))
        return bool(newer)

    def _choose_nearest(self, group: Sequence[Member]) -> Member:
        def rank(member: Member) -> tuple[bool, bool]:
            peer = self._peers.get(member.address)
            return (
                peer is None or not peer.is_connected,
                member.domain != self._local_frontend.domain,
            )

        return min(group, key=rank)

    async def _call_group(
        self,
        group: tuple[Member, ...],
        build: Callable[[Member], Any],
        is_vote: Callable[[Any], bool],
        *,
        quorum: int,
    ) -> list[Any]:
        """Asks all members of a group and returns at a quorum of counted answers."""
        calls = [
            functools.partial(self.call, member.address, build(member))
            for member in group
        ]
        return await call_until_quorum(
            calls, is_vote, quorum=quorum, nursery=self._nursery
        )

    def _get_forward_seconds(
        self, group: Sequence[Member], entry: Entry, return_chain_of: CallId | None
    ) -> float | None:
        """Returns how long to wait at least for a member that forwards an entry.

        None means that the entry is sent to all members at once.
        """
        if not any(self.is_connected(member.address) for member in group):
            # A relay passes on one request instead of one for each member.
            return REQUEST_TIMEOUT_SECONDS
        if get_turn_size(entry) >= LARGE_ENTRY_BYTES:
            return LARGE_FORWARD_SECONDS
        # A chain comes with the answer of a member that is written to directly.
        return 0.0 if return_chain_of is None else None

    async def _call_nearest(self, group: tuple[Member, ...], request: Any) -> list[Any]:
        """Asks only the nearest member, so that the chain is transferred only once."""
        nearest = self._choose_nearest(group)
        try:
            with trio.move_on_after(NEAREST_TIMEOUT_SECONDS):
                return [await self.call(nearest.address, request)]
        except PeerUnreachable as error:
            logger.debug(
                "a member does not answer a read", extra={"reason": str(error)}
            )
        return []

    async def call(
        self, address: str, request: Any, timeout: float = REQUEST_TIMEOUT_SECONDS
    ) -> Any:
        """Calls a member, through another frontend if this one cannot reach it."""
        peer = self._peers[address]
        if peer.is_connected:
            try:
                return await peer.call(request, timeout=timeout)
            except PeerUnreachable:
                if peer.is_connected:
                    raise
        answer = await self._frontends.relay(address, request, timeout)
        self._relayed_at[address] = trio.current_time()
        return answer

    async def call_member(self, address: str, request: Any, timeout: float) -> Any:
        """Calls a member on behalf of another frontend.

        Raises:
            PeerUnreachable: The member is unknown or does not answer.
        """
        peer = self._peers.get(address)
        if peer is None:
            raise PeerUnreachable(f"{address} is not a known member of the ledger.")
        return await peer.call(request, timeout=timeout)

    async def read_chain(
        self, call: CallId, memory: MemoryReservation, *, size: int
    ) -> list[Turn]:
        """Returns a turn and all turns before it, newest first.

        Args:
            call: The turn.
            memory: Memory of the turns.
            size: Size of the whole chain in bytes, as far as known.

        Raises:
            LedgerUnavailable: Too few members answered.
            MemoryFull: There is no memory for the chain.
            TurnNotFound: A turn of the chain does not exist.
        """
        await memory.resize(size)
        chain = self.chains.cache.get_chain(call)
        await self.chains.complete(chain, call, memory)
        return chain

    async def _read_page(self, call: CallId, room: int) -> TurnChain:
        """Returns a turn and turns before it that fit into the room, as a member has them.

        Raises:
            LedgerUnavailable: Too few members answered.
            TurnNotFound: The turn does not exist.
        """
        for _ in range(MAX_VIEW_ATTEMPTS):
            view = self.view
            if view is None:
                raise LedgerUnavailable("No view of the ledger is known yet.")
            group = view.list_group(call)
            answers = await self._read_at_nearest(
                group, ReadChain(get_stamp(view), call, room)
            )
            found = [answer for answer in answers if has_turn(answer)]
            if found:
                return max(found, key=lambda each: (len(each.turns), each.chain_bytes))
            if self._adopt_newest(answers):
                continue
            voted = [a for a in answers if isinstance(a, TurnChain) and a.votes]
            if len(voted) >= view.read_quorum and self.view is view:
                raise TurnNotFound(f"Turn {call} does not exist.")
            raise LedgerUnavailable(f"Too few members answered for turn {call}.")
        raise LedgerUnavailable(
            f"The view changed {MAX_VIEW_ATTEMPTS} times during the read."
        )

    async def _read_at_nearest(
        self, group: tuple[Member, ...], request: ReadChain
    ) -> list[Any]:
        """Returns the turns of one member, or what all members of a group say.

        The others are first asked who has the turn. If each sent the turns at once, the
        answers would need several times the room of the reader.
        """
        answers = await self._call_nearest(group, request)
        if any(map(has_turn, answers)):
            return answers
        probe = msgspec.structs.replace(request, room_bytes=0)
        holders: list[Member] = []

        async def ask(member: Member) -> Any:
            answer = await self.call(member.address, probe)
            if has_turn(answer):
                holders.append(member)
            return answer

        calls = [functools.partial(ask, member) for member in group]
        answers = await call_until_quorum(
            calls, has_turn, quorum=1, nursery=self._nursery
        )
        if not holders:
            return answers
        try:
            return [await self.call(holders[0].address, request)]
        except PeerUnreachable as error:
            raise LedgerUnavailable(
                f"{holders[0].instance} did not send turn {request.call}: {error}"
            ) from error
