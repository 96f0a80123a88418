"""Lets clients take up streams of turns that are stored.

The stored turn must have all events that its client has got, also those of the attempts
before. The token charges of the program tell, durably, which attempts a stream consists of;
members of the ledger have the outputs of these attempts in memory.

A client that takes up a stream after an event discards what it got after that event, if
anything. So only the last attempt that continued a stream tells which events came before.
"""

from typing import final

from goldcrestvane_common.ids import CallId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.call_context import CallContext
from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable
from goldcrestvane_daemon.frontend.metrics import TAKEOVERS
from goldcrestvane_daemon.frontend.refusals import LedgerDown, UnknownOutput
from goldcrestvane_daemon.frontend.turn_output import OutputCopies
from goldcrestvane_daemon.frontend.turn_recorder import (
    LEDGER_RETRY_SECONDS,
    TurnRecorder,
)
from goldcrestvane_daemon.ledger.messages import TokenCharge

logger = get_logger("turn")


def find_last_attempt(
    stream: CallId, charges: dict[CallId, TokenCharge]
) -> CallId | None:
    """Returns the attempt that brought the newest events of a stream to its client.

    Args:
        stream: Attempt that brought the stream's first event.
        charges: Token charges of the program.

    Returns:
        The attempt; None if the charges do not tell.
    """
    if stream not in charges:
        return None
    takers = _list_takers(stream, charges)
    if not takers:
        return stream
    newest = max(charge.takeover for charge in takers)
    last = [charge.call for charge in takers if charge.takeover == newest]
    # Two attempts that began at once do not know of each other.
    return last[0] if len(last) == 1 else None


def _list_takers(
    stream: CallId, charges: dict[CallId, TokenCharge]
) -> list[TokenCharge]:
    """Returns the charges of attempts that continued a stream and may have brought events.

    An attempt is numbered before it is sent to a target.
    """
    return [
        charge
        for charge in charges.values()
        if charge.resumes == stream
        and charge.takeover > 0
        and not (charge.is_final and charge.tokens == 0)
    ]


def count_takeovers(stream: CallId, charges: dict[CallId, TokenCharge]) -> int:
    """Returns the highest number of an attempt that continued a stream."""
    numbers = [each.takeover for each in charges.values() if each.resumes == stream]
    return max(numbers, default=0)


@final
class StreamTakeover:
    """Gives a call that continues a stored stream the output before it."""

    def __init__(self, turns: TurnRecorder, copies: OutputCopies) -> None:
        self._turns = turns
        self._copies = copies

    async def run(self, call: CallContext, charges: dict[CallId, TokenCharge]) -> None:
        """Sets the output of a call that continues a stream of a stored turn.

        Args:
            call: The call.
            charges: Token charges of its program.

        Raises:
            UnknownOutput: The output before the call is not known.
            LedgerDown: The ledger did not record that the call continues the stream.
        """
        if not call.is_stored or not call.is_resumption:
            return
        stream, event = call.headers.resumes, call.last_event
        output = None
        last = find_last_attempt(stream, charges) if stream is not None else None
        if last is not None and event is not None:
            output = await self._copies.read(last, event)
        TAKEOVERS.labels("unknown" if output is None else "continued").inc()
        logger.info(
            "a client takes up a stored stream",
            extra={
                "call": call.headers.call,
                "resumes": stream,
                "after": last,
                "last_event": event,
                "bytes": None if output is None else len(output),
            },
        )
        if output is None or stream is None or event is None:
            raise UnknownOutput(
                f"The events of stream {stream} up to event {event} are not known; "
                "send the call from its start.",
                retry_after=LEDGER_RETRY_SECONDS,
            )
        call.resumed_stream = stream
        call.takeover = count_takeovers(stream, charges) + 1
        call.output.take_over(output, event)
        try:
            await self._turns.record_origin(call)
        except LedgerUnavailable as error:
            raise LedgerDown(
                f"The ledger cannot record that stream {stream} goes on: {error}",
                retry_after=LEDGER_RETRY_SECONDS,
            ) from error
