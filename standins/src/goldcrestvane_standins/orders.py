"""Orders to the model engine, with or without fences."""

import time
from enum import Enum
from typing import final

import msgspec

from goldcrestvane_common.errors import VersionConflict


class OrderKind(Enum):
    """What an order changes."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    SET_ROLE = "set_role"


class OrderBody(msgspec.Struct, frozen=True):
    """One order; a later holder of the right to order has a higher fence."""

    kind: OrderKind
    name: str
    fence: int = 0


class ReleaseBody(msgspec.Struct, frozen=True):
    """Request to free the prefixes of a session."""

    session: str
    fence: int = 0


class RecordedOrder(msgspec.Struct, frozen=True):
    """One order that was carried out; `time` is in seconds since 1970."""

    kind: OrderKind
    name: str
    fence: int
    time: float


class OrderRecord(msgspec.Struct):
    """The orders carried out, and what they led to."""

    models: set[str] = msgspec.field(default_factory=set)
    role: str | None = None
    orders: list[RecordedOrder] = msgspec.field(default_factory=list)


@final
class OrderBook:
    """Carries out orders; a fenced one refuses fences below the highest seen.

    All orders share one fence, and the releases of each session have their own.
    """

    def __init__(self, *, fenced: bool) -> None:
        self._fenced = fenced
        self._order_fence = 0
        self._session_fences: dict[str, int] = {}
        self._record = OrderRecord()

    def carry_out(self, order: OrderBody) -> None:
        """Carries out an order.

        Raises:
            VersionConflict: The fence is old.
        """
        self._check(order.fence, self._order_fence)
        self._order_fence = max(order.fence, self._order_fence)
        if order.kind is OrderKind.SET_ROLE:
            self._record.role = order.name
        elif order.kind is OrderKind.LOAD_MODEL:
            self._record.models.add(order.name)
        else:
            self._record.models.discard(order.name)
        recorded = RecordedOrder(order.kind, order.name, order.fence, time.time())
        self._record.orders.append(recorded)

    def release(self, body: ReleaseBody) -> None:
        """Admits the release of a session's prefixes.

        Raises:
            VersionConflict: The fence is old.
        """
        highest = self._session_fences.get(body.session, 0)
        self._check(body.fence, highest)
        self._session_fences[body.session] = max(body.fence, highest)

    def get_record(self) -> OrderRecord:
        """Returns the orders carried out so far."""
        return self._record

    def _check(self, fence: int, highest: int) -> None:
        if self._fenced and fence < highest:
            raise VersionConflict(
                f"Got fence {fence}, but {highest} was seen; give up the order."
            )
