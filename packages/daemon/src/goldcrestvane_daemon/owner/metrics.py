"""Metrics of an owner: its shards, programs, journals and ended calls."""

from collections.abc import Callable
from typing import final

from prometheus_client import CollectorRegistry, Counter, Gauge

from goldcrestvane_common.errors import ServiceError
from goldcrestvane_common.ids import ServiceId, ShardId
from goldcrestvane_daemon.owner.shard import OwnedShard

ANSWERED = "answered"


@final
class OwnerMetrics:
    """Counts ended calls and exports the state of the owned shards."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._calls = Counter(
            "goldcrestvane_owner_calls",
            "Calls that ended at this owner, by service and outcome.",
            ("service", "outcome"),
            registry=registry,
        )

    def count_answer(self, service: ServiceId) -> None:
        """Counts a call that ended with an answer."""
        self._calls.labels(service, ANSWERED).inc()

    def count_error(self, service: ServiceId, error: ServiceError) -> None:
        """Counts a call that ended with an error."""
        self._calls.labels(service, error.call_outcome.value).inc()

    def register_shard_gauges(self, shards: dict[ShardId, OwnedShard]) -> None:
        """Registers gauges that read the state of the owned shards on collection."""
        self._add_gauge(
            "goldcrestvane_owned_shards", "Shards owned.", lambda: len(shards)
        )
        self._add_gauge(
            "goldcrestvane_open_programs",
            "Programs under way in the owned shards.",
            lambda: sum(shard.state.count_open() for shard in shards.values()),
        )
        self._add_gauge(
            "goldcrestvane_journals_down",
            "Owned shards whose latest write could not reach the platform.",
            lambda: sum(shard.journal.store_unavailable for shard in shards.values()),
        )
        self._add_gauge(
            "goldcrestvane_journal_queued_records",
            "Records that wait to become durable.",
            lambda: sum(shard.journal.queued_count for shard in shards.values()),
        )

    def _add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        Gauge(name, description, registry=self._registry).set_function(read)
