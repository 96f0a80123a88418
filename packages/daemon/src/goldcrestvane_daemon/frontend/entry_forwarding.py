"""Writes of entries through one member of the ledger, which forwards them to the others.

Load pattern: frontends have less processor time and slower links than members. An entry that
is written through one member costs a frontend one request instead of one for each member.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.ledger_answers import has_write_quorum
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    Entry,
    Failed,
    ForwardResult,
    ForwardWrite,
    StaleView,
    Write,
    get_stamp,
)
from goldcrestvane_daemon.ledger.view import Member, View
from goldcrestvane_daemon.response_times import ResponseTimeout
from goldcrestvane_daemon.tasks import Task, run_supervised

BACKOFF_SECONDS = 2.0
"""Time for which a member that failed to forward an entry in time is chosen last."""

MIN_TIMEOUT_SECONDS = 0.1
"""Minimum time for which a response is awaited. Forwarding takes two round trips between
domains and a sync, 30 ms in total."""

logger = get_logger("ledger")

ChooseMember = Callable[[Sequence[Member]], Member]
CallMember = Callable[[str, ForwardWrite], Awaitable[Any]]


@final
class ForwardedWrite:
    """A write through one member, which goes on when its writer no longer waits.

    Attributes:
        answers: The members' answers; empty before they are there and after a failure.
    """

    def __init__(self) -> None:
        self.answers: list[Any] = []
        self.ended = trio.Event()


@final
class EntryForwarding:
    """Chooses the member that forwards an entry, and sends it."""

    def __init__(
        self,
        *,
        call_member: CallMember,
        choose_nearest: ChooseMember,
        nursery: trio.Nursery,
        max_seconds: float,
    ) -> None:
        """Creates the sender.

        Args:
            call_member: Sends a request to the member at an address.
            choose_nearest: Returns the member to prefer among several.
            nursery: Runs the requests, also those that nobody waits for.
            max_seconds: Maximum time for which a response is awaited.
        """
        self._call_member = call_member
        self._choose_nearest = choose_nearest
        self._nursery = nursery
        self._backoff_until: dict[str, float] = {}
        self._timeout = ResponseTimeout(
            minimum=MIN_TIMEOUT_SECONDS, maximum=max_seconds
        )

    async def write(
        self, view: View, group: Sequence[Member], entry: Entry, *, min_seconds: float
    ) -> ForwardedWrite:
        """Sends an entry, and waits for the members' answers for a limited time.

        A member that does not respond in time is chosen last for some time.

        Args:
            view: View under which to write.
            group: Members that store the entry.
            entry: The entry.
            min_seconds: Minimum time for which to wait.
        """
        write = ForwardedWrite()
        member = self._choose_member(group)
        others = [each.address for each in group if each is not member]
        request = ForwardWrite(Write(get_stamp(view), entry), others, view.write_quorum)
        self._nursery.start_soon(
            run_supervised, Task.PEER_CALL, self._send, write, member, request, view
        )
        seconds = max(min_seconds, self._timeout.seconds)
        with trio.move_on_after(seconds) as scope:
            await write.ended.wait()
        if scope.cancelled_caught:
            self._back_off(member, f"no response within {seconds:.3f} s")
        return write

    def _choose_member(self, group: Sequence[Member]) -> Member:
        now = trio.current_time()

        def get_backoff(member: Member) -> float:
            return self._backoff_until.get(member.address, 0.0)

        sound = [each for each in group if get_backoff(each) <= now]
        return self._choose_nearest(sound) if sound else min(group, key=get_backoff)

    async def _send(
        self, write: ForwardedWrite, member: Member, request: ForwardWrite, view: View
    ) -> None:
        started = trio.current_time()
        try:
            answer = await self._call_member(member.address, request)
        except PeerUnreachable as error:
            answer = Failed(str(error))
        finally:
            write.ended.set()
        if not isinstance(answer, ForwardResult):
            self._back_off(member, str(answer))
            return
        write.answers = list(answer.answers)
        if has_write_quorum(write.answers, view):
            self._timeout.record(trio.current_time() - started)
        elif not any(isinstance(each, StaleView) for each in write.answers):
            # The member reaches too few others; this frontend may reach more.
            self._back_off(member, "it reached no quorum")

    def _back_off(self, member: Member, reason: str) -> None:
        self._backoff_until[member.address] = trio.current_time() + BACKOFF_SECONDS
        logger.info(
            "a member failed to forward an entry",
            extra={"member": member.instance, "reason": reason},
        )
