"""Finds expired items without visiting the others."""

from typing import Generic, TypeVar, final

Key = TypeVar("Key", bound=str)


@final
class ExpiryBuckets(Generic[Key]):
    """Keys by the second in which they are to be checked.

    A key whose expiry was extended stays in its bucket. The caller adds it again when
    the bucket is due, so an extension costs nothing here.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, list[Key]] = {}

    def add(self, key: Key, until: float) -> None:
        """Adds a key that is due after a time."""
        self._buckets.setdefault(int(until), []).append(key)

    def pop_due(self, now: float) -> list[Key]:
        """Removes and returns the keys whose second has passed."""
        due = [second for second in self._buckets if second < int(now)]
        return [key for second in sorted(due) for key in self._buckets.pop(second)]
