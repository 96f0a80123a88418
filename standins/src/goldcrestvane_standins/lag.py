"""A value whose changes become visible after a delay."""

from collections import deque
from typing import Generic, TypeVar, final

import trio

T = TypeVar("T")


@final
class LaggedValue(Generic[T]):
    """Holds a value and returns it as it was `lag` seconds ago."""

    def __init__(self, initial: T, *, lag: float) -> None:
        self._lag = lag
        self._samples: deque[tuple[float, T]] = deque([(float("-inf"), initial)])

    def set(self, value: T) -> None:
        """Sets the current value."""
        self._drop_old()
        self._samples.append((trio.current_time(), value))

    def get_latest(self) -> T:
        """Returns the current value, without the delay."""
        return self._samples[-1][1]

    def get(self) -> T:
        """Returns the value as it was `lag` seconds ago."""
        self._drop_old()
        return self._samples[0][1]

    def _drop_old(self) -> None:
        cutoff = trio.current_time() - self._lag
        while len(self._samples) > 1 and self._samples[1][0] <= cutoff:
            self._samples.popleft()
