"""Order in which queued calls start.

Calls are ordered by priority class, then by deadline slack, then by least attained
service of the whole program. A queued call moves up by one class every
`aging_seconds`, even beyond the first class, so that new calls cannot overtake it
indefinitely.
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
URGENT_SLACK_CALL_DURATIONS = 2.0
"""A call is urgent if its slack is below this number of expected call durations."""

ATTAINED_STEP_TOKENS = 2048
"""Attained service from which a program has level 1.

The lower bound of each higher level is twice that of the level below.
"""


@final
class Waiter:
    """A call at the gate.

    Attributes:
        request: The call.
        arrived: Time of arrival on trio's clock.
        deadline: Time on trio's clock until which the caller waits for the response.
        number: Sequence number of its arrival at this gate, from 1.
        decided: Set once the call may start or was rejected.
        refusal: Error if the call was rejected while queued.
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
        """Rejects the queued call with an error."""
        self.refusal = error
        self.decided.set()


class OrderKey(NamedTuple):
    """Sort key of a queued call; the call with the smallest key starts first."""

    rank: int
    relaxed: bool
    level: int
    number: int


def build_order_key(
    waiter: Waiter, *, now: float, aging_seconds: float, service_seconds: float
) -> OrderKey:
    """Returns the sort key of a queued call at the given time.

    Args:
        waiter: The queued call.
        now: Time on trio's clock.
        aging_seconds: Waiting time after which a call moves up by one class.
        service_seconds: Expected duration of a call.
    """
    aged = int((now - waiter.arrived) / aging_seconds)
    slack = waiter.deadline - now - service_seconds
    return OrderKey(
        rank=waiter.rank - aged,
        relaxed=slack >= URGENT_SLACK_CALL_DURATIONS * service_seconds,
        level=waiter.level,
        number=waiter.number,
    )
