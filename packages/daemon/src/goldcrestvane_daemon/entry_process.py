"""The process of an entry, which serves callers and holds no durable state."""

from pathlib import Path
from typing import final

import trio

from goldcrestvane_common.messages import (
    InstanceState,
    ProcessStatus,
)
from goldcrestvane_common.paths import (
    STATUS_PATH,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_common.server import (
    Application,
)
from goldcrestvane_daemon.entry import EntryService, TraceOptions
from goldcrestvane_daemon.observability import (
    RequestMetrics,
    add_health_and_metrics_routes,
)
from goldcrestvane_daemon.shard_directory import ShardDirectory
from goldcrestvane_daemon.shared_components import SharedComponents

READINESS_NOTICE_SECONDS = 2.0


@final
class EntryProcess:
    """Builds and runs the components of an entry."""

    def __init__(self, components: SharedComponents, application: Application) -> None:
        self._components = components
        self._application = application
        self._metrics = RequestMetrics()
        self._shards = ShardDirectory(
            components.feed, shard_count=components.settings.shard_count
        )
        self._service = EntryService(
            transport=components.transport,
            teams=components.feed,
            owners=self._shards,
            metrics=self._metrics,
            rng=components.rng,
            trace=_build_trace_options(components.settings.trace_file),
        )
        self._metrics.register_in_flight_gauge(lambda: application.in_flight)

    def add_routes(self, router: Router) -> None:
        """Adds the routes for callers, probes, metrics and the status."""
        self._service.add_routes(router)
        add_health_and_metrics_routes(
            router, registry=self._metrics.registry, is_ready=self._is_ready
        )
        router.add("GET", STATUS_PATH, self._serve_status)

    def _is_ready(self) -> bool:
        live = self._components.membership.local_instance.state is InstanceState.LIVE
        shards = self._shards.get_map().shards
        all_owned = len(shards) == self._shards.shard_count and None not in shards
        return live and all_owned and self._components.feed.ready.is_set()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the components until cancelled."""
        task_status.started()
        await self._service.run()

    def stop_accepting_calls(self) -> None:
        """Does nothing: readiness depends on the state, and late requests are served."""

    async def hand_over(self) -> None:
        """Continues to serve until the load balancer sees that the entry is not ready."""
        await trio.sleep(READINESS_NOTICE_SECONDS)

    def count_in_flight(self) -> int:
        """Returns 0, so that the drain does not wait for requests in flight.

        The server finishes them when it closes. A caller that never checks the
        readiness keeps sending requests and must not delay the shutdown.
        """
        return 0

    async def _serve_status(self, request: Request) -> Response:
        status = ProcessStatus(
            instance=self._components.membership.local_instance,
            settings_versions=self._components.feed.get_team_versions(),
            in_flight=self._application.in_flight - 1,
        )
        return JsonResponse(value=status)


def _build_trace_options(path: str | None) -> TraceOptions | None:
    return TraceOptions(path=Path(path)) if path else None
