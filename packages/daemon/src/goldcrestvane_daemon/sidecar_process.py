"""The process of a sidecar, which guards its target and owns shards."""

from typing import final

import trio
from prometheus_client import CollectorRegistry

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
from goldcrestvane_common.settings import ServiceKind
from goldcrestvane_daemon.gate import Gate, GateOptions, register_gate_metrics
from goldcrestvane_daemon.observability import add_health_and_metrics_routes
from goldcrestvane_daemon.owner.allotments import AllotmentManager
from goldcrestvane_daemon.owner.call_start import CallStarter
from goldcrestvane_daemon.owner.manager import ShardManager
from goldcrestvane_daemon.owner.metrics import OwnerMetrics
from goldcrestvane_daemon.owner.recovery import CallRecovery
from goldcrestvane_daemon.owner.runner import CallRunner
from goldcrestvane_daemon.owner.service import OwnerService
from goldcrestvane_daemon.owner.session_release import SessionReleaser
from goldcrestvane_daemon.owner.suspects import SuspectGuard
from goldcrestvane_daemon.owner.target_connector import TargetConnector
from goldcrestvane_daemon.owner.witness import WitnessStore
from goldcrestvane_daemon.pause_detector import PauseDetector
from goldcrestvane_daemon.placement import Placement
from goldcrestvane_daemon.quarantine import Quarantine
from goldcrestvane_daemon.shard_directory import ShardDirectory
from goldcrestvane_daemon.shared_components import SharedComponents
from goldcrestvane_daemon.target.dispatcher import Dispatcher, TargetClient
from goldcrestvane_daemon.target.engine import EngineClient
from goldcrestvane_daemon.target.session_collector import SessionCollector
from goldcrestvane_daemon.target.tool import ToolClient
from goldcrestvane_daemon.target_selector import TargetSelector

CLIENT_TYPES = {ServiceKind.MODEL: EngineClient, ServiceKind.TOOL: ToolClient}


@final
class SidecarProcess:
    """Builds and runs the components of a sidecar."""

    def __init__(self, components: SharedComponents, application: Application) -> None:
        settings = components.settings
        membership = components.membership
        self._components = components
        self._application = application
        self._shards = ShardDirectory(components.feed, shard_count=settings.shard_count)
        self._gate = Gate(GateOptions(slots=settings.target_slots))
        assert settings.target_kind is not None
        client_type = CLIENT_TYPES[settings.target_kind]
        self._pause_detector = PauseDetector()
        self._quarantine = Quarantine(
            objects=components.objects,
            feed=components.feed,
            membership=membership,
            transport=components.transport,
        )
        client = client_type(components.transport, settings.target_address)
        self._dispatcher = Dispatcher(
            instance=settings.instance,
            incarnation=membership.incarnation,
            service=settings.service,
            gate=self._gate,
            client=client,
            quarantine=self._quarantine,
            pause_detector=self._pause_detector,
        )
        self._client = client
        self._session_collector = self._build_session_collector(client)
        connector = self._connector = TargetConnector(
            components.transport,
            local_instance=settings.instance,
            local=self._dispatcher,
        )
        self._manager = ShardManager(
            objects=components.objects,
            transport=components.transport,
            membership=membership,
            recovery=CallRecovery(connector=connector, directory=membership),
            get_map=self._shards.get_map,
            shard_count=settings.shard_count,
            rng=components.rng,
        )
        placement = Placement(
            domain=settings.domain, seed=components.rng.randrange(2**32)
        )
        self._registry = CollectorRegistry()
        owner_metrics = OwnerMetrics(self._registry)
        selector = TargetSelector(directory=membership, placement=placement)
        runner = CallRunner(
            connector=connector,
            directory=membership,
            selector=selector,
            starter=CallStarter(AllotmentManager(components.objects)),
            suspects=SuspectGuard(self._quarantine),
            metrics=owner_metrics,
        )
        self._service = OwnerService(
            manager=self._manager,
            runner=runner,
            get_team=components.feed.get_team,
            owner=settings.instance,
        )
        self._session_releaser = SessionReleaser(
            connector=connector,
            directory=membership,
            list_shards=self._manager.owned.values,
            forget_program=selector.forget_program,
        )
        register_gate_metrics(self._gate, self._registry)
        owner_metrics.register_shard_gauges(self._manager.owned)

    def _build_session_collector(self, client: TargetClient) -> SessionCollector | None:
        """Returns the collector of an engine's sessions, or None for a tool."""
        if not isinstance(client, EngineClient):
            return None
        return SessionCollector(
            engine=client,
            gate=self._gate,
            transport=self._components.transport,
            get_map=self._shards.get_map,
            shard_count=self._components.settings.shard_count,
        )

    def _is_ready(self) -> bool:
        live = self._components.membership.local_instance.state is InstanceState.LIVE
        return live and self._components.feed.ready.is_set()

    def add_routes(self, router: Router) -> None:
        """Adds the routes of the target, the owner, the metrics and the status."""
        self._dispatcher.add_routes(router)
        self._service.add_routes(router)
        self._manager.add_routes(router)
        WitnessStore().add_routes(router)
        self._quarantine.add_routes(router)
        if self._session_collector is not None:
            self._session_collector.add_routes(router)
        add_health_and_metrics_routes(
            router, registry=self._registry, is_ready=self._is_ready
        )
        router.add("GET", STATUS_PATH, self._serve_status)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the components until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._dispatcher.run)
            await nursery.start(self._service.run)
            nursery.start_soon(self._run_manager)
            nursery.start_soon(self._wake_manager)
            nursery.start_soon(self._session_releaser.run)
            nursery.start_soon(self._pause_detector.run)
            nursery.start_soon(self._connector.run)
            if self._session_collector is not None:
                nursery.start_soon(self._session_collector.run)
            if isinstance(self._client, EngineClient):
                nursery.start_soon(self._client.poll_load)
            task_status.started()

    async def _run_manager(self) -> None:
        await self._components.feed.ready.wait()
        await self._manager.run()

    async def _wake_manager(self) -> None:
        change_count = 0
        while True:
            change_count = await self._components.feed.wait_for_change(change_count)
            self._manager.wake()

    def stop_accepting_calls(self) -> None:
        """Closes the gate of the target to new calls."""
        self._gate.close()

    async def hand_over(self) -> None:
        """Hands over the owned shards to other sidecars."""
        await self._manager.hand_over_all()

    def count_in_flight(self) -> int:
        """Returns the number of calls in flight, as target and as owner."""
        return self._dispatcher.unfinished_calls + self._service.running

    async def _serve_status(self, request: Request) -> Response:
        owned = self._manager.owned
        status = ProcessStatus(
            instance=self._components.membership.local_instance,
            shards=sorted(owned),
            open_programs=sum(shard.state.count_open() for shard in owned.values()),
            load=self._dispatcher.read_load(),
            settings_versions=self._components.feed.get_team_versions(),
            in_flight=self._application.in_flight - 1,
        )
        return JsonResponse(value=status)
