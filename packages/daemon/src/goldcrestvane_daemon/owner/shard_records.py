"""Records of one shard: appending, committing and copying to witnesses."""

from typing import Protocol

import trio

from goldcrestvane_common.errors import Unavailable
from goldcrestvane_common.ids import ShardId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.owner import records
from goldcrestvane_daemon.owner.journal import Journal, JournalFull, OwnershipLost
from goldcrestvane_daemon.owner.refusals import build_wrong_owner
from goldcrestvane_daemon.owner.state import ShardState, apply_record

OUTAGE_RETRY_AFTER_SECONDS = 2.0
COMMIT_WAIT_SECONDS = 0.5
PERSIST_TIMEOUT_SECONDS = 2.0
"""How long a record waits until the journal or a witness holds it.

The value equals `OUTAGE_RETRY_AFTER_SECONDS`.
"""

logger = get_logger("shard")


class Witness(Protocol):
    """Holds queued records while the platform is unavailable."""

    async def replicate(self, journal: Journal) -> int:
        """Copies queued records to peers and returns how many hold all of them."""
        ...

    async def collect(self, journal: Journal) -> list[records.Record]:
        """Returns the queued records of a former owner that the journal lacks."""
        ...


class ShardRecords:
    """The journal of a shard and the state that results from its records.

    Attributes:
        shard: Number of the shard.
        journal: Journal of the shard.
        state: State of the shard, including records that are not durable yet.
    """

    def __init__(
        self, shard: ShardId, journal: Journal, witness: Witness | None
    ) -> None:
        self._witness = witness
        self.shard = shard
        self.journal = journal
        self.state = ShardState()

    def append(self, *new_records: records.Record) -> trio.Event:
        """Applies records and queues them for the next commit.

        Raises:
            WrongOwner: The shard has another owner.
            Unavailable: Too many records are waiting for the platform.
        """
        try:
            durable = self.journal.append(new_records)
        except OwnershipLost as error:
            raise build_wrong_owner(self.shard) from error
        except JournalFull as error:
            raise Unavailable(
                f"The platform is unavailable and the journal is full: {error} "
                "Send the request again once the platform is available.",
                retry_after=OUTAGE_RETRY_AFTER_SECONDS,
            ) from error
        for record in new_records:
            apply_record(record, self.state)
        return durable

    async def commit(
        self, *new_records: records.Record, timeout_seconds: float = COMMIT_WAIT_SECONDS
    ) -> bool:
        """Appends records and waits until they are durable or the timeout passes.

        Returns:
            Whether the records are durable. If not, they remain queued.

        Raises:
            WrongOwner: The shard has another owner.
        """
        durable = self.append(*new_records)
        return await self.wait_durable(durable, timeout_seconds=timeout_seconds)

    async def commit_or_replicate(self, *new_records: records.Record) -> bool:
        """Commits records, or copies them to witnesses if the platform is unavailable.

        Records that are already queued are included, even if no new ones are passed.

        Returns:
            Whether the records survive the loss of this owner. If not, they remain
            queued.

        Raises:
            WrongOwner: The shard has another owner.
        """
        durable = self.append(*new_records)
        timeout_seconds = 0.0 if self.journal.store_unavailable else COMMIT_WAIT_SECONDS
        deadline = trio.current_time() + PERSIST_TIMEOUT_SECONDS
        while not await self.wait_durable(durable, timeout_seconds=timeout_seconds):
            if self._witness is not None and await self._witness.replicate(
                self.journal
            ):
                if self.journal.ownership_lost.is_set():
                    raise build_wrong_owner(self.shard)
                return True
            if trio.current_time() >= deadline:
                logger.warning(
                    "neither the journal nor a witness has stored records of shard %s",
                    self.shard,
                )
                return False
            timeout_seconds = COMMIT_WAIT_SECONDS
        return True

    async def persist(self, *new_records: records.Record) -> None:
        """Commits records or copies them to witnesses.

        Raises:
            Unavailable: The records would be lost with this owner.
            WrongOwner: The shard has another owner.
        """
        if not await self.commit_or_replicate(*new_records):
            raise Unavailable(
                "Neither the platform nor a witness responds, so the change could be "
                "lost. Send the request again later.",
                retry_after=OUTAGE_RETRY_AFTER_SECONDS,
            )

    async def wait_durable(
        self, durable: trio.Event, *, timeout_seconds: float
    ) -> bool:
        """Waits until appended records are durable or the timeout passes.

        Returns:
            Whether the records are durable.

        Raises:
            WrongOwner: The shard has another owner. The records may be lost.
        """
        try:
            with trio.move_on_after(timeout_seconds):
                await self.journal.wait(durable)
        except OwnershipLost as error:
            raise build_wrong_owner(self.shard) from error
        return durable.is_set()

    async def persist_queued(self) -> None:
        """Commits queued records or copies them to witnesses, if there are any.

        This must happen before a repeated request is acknowledged, because the records
        of the first request may still be queued.

        Raises:
            Unavailable: The records would be lost with this owner.
            WrongOwner: The shard has another owner.
        """
        if self.journal.queued_count:
            await self.persist()
