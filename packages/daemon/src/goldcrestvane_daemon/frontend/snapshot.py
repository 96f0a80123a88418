"""Copy of all objects of one kind in the platform's store."""

import math
from enum import Enum
from typing import final

import msgspec
import trio
import xxhash

from goldcrestvane_common.ids import Version
from goldcrestvane_daemon.platform.store import StoreChanges, StoreObject
from goldcrestvane_daemon.platform.store_responses import UNKNOWN_VERSION


class ChangeSource(Enum):
    """Where a change of a copy came from."""

    LIST = "list"
    WATCH = "watch"
    CHECK = "check"
    PEER = "peer"


@final
class Snapshot:
    """All objects of one kind at a revision of the store.

    Attributes:
        objects: The objects by name.
        revision: Revision of the store that the copy reflects; 0 before the first copy.
        confirmed_at: Latest time, as in `clock.get_elapsed_time`, at which the copy is
            known to have been complete.
    """

    def __init__(self) -> None:
        self.objects: dict[str, StoreObject] = {}
        self.revision = Version(0)
        self.confirmed_at = -math.inf
        self._digest: str | None = None
        self._waiting = trio.lowlevel.ParkingLot()

    def get_age(self, now: float) -> float:
        """Returns the seconds since the copy is known to have been complete."""
        return now - self.confirmed_at

    def replace(self, changes: StoreChanges, *, confirmed_at: float) -> bool:
        """Replaces all objects by those of a list.

        Returns:
            Whether the list was used. One that is older than the copy is not.
        """
        if changes.revision < self.revision:
            return False
        self.objects = {item.name: item for item in changes.objects}
        self._digest = None
        self.confirm(changes.revision, confirmed_at)
        return True

    def update(
        self, changes: StoreChanges, *, confirmed_at: float
    ) -> list[StoreObject]:
        """Merges the changes since a revision that the copy had.

        Changes up to an older revision than that of the copy are ignored.

        Returns:
            The latest state of each object that the copy did not have yet. Earlier states
            must not take effect, not even for a moment.
        """
        if changes.revision < self.revision:
            return []
        latest = {item.name: item for item in changes.objects}
        updated = [item for item in latest.values() if self._is_new(item)]
        for item in updated:
            self.objects.pop(item.name, None)
            if not item.deleted:
                self.objects[item.name] = item
            self._digest = None
        self.confirm(changes.revision, confirmed_at)
        return updated

    @property
    def position(self) -> tuple[Version, float]:
        """Revision of the copy and the time at which it was complete."""
        return self.revision, self.confirmed_at

    def take_back(
        self, items: list[StoreObject], position: tuple[Version, float]
    ) -> None:
        """Forgets objects that could not be put in force, so that they come again.

        Args:
            items: The objects.
            position: Position of the copy before it had them.
        """
        for item in items:
            self.objects.pop(item.name, None)
        self._digest = None
        self.revision, self.confirmed_at = position

    def _is_new(self, item: StoreObject) -> bool:
        known = self.objects.get(item.name)
        return (
            item.deleted
            or known is None
            or known.version < item.version
            or item.version == UNKNOWN_VERSION
        )

    def compute_digest(self) -> str:
        """Returns a hash that is equal for copies with the same objects."""
        if self._digest is None:
            versions = sorted(
                (item.name, item.version) for item in self.objects.values()
            )
            self._digest = xxhash.xxh3_64_hexdigest(msgspec.json.encode(versions))
        return self._digest

    def confirm(self, revision: Version, confirmed_at: float) -> None:
        """Records that the copy was complete at a revision and at a time."""
        self.revision = max(self.revision, revision)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self._waiting.unpark_all()

    async def wait_confirmed(self, since: float) -> None:
        """Waits until the copy is known to have been complete at or after a time."""
        while self.confirmed_at < since:
            await self._waiting.park()
