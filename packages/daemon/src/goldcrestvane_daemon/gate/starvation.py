"""Guarantee of a minimum rate of starts for each priority class."""

from typing import final

from goldcrestvane_common.settings import Priority


@final
class StarvationGuard:
    """Time of the last start of each priority class."""

    def __init__(self) -> None:
        self._last_starts: dict[Priority, float] = {}

    def record_start(self, priority: Priority, *, now: float) -> None:
        """Records that a call of a class started."""
        self._last_starts[priority] = now

    def is_starved(self, priority: Priority, *, now: float, seconds: float) -> bool:
        """Returns whether no call of a class has started for the given time.

        For a class without any start, the time counts from the first check.
        """
        return now - self._last_starts.setdefault(priority, now) >= seconds
