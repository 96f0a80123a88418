"""Copies partitions between members of the ledger."""

from collections.abc import Callable
from typing import final

import trio

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger.frames import PeerConnection, PeerUnreachable
from goldcrestvane_daemon.ledger.holdings import (
    CopyProgress,
    CopySource,
    list_copy_sources,
)
from goldcrestvane_daemon.ledger.messages import (
    EntriesMerged,
    EntryPage,
    PullEntries,
    PushEntries,
    StaleView,
)
from goldcrestvane_daemon.ledger.service import LedgerService
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.turn_reader import TurnReader, TurnUnreadable
from goldcrestvane_daemon.ledger.view import Member, PartitionId, View

CONNECT_TIMEOUT_SECONDS = 0.5
COPY_TIMEOUT_SECONDS = 3.0

logger = get_logger("membership")


@final
class PartitionCopier:
    """Copies the partitions of one member from and to other members."""

    def __init__(
        self,
        instance: InstanceId,
        service: LedgerService,
        state: LedgerState,
        get_peer: Callable[[str], PeerConnection],
    ) -> None:
        self._instance = instance
        self._service = service
        self._reader = TurnReader(state)
        self._get_peer = get_peer

    async def copy_pending(self, view: View) -> None:
        """Copies the partitions that this member must have, then votes for them.

        Partitions that too few sources have complete stay pending.
        """
        holdings = self._service.holdings
        progress = CopyProgress(view, holdings.pending)
        for source in list_copy_sources(view, holdings.synced, self._instance):
            wanted = progress.list_wanted(source)
            try:
                progress.record(source, await self._copy_from(view, source, wanted))
            except PeerUnreachable as error:
                logger.warning(
                    "copying entries from a member failed",
                    extra={"member": source.instance, "reason": str(error)},
                )
        if self._service.view is not view:
            return
        copied = progress.list_copied()
        holdings.mark_copied(copied)
        logger.info(
            "copied partitions",
            extra={
                "epoch": view.epoch,
                "copied": len(copied),
                "pending": len(holdings.pending),
            },
        )

    async def _copy_from(
        self, view: View, source: CopySource, wanted: list[PartitionId]
    ) -> list[PartitionId]:
        """Copies partitions from a process; returns those that it has complete.

        Raises:
            PeerUnreachable: The process did not respond as expected.
        """
        complete: list[PartitionId] = []
        resume_after: str | None = None
        peer = self._get_peer(source.address)
        if wanted:
            with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
                await peer.connected.wait()
        while wanted:
            page = await peer.call(
                PullEntries(view, wanted, resume_after), timeout=COPY_TIMEOUT_SECONDS
            )
            if isinstance(page, StaleView):
                await self._service.adopt_durably(page.view)
            if not isinstance(page, EntryPage) or not (
                page.covered or page.resume_after
            ):
                raise PeerUnreachable(
                    f"{source.instance} sent an unusable page: {page!r:.80}."
                )
            await self._store(page)
            complete += page.complete
            wanted = wanted[len(page.covered) :]
            resume_after = page.resume_after
        return complete

    async def _store(self, page: EntryPage) -> None:
        refusal = await self._service.store(page.entries) if page.entries else None
        if refusal is not None:
            raise PeerUnreachable(
                f"The copied entries could not be stored: {refusal.reason}"
            )

    async def push_entries(self, view: View, member: Member) -> None:
        """Copies this process's entries of a member's partitions to the member.

        Raises:
            PeerUnreachable: The member did not respond or did not store the entries, or
                this process could not read them.
        """
        partitions = sorted(view.list_partitions(member.instance))
        resume_after: str | None = None
        peer = self._get_peer(member.address)
        while partitions:
            try:
                page = await self._reader.read_page(partitions, resume_after)
            except TurnUnreadable as error:
                raise PeerUnreachable(str(error)) from error
            response = await peer.call(
                PushEntries(view, page.entries), timeout=COPY_TIMEOUT_SECONDS
            )
            if not isinstance(response, EntriesMerged):
                raise PeerUnreachable(f"{member.instance} did not store the entries.")
            partitions = partitions[len(page.covered) :]
            resume_after = page.resume_after
