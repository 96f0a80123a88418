"""Lets clients take up streams of turns that are stored.

The stored turn must have all events that its client has got, also those of the attempts
before. The token charges of the program tell, durably, which attempts a stream consists of;
members of the ledger have the outputs of these attempts in memory.

A client that takes up a stream after an event discards what it got after that event, if
anything. Each attempt that continued a stream therefore has, durably, the event after which
it did: up to there, the output of the attempt before is what the client has, also if the
newer one ended before any member had a copy of its output. Behind that event only the
attempt itself tells, since two attempts may make different events under one id.
"""

from collections import defaultdict
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


def list_sources(
    stream: CallId, event: int, charges: dict[CallId, TokenCharge]
) -> list[CallId]:
    """Returns the attempts whose output up to an event is what the client has.

    They need not have made that event, but those that did made the same one.

    Args:
        stream: Attempt that brought the stream's first event.
        event: Id of the last event that the client has.
        charges: Token charges of the program.

    Returns:
        The attempts, the newest first; none if the charges do not tell.
    """
    if stream not in charges:
        return []
    by_number = defaultdict(list)
    for charge in _list_takers(stream, charges):
        by_number[charge.takeover].append(charge)
    sources = []
    for _, charges_at_once in sorted(by_number.items(), reverse=True):
        # Attempts that began at once do not know of each other, and it is not known which
        # of them the client followed.
        if len(charges_at_once) == 1:
            sources.append(charges_at_once[0].call)
        if any(event > each.continues_after for each in charges_at_once):
            return sources
    return [*sources, stream]


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
        sources: list[CallId] = []
        if stream is not None and event is not None:
            sources = list_sources(stream, event, charges)
            output = await self._copies.read(sources, event)
        TAKEOVERS.labels("unknown" if output is None else "continued").inc()
        logger.info(
            "a client takes up a stored stream",
            extra={
                "call": call.headers.call,
                "resumes": stream,
                "after": sources,
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
        call.continues_after = event
        call.output.take_over(output, event)
        try:
            await self._turns.record_origin(call)
        except LedgerUnavailable as error:
            raise LedgerDown(
                f"The ledger cannot record that stream {stream} goes on: {error}",
                retry_after=LEDGER_RETRY_SECONDS,
            ) from error
