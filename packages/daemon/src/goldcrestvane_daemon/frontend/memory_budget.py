"""Bounds the memory that is held for bodies of requests and responses, and for chains.

Load patterns:
- Clients and targets read or send slowly while others bring bodies of several megabytes.
- Many programs with long chains continue at once. Each call needs its whole chain, which
  grows with every turn, while its body is tiny.

What a process holds for all of them must stay below the memory at which the platform
kills it.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple, final

import trio

REQUEST_SHARE = 0.25
RESPONSE_SHARE = 0.125
CHAIN_SHARE = 0.125
"""Shares of the machine's memory. On the smallest machine (128 MB) they are 64 MB, beside
41 MB for the imported modules, 8 MB for cached turns and 12 MB for the two bodies beyond the
limits. Calls wait with their requests, which therefore get the larger share. A chain is held
only while it is read and sent."""

CHAIN_WAIT_SECONDS = 0.5
"""Time for which a call waits for memory for its chain, so that its client can still try
another frontend. A chain is held for some tens of milliseconds."""

BYTES_PER_MB = 1024 * 1024


class MemoryFull(Exception):
    """There is no memory for a chain, or not in time; nothing more was reserved."""


@final
class MemoryBudget:
    """Memory for data of one kind.

    What does not fit waits. By default it waits without a limit, which holds back the
    sender of a body, and one body at a time may exceed the budget: otherwise bodies that
    are all half read would wait for one another. So the budget exceeds its limit by at
    most the largest body.

    With a maximum wait the limit is strict. What cannot fit in time is rejected at once:
    what exceeds the limit by itself, and what would wait behind more than one limit.

    Attributes:
        limit: Number of bytes that may be held.
        used: Number of bytes that are held.
        waiting: Number of bytes that are waited for.
    """

    def __init__(
        self, limit_bytes: float = math.inf, *, max_wait_seconds: float = math.inf
    ) -> None:
        """Creates a budget.

        Args:
            limit_bytes: Number of bytes that may be held; no limit by default.
            max_wait_seconds: Time for which a reservation waits at most; no limit by
                default.
        """
        self.limit = limit_bytes
        self._max_wait = max_wait_seconds
        self._excess_holder: MemoryReservation | None = None
        self._waiters = trio.lowlevel.ParkingLot()
        self.used = 0
        self.waiting = 0

    @property
    def waiting_count(self) -> int:
        """Number of reservations that wait for memory."""
        return len(self._waiters)

    @contextmanager
    def reserve(self) -> Iterator["MemoryReservation"]:
        """Yields a reservation, and releases it at the end."""
        reservation = self.open()
        try:
            yield reservation
        finally:
            reservation.release()

    def open(self) -> "MemoryReservation":
        """Returns an empty reservation, which the caller must release."""
        return MemoryReservation(self)

    async def _acquire(self, reservation: "MemoryReservation", size: int) -> None:
        if not self._fits(reservation, size):
            if math.isfinite(self._max_wait):
                self._check_can_wait(reservation, size)
            self.waiting += size
            try:
                await self._wait(reservation, size)
            finally:
                self.waiting -= size
        self.used += size
        reservation.size += size

    def _check_can_wait(self, reservation: "MemoryReservation", size: int) -> None:
        """Raises MemoryFull if a reservation cannot get more memory in time."""
        if reservation.size + size > self.limit:
            raise MemoryFull(
                f"Got a chain of {reservation.size + size} bytes or more, expected at most "
                f"{self.limit:.0f}; use a machine with more memory."
            )
        if self.waiting + size > self.limit:
            raise MemoryFull(
                f"{self.waiting_count} calls wait for memory for their chains already; "
                "retry later."
            )

    async def _wait(self, reservation: "MemoryReservation", size: int) -> None:
        with trio.move_on_after(self._max_wait):
            while not self._fits(reservation, size):
                await self._waiters.park()
            return
        raise MemoryFull(
            f"No memory for a chain became free within {self._max_wait} s; retry later."
        )

    def _fits(self, reservation: "MemoryReservation", size: int) -> bool:
        if self.used + size <= self.limit:
            return True
        if math.isfinite(self._max_wait):
            return False
        if self._excess_holder is None:
            self._excess_holder = reservation
        return self._excess_holder is reservation

    def _return(self, size: int) -> None:
        self.used -= size
        self._waiters.unpark_all()

    def _release(self, reservation: "MemoryReservation") -> None:
        if self._excess_holder is reservation:
            self._excess_holder = None
        self._return(reservation.size)


@final
class MemoryReservation:
    """Memory that is held for one body or one chain.

    Attributes:
        size: Number of bytes that are held.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    async def grow(self, size: int) -> None:
        """Adds bytes to the reservation; waits until they fit.

        Raises:
            MemoryFull: The budget has a maximum wait, and they do not fit in time.
        """
        await self._budget._acquire(self, size)

    async def resize(self, size: int) -> None:
        """Changes the size of the reservation. Raises the same errors as `grow`."""
        if size > self.size:
            await self.grow(size - self.size)
        elif size < self.size:
            self._budget._return(self.size - size)
            self.size = size

    def release(self) -> None:
        """Returns all bytes to the budget."""
        self._budget._release(self)
        self.size = 0


class MemoryBudgets(NamedTuple):
    """Budgets of one process.

    They are separate because a call holds its request while it waits for its response.

    Attributes:
        requests: Bodies of clients' requests.
        responses: Bodies of targets' responses, and outputs of turns.
        chains: Stored turns that calls continue, and turns that are being stored.
    """

    requests: MemoryBudget
    responses: MemoryBudget
    chains: MemoryBudget


def build_memory_budgets(memory_mb: float) -> MemoryBudgets:
    """Returns the budgets of a machine; without a memory limit they have none."""
    if memory_mb <= 0:
        return MemoryBudgets(MemoryBudget(), MemoryBudget(), MemoryBudget())
    size = memory_mb * BYTES_PER_MB
    return MemoryBudgets(
        MemoryBudget(REQUEST_SHARE * size),
        MemoryBudget(RESPONSE_SHARE * size),
        MemoryBudget(CHAIN_SHARE * size, max_wait_seconds=CHAIN_WAIT_SECONDS),
    )
