"""Issues tokens of accounts' quotas while this member may do so.

Each of the first k members of an account's group issues a k-th of the quota, so the
members of two views must never issue side by side. A member issues only while its view is
known to have been the newest within the last 3 s, and a member that enters a group waits
for 3 s. Then the member that it replaces has stopped.
"""

import math
import secrets
from collections.abc import Awaitable, Callable
from typing import final

import trio

from goldcrestvane_common.ids import Epoch, InstanceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.accounts.directory import QuotaTolerance
from goldcrestvane_daemon.accounts.quota_buckets import QuotaBuckets, count_issuers
from goldcrestvane_daemon.accounts.quota_items import GrantId, QuotaGrant, QuotaItem
from goldcrestvane_daemon.clock import get_elapsed_time
from goldcrestvane_daemon.ledger.log import EntryLog
from goldcrestvane_daemon.ledger.messages import (
    AcquireQuota,
    MemberState,
    QuotaGrants,
)
from goldcrestvane_daemon.ledger.metrics import QUOTA_ISSUED, QUOTA_ITEMS
from goldcrestvane_daemon.ledger.view import Member, PartitionId, View, get_partition

LEASE_SECONDS = 3.0
"""Time after a confirmation of its view for which a member issues tokens, and for which
a new member of a group waits."""

CHECK_AGE_SECONDS = 1.2
"""Age of a confirmation at which the first member of the view reads it from the store."""

CHECK_STEP_SECONDS = 0.2
"""Further age for each further member, so that the first one's read serves the others."""

MAX_CHECK_STEPS = 5

IN_USE_SECONDS = 30.0
"""Time after the last request for tokens for which the view is read from the store."""

STEP_INTERVAL_SECONDS = 0.2
CONFIRM_WAIT_SECONDS = 0.12
"""Time for which a request waits for a read of the view. Frontends wait 0.2 s."""

logger = get_logger("quota")


@final
class IssuingLease:
    """Decides whether one member may issue the tokens of a partition."""

    def __init__(
        self,
        instance: InstanceId,
        disk: str,
        *,
        issuers: int,
        is_first_process: bool,
    ) -> None:
        """Creates the lease of a process that starts.

        Args:
            instance: The member.
            disk: Id of the contents of its disk.
            issuers: Maximum number of members that divide a quota.
            is_first_process: Whether no process with this disk had a view before.
        """
        self._instance = instance
        self._disk = disk
        self._issuers = issuers
        self._is_first_process = is_first_process
        self._answered_at: dict[InstanceId, float] = {}
        self._began: dict[PartitionId, float] = {}
        self._pending: frozenset[PartitionId] = frozenset()
        self._members_before = 0
        self._adopted_at = 0.0
        self.view: View | None = None
        self.confirmed_at: float | None = None

    def restore(self, view: View | None, in_force: View | None, now: float) -> None:
        """Adopts the view that a restarted process finds on its disk.

        Args:
            view: Last adopted view that is recorded on the disk.
            in_force: Last view under which the member issued tokens of all partitions.
            now: Current time.
        """
        if view is None:
            return
        if in_force is not None and in_force.epoch <= view.epoch:
            self.adopt(in_force, now, is_in_force=True)
        self.adopt(view, now)

    def adopt(self, view: View, now: float, *, is_in_force: bool = False) -> None:
        """Adopts a newer view, which must be recorded on the disk.

        Args:
            view: The view.
            now: Current time.
            is_in_force: Whether the member has issued tokens under it before.
        """
        before = self.view
        if before is not None and view.epoch <= before.epoch:
            return
        member = self._find_member(view)
        own = self._list_own(view) if member else frozenset()
        kept = self._list_kept(before, view, member)
        start = now if is_in_force else self._find_first_start(view, member, now)
        self._began = {
            partition: self._began[partition] if partition in kept else start
            for partition in own
        }
        self._members_before = self.count_members(now) if before is not None else 0
        self._adopted_at = now
        self._answered_at.clear()
        self.view = view
        self.confirmed_at = None

    def _find_first_start(self, view: View, member: Member | None, now: float) -> float:
        """Returns when a member begins to issue tokens of partitions that it gains."""
        if member is None or member.since > 1 or view.resizes:
            return now + LEASE_SECONDS
        # Nobody else has issued tokens before the members of the first view.
        is_fresh = self._is_first_process and view.epoch == 1
        return -math.inf if is_fresh else now

    def _find_member(self, view: View) -> Member | None:
        member = view.find(self._instance)
        return member if member is not None and member.disk == self._disk else None

    def _list_kept(
        self, before: View | None, view: View, member: Member | None
    ) -> frozenset[PartitionId]:
        """Returns the partitions that the member had in all views since an earlier one."""
        old = self._find_member(before) if before is not None else None
        if before is None or old is None or member is None or old.since != member.since:
            return frozenset()
        if view.resizes > before.resizes + 1:
            # The member may have lost a partition and regained it since.
            return frozenset()
        return self._list_own(view) & self._began.keys()

    def _list_own(self, view: View) -> frozenset[PartitionId]:
        return view.list_issued_partitions(self._instance, self._issuers)

    def confirm(self, epoch: Epoch, at: float) -> None:
        """Records that the view with an epoch was the newest one at a time."""
        if self.view is not None and epoch == self.view.epoch:
            self.confirmed_at = max(at, self.confirmed_at or at)

    def confirm_by_peer(self, state: MemberState, asked_at: float) -> None:
        """Records the response of another member to a request sent at a time.

        If all other members of the view respond with its epoch, no member of a newer
        view can have copied a partition from them before they were asked.
        """
        view = self.view
        if view is None or state.epoch != view.epoch:
            return
        if state.confirmed_age is not None:
            self.confirm(state.epoch, asked_at - state.confirmed_age)
        self._answered_at[state.instance] = asked_at
        others = [
            each.instance for each in view.slots if each.instance != self._instance
        ]
        if view.group_size > 1 and all(each in self._answered_at for each in others):
            self.confirm(view.epoch, min(self._answered_at[each] for each in others))

    def get_age(self, now: float) -> float | None:
        """Returns the seconds since the view is known to have been the newest."""
        return None if self.confirmed_at is None else max(0.0, now - self.confirmed_at)

    def observe(self, pending: frozenset[PartitionId], now: float) -> None:
        """Records which partitions the member has not copied yet.

        The wait of a partition begins once it is copied, since the members from which it
        was copied have adopted the view by then.
        """
        for partition in (self._pending | pending) & self._began.keys():
            self._began[partition] = now + LEASE_SECONDS
        self._pending = pending

    def find_start(self, partition: PartitionId, now: float) -> float | None:
        """Returns when the member began to issue the tokens of a partition.

        None means that it must not issue them now.
        """
        age = self.get_age(now)
        began = self._began.get(partition)
        if age is None or age >= LEASE_SECONDS:
            return None
        return began if began is not None and began <= now else None

    def is_in_force(self, now: float) -> bool:
        """Returns whether the member may issue the tokens of all its partitions."""
        return bool(self._began) and max(self._began.values()) <= now

    def count_members(self, now: float) -> int:
        """Returns the number of members among which a quota is divided.

        Members with the previous view may still issue for some time.
        """
        assert self.view is not None
        members = min(self.view.group_size, self._issuers)
        if now < self._adopted_at + LEASE_SECONDS:
            return max(self._members_before, members)
        return members

    def get_check_age(self) -> float:
        """Returns the age of a confirmation at which to read the view from the store."""
        assert self.view is not None
        position = next(
            (
                number
                for number, member in enumerate(self.view.slots)
                if member.instance == self._instance
            ),
            MAX_CHECK_STEPS,
        )
        return CHECK_AGE_SECONDS + CHECK_STEP_SECONDS * min(position, MAX_CHECK_STEPS)


@final
class QuotaIssuer:
    """Answers requests for tokens and maintains the member's issuing lease.

    Attributes:
        lease: Decides whether the member may issue tokens.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        log: EntryLog,
        tolerance: QuotaTolerance,
        get_pending: Callable[[], frozenset[PartitionId]],
    ) -> None:
        """Creates the issuer of a process that starts.

        Args:
            instance: The member.
            log: Log on the member's disk.
            tolerance: Bounds within which quotas are enforced.
            get_pending: Returns the partitions that the member has not copied yet.
        """
        self._log = log
        self._get_pending = get_pending
        self._buckets = QuotaBuckets(tolerance, GrantId(secrets.randbits(48)))
        self._check_view: Callable[[], Awaitable[None]] | None = None
        self._nursery: trio.Nursery | None = None
        self._checked = trio.Event()
        self._is_checking = False
        self._asked_at: float | None = None
        self._recorded = log.read_issuing_view()
        view = log.read_view()
        self.lease = IssuingLease(
            instance,
            log.disk,
            issuers=count_issuers(tolerance),
            is_first_process=view is None,
        )
        self.lease.restore(view, self._recorded, get_elapsed_time())

    def adopt(self, view: View) -> None:
        """Adopts a newer view that is recorded on the disk."""
        self.lease.adopt(view, get_elapsed_time())

    def get_confirmed_age(self, epoch: Epoch) -> float | None:
        """Returns the seconds since a view is known to have been the newest."""
        view = self.lease.view
        if view is None or view.epoch != epoch:
            return None
        return self.lease.get_age(get_elapsed_time())

    async def handle(self, request: AcquireQuota) -> QuotaGrants:
        """Issues tokens for the calls of a frontend."""
        now = get_elapsed_time()
        self._asked_at = now
        age = self.lease.get_age(now)
        if age is None or age >= LEASE_SECONDS:
            await self._wait_confirmed()
            now = get_elapsed_time()
        self.lease.observe(self._get_pending(), now)
        return QuotaGrants([self._handle_item(item, now) for item in request.items])

    def _handle_item(self, item: QuotaItem, now: float) -> QuotaGrant:
        began = self.lease.find_start(get_partition(item.account), now)
        if began is None:
            QUOTA_ITEMS.labels("not_issuing").inc()
            return QuotaGrant(item.account, retry_seconds=None)
        members = self.lease.count_members(now)
        grant = self._buckets.handle(item, members=members, began=began, now=now)
        QUOTA_ISSUED.inc(grant.tokens)
        QUOTA_ITEMS.labels("denied" if grant.tokens < item.wanted else "served").inc()
        return grant

    # Confirmation of the view

    async def run(self, check_view: Callable[[], Awaitable[None]]) -> None:
        """Keeps the view confirmed until cancelled, while tokens are asked for.

        Args:
            check_view: Reads the view from the store and confirms it.
        """
        self._check_view = check_view
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(STEP_INTERVAL_SECONDS)
                now = get_elapsed_time()
                self.lease.observe(self._get_pending(), now)
                self._buckets.forget_idle(now)
                if self._is_check_due(now):
                    self._start_check(nursery)
                await self._record_view(now)

    def _is_check_due(self, now: float) -> bool:
        if self._asked_at is None or now - self._asked_at > IN_USE_SECONDS:
            return False
        if self.lease.view is None:
            return False
        age = self.lease.get_age(now)
        return age is None or age > self.lease.get_check_age()

    def _start_check(self, nursery: trio.Nursery) -> None:
        """Reads the view once; all requests that wait for it share the read."""
        if not self._is_checking:
            self._is_checking = True
            nursery.start_soon(self._check)

    async def _check(self) -> None:
        assert self._check_view is not None
        try:
            await self._check_view()
        finally:
            self._is_checking = False
            self._checked.set()
            self._checked = trio.Event()

    async def _wait_confirmed(self) -> None:
        if self._nursery is None or self.lease.view is None:
            return
        self._start_check(self._nursery)
        with trio.move_on_after(CONFIRM_WAIT_SECONDS):
            await self._checked.wait()

    async def _record_view(self, now: float) -> None:
        """Records that the member issues under its view, for a restart."""
        view = self.lease.view
        if view is None or view is self._recorded or not self.lease.is_in_force(now):
            return
        try:
            await self._log.write_issuing_view(view)
            self._recorded = view
        except OSError as error:
            logger.warning(
                "recording the view failed; a restart issues no tokens for some time",
                extra={"reason": str(error)},
            )
