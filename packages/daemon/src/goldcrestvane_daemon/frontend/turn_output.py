"""Output of a turn that runs, and its copies on members of the ledger.

Load pattern that this module handles: a frontend ends while it forwards a stream, and the
client takes the stream up at another one. The turn is stored there as a whole, so the other
frontend needs what the client has got. Each forwarded part is therefore also sent to the
members of the attempt's group, which keep it in memory. The stream does not wait for them.
"""

import functools
from collections.abc import Sequence
from typing import Protocol, final

import trio

from goldcrestvane_common.ids import CallId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.events import StreamEvent
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    ExtendOutput,
    OutputExtended,
    OutputFound,
    ReadOutput,
    Request,
    Response,
)
from goldcrestvane_daemon.ledger.quorum import call_until_quorum
from goldcrestvane_daemon.ledger.stream_outputs import Mark
from goldcrestvane_daemon.ledger.view import Member
from goldcrestvane_daemon.tasks import Task, run_supervised

COPY_RETRY_SECONDS = 0.2
MAX_COPY_FAILURES = 10
"""Number of consecutive failures after which a member gets no more of an output."""

logger = get_logger("turn")


class OutputLedger(Protocol):
    """What the copies need of the ledger's client."""

    def list_group(self, key: str) -> tuple[Member, ...]:
        """Returns the members that are responsible for a key."""
        ...

    async def call(self, address: str, request: Request) -> Response:
        """Sends a request to a member; raises PeerUnreachable."""
        ...


@final
class TurnOutput:
    """Data of the events of a turn that its client has got.

    Attributes:
        data: Data of the events, each followed by a line feed.
        is_closed: Whether nothing more is added.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.is_closed = False
        self._marks: list[Mark] = []
        self._readers = trio.lowlevel.ParkingLot()

    def add(self, event: StreamEvent) -> None:
        """Adds an event that is about to be forwarded."""
        self.data += event.data + b"\n"
        if event.number is not None:
            self._marks.append(Mark(event.number, len(self.data)))
        self._readers.unpark_all()

    def take_over(self, data: bytes, last_event: int) -> None:
        """Begins with the output of an earlier attempt up to an event."""
        self.data += data
        self._marks.append(Mark(last_event, len(self.data)))

    def close(self) -> None:
        """States that nothing more is added."""
        self.is_closed = True
        self._readers.unpark_all()

    def take(self) -> bytes:
        """Returns the whole output and releases it."""
        data = bytes(self.data)
        self.data.clear()
        self._marks.clear()
        self.close()
        return data

    async def read_part(self, start: int) -> tuple[bytes, list[Mark]]:
        """Waits for data beyond a position; it is empty if nothing more comes."""
        while len(self.data) <= start and not self.is_closed:
            await self._readers.park()
        marks = [mark for mark in self._marks if mark.end > start]
        return bytes(self.data[start:]), marks


@final
class OutputCopies:
    """Copies of outputs on members of the ledger."""

    def __init__(self, ledger: OutputLedger, nursery: trio.Nursery) -> None:
        self._ledger = ledger
        self._nursery = nursery

    def start(self, call: CallId, output: TurnOutput) -> None:
        """Starts to copy the output of an attempt until it is closed."""
        for member in self._ledger.list_group(call):
            self._nursery.start_soon(
                run_supervised, Task.TURN, self._copy, member, call, output
            )

    async def _copy(self, member: Member, call: CallId, output: TurnOutput) -> None:
        sent = failures = 0
        while failures < MAX_COPY_FAILURES:
            data, marks = await output.read_part(sent)
            if not data:
                return
            request = ExtendOutput(call, sent, data, marks)
            try:
                answer = await self._ledger.call(member.address, request)
            except PeerUnreachable as error:
                logger.debug("a member does not respond", extra={"reason": str(error)})
            else:
                if not isinstance(answer, OutputExtended):
                    return
                # The member may have dropped what it had.
                is_copied = answer.size == sent + len(data)
                sent = answer.size
                if is_copied:
                    failures = 0
                    continue
            failures += 1
            if output.is_closed:
                return
            await trio.sleep(COPY_RETRY_SECONDS)

    async def read(self, attempts: Sequence[CallId], last_event: int) -> bytes | None:
        """Returns the output of a stream up to an event.

        Args:
            attempts: Attempts whose outputs are the same up to the event, as far as they
                have it.
            last_event: Id of the event.

        Returns:
            The output; None if no member has it, which does not tell whether the client
            has it.
        """
        calls = [
            functools.partial(
                self._ledger.call, member.address, ReadOutput(attempt, last_event)
            )
            for attempt in attempts
            for member in self._ledger.list_group(attempt)
        ]
        answers = await call_until_quorum(
            calls, _is_found, quorum=1, nursery=self._nursery
        )
        return next((each.data for each in answers if _is_found(each)), None)


def _is_found(answer: Response) -> bool:
    return isinstance(answer, OutputFound) and answer.data is not None
