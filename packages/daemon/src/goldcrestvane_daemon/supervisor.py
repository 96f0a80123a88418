"""Starts the components of a process in order and supervises their tasks."""

import random
import socket
import uuid

import trio

from goldcrestvane_common.feed import ControlFeed
from goldcrestvane_common.ids import hash_text
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    Instance,
    Role,
)
from goldcrestvane_common.objects import ObjectClient
from goldcrestvane_common.routing import (
    Router,
)
from goldcrestvane_common.server import (
    Application,
    serve_http,
)
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.drain import Drain
from goldcrestvane_daemon.entry_process import EntryProcess
from goldcrestvane_daemon.membership import Membership
from goldcrestvane_daemon.settings import DaemonSettings
from goldcrestvane_daemon.shared_components import SharedComponents
from goldcrestvane_daemon.shutdown_signals import handle_signals
from goldcrestvane_daemon.sidecar_process import SidecarProcess

logger = get_logger("process")

PROCESS_TYPES = {Role.ENTRY: EntryProcess, Role.SIDECAR: SidecarProcess}


def build_shared_components(
    settings: DaemonSettings, transport: Transport
) -> SharedComponents:
    """Builds the components that both roles share."""
    local_instance = Instance(
        instance=settings.instance,
        role=settings.role,
        address=settings.listen,
        domain=settings.domain,
        service=settings.service,
    )
    rng = random.Random(hash_text(settings.instance))
    objects = ObjectClient(transport, settings.platform)
    membership = Membership(
        transport=transport,
        instance_list_address=settings.instances,
        local_instance=local_instance,
        incarnation=uuid.uuid4().hex,
        rng=rng,
    )
    feed = ControlFeed(
        objects=objects,
        transport=transport,
        peers=membership.list_peer_addresses,
        instance=settings.instance,
    )
    return SharedComponents(
        settings=settings,
        transport=transport,
        objects=objects,
        membership=membership,
        feed=feed,
        rng=rng,
    )


async def run_process(settings: DaemonSettings, listener: socket.socket) -> None:
    """Runs a process until its graceful shutdown has finished.

    Args:
        settings: Settings of the process.
        listener: Socket that listens on the address of the process.
    """
    router = Router()
    application = Application(router, peer_token=settings.peer_token)
    async with (
        Transport(peer_token=settings.peer_token) as transport,
        trio.open_nursery() as nursery,
    ):
        components = build_shared_components(settings, transport)
        process = PROCESS_TYPES[settings.role](components, application)
        drain = Drain(
            membership=components.membership,
            stop_accepting_calls=process.stop_accepting_calls,
            hand_over=process.hand_over,
            count_in_flight=process.count_in_flight,
        )
        components.membership.add_routes(router)
        components.feed.add_routes(router)
        drain.add_routes(router)
        process.add_routes(router)
        nursery.start_soon(components.membership.run)
        nursery.start_soon(components.feed.run)
        await nursery.start(process.run)
        nursery.start_soon(drain.run)
        nursery.start_soon(handle_signals, drain.requested)
        async with trio.open_nursery() as server:
            address = await server.start(
                lambda *, task_status: serve_http(
                    application,
                    f"fd://{listener.detach()}",
                    shutdown=drain.finished,
                    task_status=task_status,
                )
            )
            logger.info("%s listens on %s", settings.role.value, address)
        logger.info("stopped")
        nursery.cancel_scope.cancel()
