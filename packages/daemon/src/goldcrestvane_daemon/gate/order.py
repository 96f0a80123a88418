"""The order in which waiting calls start.

Priority class first, then deadline slack, then the least service that the whole
program has had. A waiting call rises by one class each `aging_seconds`, beyond the
first class too, so that new calls cannot overtake it for ever.
"""

from typing import NamedTuple, final

import trio

from goldcrestvane_common.errors import ServiceError
from goldcrestvane_common.messages import (
    DispatchRequest,
)
from goldcrestvane_common.settings import Priority

CLASS_RANKS = {
    Priority.INTERACTIVE: 0,
    Priority.STANDARD: 1,
    Priority.BATCH: 2,
}
TIGHT_SLACK_SERVICES = 2.0
"""A call is urgent when its slack is below this many expected call durations."""

ATTAINED_STEP_TOKENS = 2048
"""Programs with less attained service than this are equal; each level doubles it."""


@final
class Waiter:
    """A call at the gate.

    Attributes:
        request: The call.
        arrived: Time of arrival on trio's clock.
        deadline: Time on trio's clock after which nobody waits for the answer.
        number: Arrival number at this gate, from 1.
        decided: Set when the call may start or was refused.
        refusal: Why the call was refused while it waited.
    """

    __slots__ = (
        "arrived",
        "deadline",
        "decided",
        "level",
        "number",
        "rank",
        "refusal",
        "request",
    )

    def __init__(self, request: DispatchRequest, *, now: float, number: int) -> None:
        self.request = request
        self.arrived = now
        self.deadline = now + request.deadline_seconds
        self.number = number
        self.decided = trio.Event()
        self.refusal: ServiceError | None = None
        self.rank = CLASS_RANKS[request.priority]
        self.level = (request.attained_tokens // ATTAINED_STEP_TOKENS).bit_length()

    def refuse(self, error: ServiceError) -> None:
        """Ends the wait with an error."""
        self.refusal = error
        self.decided.set()


class OrderKey(NamedTuple):
    """Sort key of a waiting call; the smallest starts first."""

    rank: int
    relaxed: bool
    level: int
    number: int


def build_order_key(
    waiter: Waiter, *, now: float, aging_seconds: float, service_seconds: float
) -> OrderKey:
    """Returns the sort key of a waiter at this time.

    Args:
        waiter: The waiting call.
        now: Time on trio's clock.
        aging_seconds: Waiting time that raises a call by one class.
        service_seconds: Expected duration of a call.
    """
    aged = int((now - waiter.arrived) / aging_seconds)
    slack = waiter.deadline - now - service_seconds
    return OrderKey(
        rank=waiter.rank - aged,
        relaxed=slack >= TIGHT_SLACK_SERVICES * service_seconds,
        level=waiter.level,
        number=waiter.number,
    )
