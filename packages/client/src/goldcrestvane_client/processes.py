"""Listing the processes of the system and pushing changes to them."""

import random
from collections.abc import Sequence

import msgspec
import trio

from goldcrestvane_client.context import CommandContext
from goldcrestvane_client.exit_codes import UsageError
from goldcrestvane_common.control_exchange import push_control
from goldcrestvane_common.errors import ServiceError
from goldcrestvane_common.messages import (
    Instance,
    InstanceList,
    InstanceState,
)
from goldcrestvane_common.objects import StoredObject
from goldcrestvane_common.transport import TransportError

INSTANCES_PATH = "/v1/instances"
MAX_PUSH_PEERS = 3


async def list_instances(context: CommandContext) -> list[Instance]:
    """Returns the platform's list of instances.

    Raises:
        UsageError: The options contain no address of the instance list.
        TransportError: The instance list does not respond.
        ServiceError: The instance list refused the request.
    """
    if not context.options.instances:
        raise UsageError(
            "The instance list's address is missing; give --instances=HOST:PORT or "
            "set GOLDCRESTVANE_INSTANCES."
        )
    response = await context.transport.send(
        "GET", context.options.instances, INSTANCES_PATH
    )
    return response.decode(InstanceList).instances


async def push_change(context: CommandContext, stored: StoredObject) -> int:
    """Pushes an accepted object to a few processes and returns how many accepted it.

    Processes forward the object to one another, so that it takes effect even if the
    platform fails right after accepting the change. A failed push does not affect the
    change itself.
    """
    try:
        instances = await list_instances(context)
    except (UsageError, TransportError, ServiceError) as error:
        context.print_note(f"accepted, but pushed to no process: {error}")
        return 0
    selected = _select_live_instances(instances, seed=stored.version)
    reached: list[Instance] = []
    async with trio.open_nursery() as nursery:
        for instance in selected:
            nursery.start_soon(_push, context, instance, stored, reached)
    if selected and not reached:
        context.print_note(
            "accepted, but no process accepted the push; they read it from the platform"
        )
    return len(reached)


def _select_live_instances(
    instances: Sequence[Instance], *, seed: int
) -> list[Instance]:
    live = [instance for instance in instances if instance.state is InstanceState.LIVE]
    return random.Random(seed).sample(live, min(MAX_PUSH_PEERS, len(live)))


async def _push(
    context: CommandContext,
    instance: Instance,
    stored: StoredObject,
    reached: list[Instance],
) -> None:
    try:
        await push_control(context.transport, instance.address, [stored])
    except (TransportError, ServiceError, msgspec.DecodeError) as error:
        context.print_note(f"{instance.instance} did not accept the push: {error}")
        return
    reached.append(instance)
