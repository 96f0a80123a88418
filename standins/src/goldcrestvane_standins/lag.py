"""A value that is shown only some time after it was set."""

from collections import deque
from typing import Generic, TypeVar, final

import trio

T = TypeVar("T")


@final
class LaggedValue(Generic[T]):
    """Shows what a value was `lag` seconds ago."""

    def __init__(self, initial: T, *, lag: float) -> None:
        self._lag = lag
        self._samples: deque[tuple[float, T]] = deque([(float("-inf"), initial)])

    def set(self, value: T) -> None:
        """Sets the value as of now."""
        self._drop_old()
        self._samples.append((trio.current_time(), value))

    def get_latest(self) -> T:
        """Returns the value as of now."""
        return self._samples[-1][1]

    def get(self) -> T:
        """Returns the value as it was `lag` seconds ago."""
        self._drop_old()
        return self._samples[0][1]

    def _drop_old(self) -> None:
        horizon = trio.current_time() - self._lag
        while len(self._samples) > 1 and self._samples[1][0] <= horizon:
            self._samples.popleft()
