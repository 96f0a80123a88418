"""The frontend role: creates its components and runs them."""

import random
import socket
from typing import final

import h11
import trio

from goldcrestvane_common.ids import hash_text
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.accounts.authentication import build_key_bounds
from goldcrestvane_daemon.accounts.quota_buckets import count_issuers
from goldcrestvane_daemon.clock import get_elapsed_time
from goldcrestvane_daemon.frontend.account_gate import AccountGate
from goldcrestvane_daemon.frontend.calls import CallService
from goldcrestvane_daemon.frontend.clients import ClientServer
from goldcrestvane_daemon.frontend.copy_bounds import CopyBounds
from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker
from goldcrestvane_daemon.frontend.graceful_shutdown import GracefulShutdown
from goldcrestvane_daemon.frontend.ledger_announcer import LedgerAnnouncer
from goldcrestvane_daemon.frontend.ledger_client import LedgerClient
from goldcrestvane_daemon.frontend.memory_budget import build_memory_budgets
from goldcrestvane_daemon.frontend.metrics import CHAIN_BYTES
from goldcrestvane_daemon.frontend.object_cache import ObjectCache
from goldcrestvane_daemon.frontend.observation_exchange import ObservationExchange
from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.frontend.permit_issuers import PermitIssuers
from goldcrestvane_daemon.frontend.quota_client import LedgerQuotaSource
from goldcrestvane_daemon.frontend.readiness import Readiness
from goldcrestvane_daemon.frontend.target_observations import TableObservations
from goldcrestvane_daemon.http1 import (
    ConnectionLost,
    ProtocolViolation,
    ServerConnection,
)
from goldcrestvane_daemon.ledger.messages import Frontend
from goldcrestvane_daemon.listening import (
    has_pending_connection,
    measure_start,
    open_listener,
)
from goldcrestvane_daemon.metrics_server import serve_metrics
from goldcrestvane_daemon.platform.machine import MachineSettings
from goldcrestvane_daemon.platform.store import StoreClient
from goldcrestvane_daemon.settings import InvalidSettings
from goldcrestvane_daemon.shutdown_signals import handle_signals
from goldcrestvane_daemon.startup_signals import is_shutdown_pending
from goldcrestvane_daemon.targets import Target, TargetTable
from goldcrestvane_daemon.tasks import Task, has_failing_task, run_supervised

READY_HEAD_BYTES = 8192
READY_IDLE_SECONDS = 30.0

logger = get_logger("frontend")


@final
class FrontendProcess:
    """Runs one frontend until a shutdown signal."""

    def __init__(
        self, settings: MachineSettings, listener: socket.socket | None
    ) -> None:
        """Creates the process.

        Args:
            settings: Settings of the machine.
            listener: Socket that listens on the address for clients.
        """
        self._settings = settings
        self._listener = listener

    async def run(self) -> None:
        """Runs until SIGTERM, and then until the running calls have ended."""
        settings = self._settings
        if self._listener is None or settings.ready_address is None:
            raise InvalidSettings(
                "A frontend needs addresses for clients and for readiness; "
                "run it on a machine that serves clients."
            )
        shutdown = GracefulShutdown(settings.grace_seconds)
        targets = TargetTable(get_elapsed_time)
        async with Transport() as transport, trio.open_nursery() as nursery:
            address = settings.frontend_peer_address or settings.peer_address
            local_frontend = Frontend(address, settings.domain)
            crash_tracker = CrashTracker()
            frontends = FrontendPeers(local_frontend.address, crash_tracker, nursery)
            frontends.connect_seeds(settings.frontend_seeds)
            ledger = LedgerClient(local_frontend, frontends, nursery)
            memory = build_memory_budgets(settings.memory_mb)
            CHAIN_BYTES.set_function(lambda: memory.chains.used)
            key_bounds = build_key_bounds(settings.revocation_seconds)

            def handle_targets_changed(removed: Target | None) -> None:
                # The cache changes only after the calls below exist.
                calls.handle_targets_changed(removed)

            object_cache = ObjectCache(
                store=StoreClient(transport, settings.store_address),
                targets=targets,
                ledger=ledger,
                frontends=frontends,
                bounds=CopyBounds(
                    propagation_seconds=settings.propagation_seconds,
                    drain_seconds=settings.drain_seconds,
                    stable_seconds=settings.stable_seconds,
                    heartbeat_seconds=settings.heartbeat_seconds,
                ),
                key_bounds=key_bounds,
                rng=random.Random(hash_text(settings.instance)),
                on_change=handle_targets_changed,
            )
            account_gate = AccountGate(object_cache, key_bounds)
            observations = ObservationExchange(
                ledger,
                TableObservations(targets),
                frontend=local_frontend.address,
                nursery=nursery,
            )
            calls = CallService(
                targets=targets,
                ledger=ledger,
                permits=PermitIssuers(ledger),
                domain=settings.domain,
                crash_tracker=crash_tracker,
                frontends=frontends,
                account_gate=account_gate,
                response_memory=memory.responses,
                chain_memory=memory.chains,
                nursery=nursery,
                on_slowdown=observations.record_slowdown,
                quotas=LedgerQuotaSource(
                    ledger,
                    address=local_frontend.address,
                    domain=settings.domain,
                    issuers=count_issuers(settings.quota_tolerance),
                ),
            )
            clients = ClientServer(
                calls=calls,
                object_cache=object_cache,
                shutdown=shutdown,
                request_memory=memory.requests,
            )

            def is_ready() -> bool:
                configured = object_cache.routes is not None
                return (
                    configured
                    and ledger.is_usable
                    and not shutdown.requested.is_set()
                    and not has_failing_task()
                )

            readiness = Readiness(is_ready)

            async def serve_ready(stream: trio.SocketStream) -> None:
                await serve_readiness(stream, readiness)

            frontends.set_handlers(ledger.call_member, object_cache.get_copy)
            nursery.start_soon(object_cache.run)
            announcer = LedgerAnnouncer(
                ledger, frontends, local_frontend, calls.adopt_rate_limit
            )
            nursery.start_soon(announcer.run)
            nursery.start_soon(serve_metrics, settings.host)
            for listener, serve in (
                (open_listener(settings.ready_address), serve_ready),
                (open_listener(local_frontend.address), frontends.serve),
                (self._listener, clients.serve),
            ):
                nursery.start_soon(
                    trio.serve_listeners, serve, [_wrap_listener(listener)]
                )
            logger.info(
                "started",
                extra={
                    "clients": settings.client_address,
                    "start_ms": measure_start(),
                },
            )
            if is_shutdown_pending():
                shutdown.deduct_held(measure_start() / 1000)
            nursery.start_soon(handle_signals, shutdown.requested)
            client_listener = self._listener
            await shutdown.wait(
                lambda: clients.busy_count + has_pending_connection(client_listener)
            )
            nursery.cancel_scope.cancel()


def _wrap_listener(listener: socket.socket) -> trio.SocketListener:
    """Returns a trio listener for a listening socket."""
    return trio.SocketListener(trio.socket.from_stdlib_socket(listener))


async def serve_readiness(stream: trio.SocketStream, readiness: Readiness) -> None:
    """Answers the balancer's readiness checks on one connection."""
    await run_supervised(Task.READINESS_CONNECTION, _answer_checks, stream, readiness)


async def _answer_checks(stream: trio.SocketStream, readiness: Readiness) -> None:
    connection = ServerConnection(stream, head_bytes=READY_HEAD_BYTES)
    try:
        with trio.move_on_after(READY_IDLE_SECONDS):
            while await connection.read_head() is not None:
                await connection.read_body(0)
                await connection.respond(200 if await readiness.check() else 503, [])
                if not connection.is_reusable:
                    return
                connection.start_next_request()
    except (ConnectionLost, ProtocolViolation, h11.LocalProtocolError):
        return
    finally:
        await connection.close()
