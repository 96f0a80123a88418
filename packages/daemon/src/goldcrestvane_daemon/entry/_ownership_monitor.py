"""Cancels waits for an owner that has lost its shard or missed the deadline."""

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
    """A wait for a response of an owner.

    Attributes:
        shard: Shard that the request is for.
        owner: Owner that the request was sent to.
        scope: Cancels the wait.
        reassigned_at: Time on trio's clock at which the shard map was first seen to
            name another owner; None while it names this one.
        reassigned: Whether the wait was cancelled because the shard was reassigned.
    """

    shard: ShardId
    owner: ShardOwner
    scope: trio.CancelScope
    reassigned_at: float | None = None
    reassigned: bool = False


@final
class OwnershipMonitor:
    """Watches the shard map for the pending waits of one entry.

    The connections to an owner that hangs or is partitioned stay open without data, so
    only the shard map shows that another sidecar has taken over.
    """

    def __init__(self, owners: OwnerDirectory, *, grace_seconds: float) -> None:
        self._owners = owners
        self._grace_seconds = grace_seconds
        self._waits: set[PendingWait] = set()

    @contextmanager
    def watch(
        self, shard: ShardId, owner: ShardOwner, *, deadline: float
    ) -> Iterator[PendingWait]:
        """Cancels the body at a deadline, or after the owner has lost its shard.

        Args:
            shard: Shard that the request is for.
            owner: Owner that the request was sent to.
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
        """Checks the pending waits until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def check(self) -> None:
        """Cancels each wait whose owner lost its shard longer ago than the grace period."""
        now = trio.current_time()
        for wait in list(self._waits):
            current = self._owners.find_owner(wait.shard)
            if current is None or current.owner == wait.owner.owner:
                wait.reassigned_at = None
                continue
            if wait.reassigned_at is None:
                wait.reassigned_at = now
            if now - wait.reassigned_at >= self._grace_seconds:
                wait.reassigned = True
                wait.scope.cancel()
