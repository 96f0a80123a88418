"""Handles the requests of frontends and of other members."""

import functools
import math
import random
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import Any, final

import trio

from goldcrestvane_common.ids import CallId, Epoch, InstanceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger.holdings import Holdings
from goldcrestvane_daemon.ledger.log import DiskFailed, EntryLog, StorageFull
from goldcrestvane_daemon.ledger.messages import (
    AcquirePermit,
    AcquireQuota,
    Announce,
    EntriesMerged,
    Entry,
    EntryPage,
    ExchangeObservations,
    ExtendOutput,
    Failed,
    ForwardResult,
    ForwardWrite,
    Frontend,
    Frontends,
    GetMemberState,
    MemberState,
    ObservationsShared,
    OutputExtended,
    OutputFound,
    Permit,
    PullEntries,
    PushEntries,
    ReadChain,
    ReadOutput,
    RenewTurns,
    ReportLimit,
    Response,
    StaleView,
    Turn,
    TurnChain,
    TurnsRenewed,
    ViewStamp,
    Write,
    Written,
)
from goldcrestvane_daemon.ledger.observations import ObservationAggregator
from goldcrestvane_daemon.ledger.quorum import call_until_quorum
from goldcrestvane_daemon.ledger.quotas import QuotaIssuer
from goldcrestvane_daemon.ledger.rate_limits import STANDBY_SHARE, PermitIssuer
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.stream_outputs import StreamOutputs
from goldcrestvane_daemon.ledger.turn_reader import (
    MAX_INLINE_CHAIN_BYTES,
    TurnReader,
    TurnUnreadable,
)
from goldcrestvane_daemon.ledger.view import PartitionId, View, get_partition
from goldcrestvane_daemon.tasks import Task, run_supervised

EXPIRY_INTERVAL_SECONDS = 1.0
FRONTEND_TTL_SECONDS = 8.0
"""Time after its last announcement at which a frontend is dropped from the list."""

MAX_FRONTENDS = 16
"""Limit on the frontends in a response; a frontend connects to only a few."""


START_BITS = 48
"""Length of the random id of a start of this member."""

logger = get_logger("ledger")

CallMember = Callable[[str, Write], Awaitable[Any]]


@final
class LedgerService:
    """One member: its state, its log, and the view that it has adopted.

    Attributes:
        view: Newest known view; None before the first.
        holdings: Partitions for which the member votes.
        unreachable: Members that this member cannot reach.
        quotas: Issues tokens of accounts' quotas, if enabled.
    """

    def __init__(self, instance: InstanceId, log: EntryLog, state: LedgerState) -> None:
        self._instance = instance
        self._log = log
        self._state = state
        self._reader = TurnReader(state)
        self._outputs = StreamOutputs(state.limits.output_bytes)
        self._frontends: dict[Frontend, float] = {}
        self._permits = PermitIssuer()
        self._observations = ObservationAggregator(random.getrandbits(START_BITS))
        self._call_member: CallMember | None = None
        self._nursery: trio.Nursery | None = None
        self._recorded_epoch = Epoch(0)
        self._recording: trio.Event | None = None
        self.view: View | None = None
        self.holdings = Holdings(instance, log.disk, log.read_synced_view())
        self.unreachable: list[InstanceId] = []
        self.quotas: QuotaIssuer | None = None

    @property
    def votes(self) -> bool:
        """Whether the member votes for all its partitions."""
        return self.holdings.is_complete

    def enable_forwarding(self, call_member: CallMember, nursery: trio.Nursery) -> None:
        """Enables this member to forward writes to other members.

        Args:
            call_member: Sends a write to the member at an address.
            nursery: Runs the forwarded writes, also those that outlast their request.
        """
        self._call_member = call_member
        self._nursery = nursery

    def adopt(self, view: View) -> bool:
        """Adopts a newer view, so that writers with an older one are rejected."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return False
        logger.info(
            "adopted a view",
            extra={
                "epoch": view.epoch,
                "before": self.view.epoch if self.view else None,
                "members": [member.instance for member in view.slots],
            },
        )
        self.view = view
        self.holdings.adopt(view)
        return True

    async def adopt_durably(self, view: View) -> None:
        """Adopts a newer view and records it on the disk before anyone relies on it.

        Returns only once the newest view is on the disk, also if another task writes it.

        Raises:
            OSError: Writing to the disk failed. The next call tries again.
        """
        self.adopt(view)
        while self.view is not None and self.view.epoch > self._recorded_epoch:
            if self._recording is not None:
                await self._recording.wait()
                continue
            await self._record_view(self.view)

    async def _record_view(self, view: View) -> None:
        recording = self._recording = trio.Event()
        try:
            await self._log.write_view(view)
        finally:
            self._recording = None
            recording.set()
        self._recorded_epoch = view.epoch
        if self.quotas is not None:
            self.quotas.adopt(view)

    async def run_expiry(self) -> None:
        """Drops expired entries until cancelled."""
        await run_supervised(Task.EXPIRY, self._run_expiry)

    async def _run_expiry(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL_SECONDS)
            self._outputs.drop_expired()
            dropped = self._state.drop_expired()
            if dropped:
                logger.debug("dropped expired entries", extra={"count": dropped})

    @singledispatchmethod
    async def handle(self, request: object) -> Response:
        """Handles one request."""
        return Failed(f"got {type(request).__name__}, expected a ledger request")

    @handle.register
    async def _(self, request: Write) -> Response:
        if self._is_stale(request.stamp):
            return StaleView(self.view)
        entry = request.entry
        refusal = await self.store([entry])
        if refusal is not None:
            return refusal
        if self._is_stale(request.stamp):
            # A new member may have copied the entries of this one during the write.
            return StaleView(self.view)
        if entry.turn is not None:
            self._outputs.drop(entry.turn.call)
        account = entry.account
        chain_bytes = self._reader.measure_chain(request.return_chain_of)
        is_small = chain_bytes <= MAX_INLINE_CHAIN_BYTES
        wanted = request.return_chain_of if is_small else None
        return Written(
            votes=self._votes_for(request.stamp, entry.list_partitions()),
            account=self._state.get_account(account.program) if account else None,
            chain=await self._read_chain_if_readable(wanted),
            accepts_turns=self._state.accepts_turns,
            chain_bytes=chain_bytes,
        )

    @handle.register
    async def _(self, request: ForwardWrite) -> Response:
        if self._call_member is None or self._nursery is None:
            return Failed("this member cannot forward writes yet")
        calls = [
            functools.partial(self.handle, request.write),
            *(
                functools.partial(self._call_member, address, request.write)
                for address in request.others
            ),
        ]
        responses = await call_until_quorum(
            calls,
            lambda response: isinstance(response, Written) and response.votes,
            quorum=request.quorum,
            nursery=self._nursery,
        )
        return ForwardResult(
            [
                response
                for response in responses
                if isinstance(response, Written | StaleView)
            ]
        )

    @handle.register
    async def _(self, request: RenewTurns) -> Response:
        if self._is_stale(request.stamp):
            return StaleView(self.view)
        try:
            await self._log.renew(request.calls, request.retention_seconds)
        except (DiskFailed, StorageFull) as error:
            return Failed(str(error))
        if self._is_stale(request.stamp):
            # A new member may have copied the turns of this one during the write.
            return StaleView(self.view)
        # Pending partitions are being copied from other members, with fresh retentions.
        held = [
            call
            for call in request.calls
            if self._votes_for(request.stamp, [get_partition(call)])
        ]
        return TurnsRenewed(
            renewed=[call for call in held if self._state.has_turn(call)],
            missing=[call for call in held if not self._state.has_turn(call)],
        )

    @handle.register
    async def _(self, request: ReadChain) -> Response:
        if self._is_stale(request.stamp):
            return StaleView(self.view)
        votes = self._votes_for(request.stamp, [get_partition(request.call)])
        chain_bytes = self._reader.measure_chain(request.call)
        room = math.inf if request.room_bytes is None else request.room_bytes
        try:
            turns = await self._reader.read_chain(request.call, room=room)
        except TurnUnreadable as error:
            return Failed(str(error))
        return TurnChain(votes, turns, chain_bytes)

    @handle.register
    async def _(self, request: ExtendOutput) -> Response:
        size = self._outputs.extend(
            request.call, request.start, request.data, request.marks
        )
        return OutputExtended(size)

    @handle.register
    async def _(self, request: ReadOutput) -> Response:
        return OutputFound(self._outputs.cut(request.call, request.event))

    @handle.register
    async def _(self, request: PullEntries) -> Response:
        try:
            await self.adopt_durably(request.view)
        except OSError as error:
            return _build_view_failure(error)
        assert self.view is not None
        if request.view.epoch < self.view.epoch:
            return StaleView(self.view)
        try:
            page = await self._reader.read_page(
                request.partitions, request.resume_after
            )
        except TurnUnreadable as error:
            return Failed(str(error))
        complete = [
            each
            for each in page.covered
            if self.holdings.held(each) and not self._state.is_damaged(each)
        ]
        return EntryPage(page.entries, page.covered, complete, page.resume_after)

    @handle.register
    async def _(self, request: PushEntries) -> Response:
        try:
            await self.adopt_durably(request.view)
        except OSError as error:
            return _build_view_failure(error)
        return await self.store(request.entries) or EntriesMerged()

    @handle.register
    async def _(self, request: Announce) -> Response:
        now = trio.current_time()
        self._frontends.pop(request.frontend, None)
        self._frontends[request.frontend] = now
        for frontend, seen in list(self._frontends.items()):
            if seen < now - FRONTEND_TTL_SECONDS:
                del self._frontends[frontend]
        is_newer = self.view is not None and self.view.epoch > request.epoch
        return Frontends(
            list(self._frontends)[-MAX_FRONTENDS:],
            self.view if is_newer else None,
            self._permits.list_limits(now),
        )

    @handle.register
    async def _(self, request: AcquirePermit) -> Response:
        if self.view is None:
            return Failed("this member has no view yet")
        first = self.view.rank_permit_issuers(request.limit.target)[0]
        share = 1.0 if first.instance == self._instance else STANDBY_SHARE
        return self._permits.issue(request, share=share, now=trio.current_time())

    @handle.register
    async def _(self, request: ReportLimit) -> Response:
        self._permits.record(request.limit, now=trio.current_time())
        return Permit(request.limit)

    @handle.register
    async def _(self, request: ExchangeObservations) -> Response:
        page = self._observations.exchange(
            request.service,
            request.observations,
            frontend=request.frontend,
            start=request.start,
            since=request.sequence,
            now=trio.current_time(),
        )
        return ObservationsShared(
            page.observations,
            page.interval_seconds,
            self._observations.start,
            page.sequence,
        )

    @handle.register
    async def _(self, request: AcquireQuota) -> Response:
        if self.quotas is None:
            return Failed("this member does not issue tokens of quotas")
        return await self.quotas.handle(request)

    @handle.register
    async def _(self, request: GetMemberState) -> Response:
        epoch = self.view.epoch if self.view else Epoch(0)
        return MemberState(
            self._instance,
            epoch,
            self.holdings.is_recorded,
            self.unreachable,
            self.quotas.get_confirmed_age(epoch) if self.quotas else None,
        )

    def _is_stale(self, stamp: ViewStamp) -> bool:
        """Returns whether this member has a newer view than the sender."""
        return self.view is not None and stamp.epoch < self.view.epoch

    def _votes_for(self, stamp: ViewStamp, partitions: list[PartitionId]) -> bool:
        """Returns whether this member counts towards a quorum of the sender's view."""
        if self.view is None or stamp.resizes > self.view.resizes + 1:
            # This member may have left the group and joined it again since its view.
            return False
        return all(self.holdings.holds(partition) for partition in partitions)

    def has_turn(self, call: CallId) -> bool:
        """Returns whether this member has a turn."""
        return self._state.turns.get(call) is not None

    async def _read_chain_if_readable(self, call: CallId | None) -> list[Turn]:
        try:
            return await self._reader.read_chain(call)
        except TurnUnreadable as error:
            logger.warning("returning no chain", extra={"reason": str(error)})
            return []

    async def store(self, entries: list[Entry]) -> Failed | None:
        """Writes entries to the disk and merges them; returns a refusal if it failed."""
        try:
            await self._log.append(entries)
        except (DiskFailed, StorageFull) as error:
            return Failed(str(error))
        return None


def _build_view_failure(error: OSError) -> Failed:
    logger.error("recording a view failed", extra={"reason": str(error)})
    return Failed(
        f"Recording the view on the disk failed: {error}. Free space on it, or replace it "
        "if it has space."
    )
