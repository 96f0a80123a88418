"""Keeps the turns of a chain in the ledger for as long as its newest turn.

The turns of a chain lie in different groups of members, and a member lacks those that were
written while it was down. No member can therefore extend the retention of a whole chain.
The frontend that stores a turn knows its whole chain: it renews each preceding turn in the
group of that turn, and reads and writes it again where it is missing.
"""

import math
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.ids import CallId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend import metrics
from goldcrestvane_daemon.frontend.ledger_answers import is_write_vote
from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable, TurnNotFound
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    Entry,
    RenewTurns,
    Turn,
    TurnsRenewed,
    Write,
    get_stamp,
)
from goldcrestvane_daemon.ledger.view import Member, View
from goldcrestvane_daemon.tasks import Task, run_supervised

EXTRA_RETENTION_SECONDS = 15.0
"""Time beyond its retention for which a turn is stored. The chains of programs that end
within it need no renewal."""

RENEWAL_INTERVAL_SECONDS = 20.0
"""Time for which a stored or renewed turn is not renewed again. It is shorter than the
extra retention and the margin of the members together, by the time that a response may
take to end."""

CallMember = Callable[[str, Any], Awaitable[Any]]
ReadTurn = Callable[[CallId], Awaitable[Turn]]

logger = get_logger("ledger")


@final
class RenewalTimes:
    """Times until which turns are known to be kept by a write quorum of their group."""

    def __init__(self) -> None:
        self._kept_until: dict[CallId, float] = {}

    def record(
        self, calls: Sequence[CallId], retention_seconds: float, *, sent_at: float
    ) -> None:
        """Records that turns were written or renewed by requests sent at a time."""
        until = sent_at + retention_seconds + RENEWAL_INTERVAL_SECONDS
        for call in calls:
            # Each turn is inserted again, so that the entries stay in the order of time.
            known = self._kept_until.pop(call, -math.inf)
            self._kept_until[call] = max(known, until)

    def list_due(
        self, calls: Sequence[CallId], retention_seconds: float
    ) -> list[CallId]:
        """Returns the turns that may not be kept for a retention from now."""
        now = trio.current_time()
        self._drop_expired(now)
        return [
            call
            for call in calls
            if self._kept_until.get(call, -math.inf) < now + retention_seconds
        ]

    def _drop_expired(self, now: float) -> None:
        while self._kept_until:
            oldest = next(iter(self._kept_until))
            if self._kept_until[oldest] >= now:
                return
            del self._kept_until[oldest]


@final
class ChainRenewal:
    """Renews turns in their groups, and writes them to members that lack them.

    Attributes:
        answers: The members' answers.
    """

    def __init__(
        self,
        view: View,
        calls: Sequence[CallId],
        retention_seconds: float,
        *,
        call_member: CallMember,
        read_turn: ReadTurn,
        rewrites: trio.CapacityLimiter,
        nursery: trio.Nursery,
    ) -> None:
        """Prepares the renewal.

        Args:
            view: View whose groups have the turns.
            calls: Ids of the turns.
            retention_seconds: Time for which they are kept from now on at least.
            call_member: Sends a request to the member at an address, or raises
                PeerUnreachable.
            read_turn: Returns a turn, or raises LedgerUnavailable or TurnNotFound.
            rewrites: Bounds the turns that are in memory to be written again.
            nursery: Runs the requests, also those that outlast `run`.
        """
        self._view = view
        self._calls = list(calls)
        self._retention_seconds = retention_seconds
        self._call_member = call_member
        self._read_turn = read_turn
        self._rewrites = rewrites
        self._nursery = nursery
        self._votes: Counter[CallId] = Counter()
        self._running = 0
        self._changed = trio.Event()
        self.answers: list[Any] = []

    @property
    def unconfirmed(self) -> list[CallId]:
        """Turns of which no write quorum has confirmed the renewal."""
        quorum = self._view.write_quorum
        return [call for call in self._calls if self._votes[call] < quorum]

    async def run(self) -> None:
        """Sends the requests, and returns once all turns are confirmed or none can be.

        The remaining requests continue, so that every member gets them.
        """
        calls_by_member: dict[Member, list[CallId]] = {}
        for call in self._calls:
            for member in self._view.list_group(call):
                calls_by_member.setdefault(member, []).append(call)
        self._running = len(calls_by_member)
        for member, calls in calls_by_member.items():
            self._nursery.start_soon(
                run_supervised, Task.PEER_CALL, self._renew_at, member, calls
            )
        while self._running and self.unconfirmed:
            await self._changed.wait()
            self._changed = trio.Event()

    async def _renew_at(self, member: Member, calls: list[CallId]) -> None:
        stamp = get_stamp(self._view)
        request = RenewTurns(stamp, calls, self._retention_seconds)
        try:
            answer = await self._call_member(member.address, request)
            self.answers.append(answer)
            if isinstance(answer, TurnsRenewed):
                self._votes.update(answer.renewed)
                self._changed.set()
                for call in answer.missing:
                    async with self._rewrites:
                        await self._write_to(member, call)
        except PeerUnreachable as error:
            logger.debug("a member does not respond", extra={"reason": str(error)})
        except (LedgerUnavailable, TurnNotFound) as error:
            logger.warning(
                "a turn that a member lacks was not read",
                extra={"member": member.instance, "reason": str(error)},
            )
        finally:
            self._running -= 1
            self._changed.set()

    async def _write_to(self, member: Member, call: CallId) -> None:
        turn = msgspec.structs.replace(
            await self._read_turn(call), retention_seconds=self._retention_seconds
        )
        request = Write(get_stamp(self._view), Entry(turn=turn))
        answer = await self._call_member(member.address, request)
        self.answers.append(answer)
        self._votes[turn.call] += is_write_vote(answer)
        self._changed.set()
        metrics.REWRITTEN_TURNS.inc()
        logger.info(
            "wrote a turn to a member that lacked it",
            extra={"member": member.instance, "call": turn.call},
        )
