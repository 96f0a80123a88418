"""Guarantee of a least rate of starts for each priority class."""

from typing import final

from goldcrestvane_common.settings import Priority


@final
class StarvationGuard:
    """Time of the last start of each priority class."""

    def __init__(self) -> None:
        self._last_starts: dict[Priority, float] = {}

    def record_start(self, priority: Priority, *, now: float) -> None:
        """Notes that a call of a class started."""
        self._last_starts[priority] = now

    def is_starved(self, priority: Priority, *, now: float, seconds: float) -> bool:
        """Tells whether no call of a class has started for this time.

        The time of a class without any start counts from the first question.
        """
        return now - self._last_starts.setdefault(priority, now) >= seconds
