"""Reads and writes the ledger by quorum, for a frontend."""

import functools
from collections.abc import Callable
from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.ids import CallId, ProgramId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.frontend.turn_cache import TurnCache
from goldcrestvane_daemon.ledger.frames import PeerConnection, PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    Announce,
    Entry,
    Failed,
    ForwardResult,
    ForwardWrite,
    Frontend,
    Frontends,
    ReadChain,
    Response,
    StaleView,
    TokenAccount,
    TokenCharge,
    Turn,
    TurnChain,
    Write,
    Written,
)
from goldcrestvane_daemon.ledger.quorum import call_until_quorum
from goldcrestvane_daemon.ledger.view import Member, View

WRITE_SECONDS = 0.5
"""A write takes a round trip between domains and a sync, 20 ms in all; a request that
is lost on the way is sent again within a second, a hung disk takes longer."""

ANNOUNCE_SECONDS = 3.0
"""A new frontend is known to the others within this time."""

MIN_PASSED_BYTES = 1024
"""Size of a turn from which a member passes it on; a packet holds smaller ones."""

PASS_ON_SECONDS = 0.25
"""A write takes two round trips between domains and a sync, 30 ms in all."""

AVOIDED_SECONDS = 2.0
"""Time for which a member that did not pass an entry on is not asked to."""

NEAREST_SECONDS = 0.15
"""Time after which all members of a group are asked for a chain."""

RECONNECT_SECONDS = 0.5
MAX_VIEW_CHANGES = 3
CACHED_TURN_BYTES = 8 * 1024 * 1024
"""Turns kept by a frontend to spare the way to the ledger; the rest is read again."""

logger = get_logger("ledger")


class LedgerUnavailable(Exception):
    """No quorum answered; what was to be written may be there or not."""


class TurnNotFound(Exception):
    """A quorum proves that no such turn counts."""


class OpenedTurn(msgspec.Struct, frozen=True):
    """What the ledger knows as a turn begins.

    Attributes:
        charges: Tokens of the program's turns, this one included.
        chain: The turns before it, newest first.
    """

    charges: dict[CallId, TokenCharge]
    chain: list[Turn]


@final
class LedgerClient:
    """Writes to the members responsible for a key, and reads from them.

    Attributes:
        view: The newest view that is known; None before the first.
    """

    def __init__(
        self, own: Frontend, frontends: FrontendPeers, nursery: trio.Nursery
    ) -> None:
        self._own = own
        self._frontends = frontends
        self._nursery = nursery
        self._peers: dict[str, PeerConnection] = {}
        self._avoided: dict[str, float] = {}
        self._cache = TurnCache(CACHED_TURN_BYTES)
        self.view: View | None = None

    @property
    def is_reachable(self) -> bool:
        """Whether enough members are connected for a quorum."""
        view = self.view
        if view is None:
            return False
        connected = sum(
            1
            for member in view.slots
            if (peer := self._peers.get(member.address)) and peer.is_connected
        )
        return connected > len(view.slots) - view.read_quorum

    def adopt(self, view: View) -> None:
        """Takes over a newer view and connects to its members."""
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
    ) -> OpenedTurn:
        """Makes a turn's reservation durable and returns what it depends on.

        Raises:
            LedgerUnavailable: No quorum answered; nothing may run.
            TurnNotFound: The previous turn does not exist.
        """
        chain = self._cache.get_chain(previous)
        wanted = _find_missing(chain, previous)
        charges: dict[CallId, TokenCharge] = {}
        entry = Entry(account=account)
        for written in await self._write(
            account.program, entry, return_chain_of=wanted
        ):
            for charge in written.account.charges if written.account else ():
                known = charges.get(charge.call)
                if known is None or not known.is_final:
                    charges[charge.call] = charge
            self._cache.put_all(written.chain)
        chain = await self._complete_chain(previous)
        return OpenedTurn(charges, chain)

    async def settle(
        self,
        program: ProgramId,
        charge: TokenCharge,
        turn: Turn | None,
        retention: float,
    ) -> None:
        """Makes the end of a turn durable.

        Raises:
            LedgerUnavailable: No quorum answered.
        """
        account = TokenAccount(program, [charge], retention)
        if turn is None:
            await self._write(program, Entry(account=account))
            return
        # One entry a member when the program's group also keeps the turn.
        groups = self._list_group(program), self._list_group(turn.call)
        if {m.instance for m in groups[0]} == {m.instance for m in groups[1]}:
            await self._write(turn.call, Entry(account=account, turn=turn))
        else:
            await self._write(turn.call, Entry(turn=turn))
            await self._write(program, Entry(account=account))
        self._cache.put_all([turn])

    def _list_group(self, key: str) -> tuple[Member, ...]:
        return self.view.list_group(key) if self.view else ()

    async def _write(
        self, key: str, entry: Entry, return_chain_of: CallId | None = None
    ) -> list[Written]:
        for _ in range(MAX_VIEW_CHANGES):
            view = self.view
            if view is None:
                raise LedgerUnavailable("The ledger has no members yet.")
            group = view.list_group(key)
            nearest = self._choose_nearest(group)

            def build(
                member: Member, view: View = view, near: Member = nearest
            ) -> Write:
                wanted = return_chain_of if member is near else None
                return Write(view.epoch, entry, wanted)

            answers: list[Any] = []
            if _measure_turn(entry) >= MIN_PASSED_BYTES:
                answers = await self._write_through(view, group, entry)
            stale = any(isinstance(answer, StaleView) for answer in answers)
            if not stale and not _has_quorum(answers, view):
                # Asked anew, so that no member counts twice.
                answers = await self._ask(
                    group, build, _votes, quorum=view.write_quorum
                )
            newer = [answer.view for answer in answers if isinstance(answer, StaleView)]
            if newer:
                self.adopt(max(newer, key=lambda each: each.epoch))
                continue
            if _has_quorum(answers, view):
                return [a for a in answers if isinstance(a, Written)]
            raise LedgerUnavailable(
                f"{sum(map(_votes, answers))} of {len(group)} members wrote, "
                f"{view.write_quorum} are needed."
            )
        raise LedgerUnavailable("The members change all the time.")

    def _choose_nearest(self, group: tuple[Member, ...]) -> Member:
        def rank(member: Member) -> tuple[bool, bool]:
            peer = self._peers.get(member.address)
            return (
                peer is None or not peer.is_connected,
                member.domain != self._own.domain,
            )

        return min(group, key=rank)

    async def _ask(
        self,
        group: tuple[Member, ...],
        build: Callable[[Member], Any],
        is_vote: Callable[[Any], bool],
        *,
        quorum: int,
    ) -> list[Any]:
        """Asks all members of a group and returns once enough answers count."""
        calls = [
            functools.partial(self._call, member.address, build(member))
            for member in group
        ]
        return await call_until_quorum(
            calls, is_vote, quorum=quorum, nursery=self._nursery
        )

    async def _write_through(
        self, view: View, group: tuple[Member, ...], entry: Entry
    ) -> list[Any]:
        """Has the nearest member pass an entry on; returns the members' answers.

        One copy of a turn leaves this process in place of one for each member, which a
        frontend on a small link could not send in time. Returns no answers if the
        member fails; the entry is then written directly.
        """
        nearest = self._choose_nearest(group)
        now = trio.current_time()
        if self._avoided.get(nearest.address, 0.0) > now:
            return []
        others = [each.address for each in group if each is not nearest]
        request = ForwardWrite(Write(view.epoch, entry), others, view.write_quorum)
        try:
            answer = await self._call(nearest.address, request, PASS_ON_SECONDS)
        except PeerUnreachable as error:
            answer = Failed(str(error))
        if isinstance(answer, ForwardResult):
            return list(answer.answers)
        self._avoided[nearest.address] = now + AVOIDED_SECONDS
        logger.info("a member did not pass an entry on", extra={"answer": str(answer)})
        return []

    async def _ask_nearest(self, group: tuple[Member, ...], request: Any) -> list[Any]:
        """Asks the nearest member alone, so that one copy of a chain comes back."""
        nearest = self._choose_nearest(group)
        try:
            with trio.move_on_after(NEAREST_SECONDS):
                return [await self._call(nearest.address, request)]
        except PeerUnreachable as error:
            logger.debug("a member does not answer", extra={"reason": str(error)})
        return []

    async def _call(
        self, address: str, request: Any, timeout: float = WRITE_SECONDS
    ) -> Any:
        """Asks a member, through another frontend if this one does not reach it."""
        peer = self._peers[address]
        if peer.is_connected:
            try:
                return await peer.call(request, timeout=timeout)
            except PeerUnreachable:
                if peer.is_connected:
                    raise
        return await self._frontends.relay(address, request, timeout)

    async def call_member(self, address: str, request: Any, timeout: float) -> Any:
        """Asks a member for another frontend.

        Raises:
            PeerUnreachable: The member is not known here, or does not answer.
        """
        peer = self._peers.get(address)
        if peer is None:
            raise PeerUnreachable(f"{address} is no member that is known here.")
        return await peer.call(request, timeout=timeout)

    async def run(self) -> None:
        """Announces this frontend to the members until cancelled."""
        while True:
            connected = [peer for peer in self._peers.values() if peer.is_connected]
            for peer in connected:
                try:
                    answer = await peer.call(Announce(self._own), timeout=WRITE_SECONDS)
                except PeerUnreachable as error:
                    logger.info("not announced", extra={"reason": str(error)})
                    continue
                if isinstance(answer, Frontends):
                    self._frontends.update_frontends(answer.frontends, self._own.domain)
            await trio.sleep(ANNOUNCE_SECONDS if connected else RECONNECT_SECONDS)

    async def _complete_chain(self, call: CallId | None) -> list[Turn]:
        """Returns a chain, newest first, reading what is not cached.

        Raises:
            LedgerUnavailable: Too few members answered.
            TurnNotFound: A turn of the chain does not exist.
        """
        while True:
            chain = self._cache.get_chain(call)
            wanted = _find_missing(chain, call)
            if wanted is None:
                return chain
            await self._read_turn(wanted)

    async def _read_turn(self, call: CallId) -> None:
        view = self.view
        if view is None:
            raise LedgerUnavailable("The ledger has no members yet.")
        group = view.list_group(call)
        request = ReadChain(call)

        def has_turn(answer: Any) -> bool:
            return isinstance(answer, TurnChain) and bool(answer.turns)

        answers = await self._ask_nearest(group, request)
        if not any(map(has_turn, answers)):
            answers = await self._ask(group, lambda _: request, has_turn, quorum=1)
        found = [answer for answer in answers if has_turn(answer)]
        if found:
            self._cache.put_all(max((a.turns for a in found), key=len))
            return
        voted = [a for a in answers if isinstance(a, TurnChain) and a.votes]
        if len(voted) >= view.read_quorum and self.view is view:
            raise TurnNotFound(f"No turn {call} is kept.")
        raise LedgerUnavailable(f"Too few members answered for turn {call}.")


def _votes(answer: Any) -> bool:
    """Tells whether an answer counts towards a quorum of writes."""
    return isinstance(answer, Written) and answer.votes


def _has_quorum(answers: list[Any], view: View) -> bool:
    return sum(map(_votes, answers)) >= view.write_quorum


def _measure_turn(entry: Entry) -> int:
    turn = entry.turn
    return 0 if turn is None else len(turn.input) + len(turn.output)


def _find_missing(chain: list[Turn], call: CallId | None) -> CallId | None:
    """Returns the first turn that a chain lacks, or None when it is whole."""
    return chain[-1].previous if chain else call


def sum_committed_tokens(charges: dict[CallId, TokenCharge]) -> int:
    """Returns the tokens of all turns, unsettled ones at their most."""
    return sum(charge.tokens for charge in charges.values())
