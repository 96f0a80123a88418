"""Ends waits for an owner that has lost its shard, or whose deadline has passed."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import final

import trio

from goldcrestvane_common.ids import ShardId
from goldcrestvane_common.messages import (
    ShardOwner,
)
from goldcrestvane_daemon.entry._directories import OwnerDirectory

CHECK_INTERVAL_SECONDS = 0.25


@final
@dataclass(eq=False, kw_only=True)
class PendingWait:
    """One wait for an owner.

    Attributes:
        shard: The shard that the owner was asked for.
        owner: The owner that was asked.
        scope: Ends the wait.
        reassigned_at: When the shard map was first seen to name another owner.
        reassigned: Whether the wait ended for that reason.
    """

    shard: ShardId
    owner: ShardOwner
    scope: trio.CancelScope
    reassigned_at: float | None = None
    reassigned: bool = False


@final
class OwnershipMonitor:
    """The waits of one entry for owners.

    An owner that hangs or is cut off keeps its connections open and silent; only the
    shard map tells that another sidecar has taken over.
    """

    def __init__(self, owners: OwnerDirectory, *, grace: float) -> None:
        self._owners = owners
        self._grace = grace
        self._waits: set[PendingWait] = set()

    @contextmanager
    def watch(
        self, shard: ShardId, owner: ShardOwner, *, deadline: float
    ) -> Iterator[PendingWait]:
        """Bounds a wait by a deadline and by the owner's hold on its shard.

        Args:
            shard: The shard that the owner was asked for.
            owner: The owner that was asked.
            deadline: Time on trio's clock.
        """
        with trio.CancelScope(deadline=deadline) as scope:
            wait = PendingWait(shard=shard, owner=owner, scope=scope)
            self._waits.add(wait)
            try:
                yield wait
            finally:
                self._waits.discard(wait)

    async def run(self) -> None:
        """Checks the waits until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def check(self) -> None:
        """Ends each wait whose owner lost its shard over the grace time ago."""
        now = trio.current_time()
        for wait in list(self._waits):
            current = self._owners.find_owner(wait.shard)
            if current is None or current.owner == wait.owner.owner:
                wait.reassigned_at = None
                continue
            if wait.reassigned_at is None:
                wait.reassigned_at = now
            if now - wait.reassigned_at >= self._grace:
                wait.reassigned = True
                wait.scope.cancel()
