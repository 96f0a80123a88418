"""Sends requests to several members in parallel and waits for a quorum."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.tasks import Task, run_supervised

logger = get_logger("ledger")


async def call_until_quorum(
    calls: Sequence[Callable[[], Awaitable[Any]]],
    is_vote: Callable[[Any], bool],
    *,
    quorum: int,
    nursery: trio.Nursery,
) -> list[Any]:
    """Makes calls in parallel and returns once a quorum is reached or out of reach.

    The remaining calls continue, so that every member gets the request.

    Args:
        calls: One call per member, which may raise PeerUnreachable.
        is_vote: Returns whether a response counts towards the quorum.
        quorum: Number of votes to wait for.
        nursery: Runs the calls, also those that outlast this function.
    """
    responses: list[Any] = []
    pending_count = len(calls)
    changed = trio.Event()

    async def run_call(call: Callable[[], Awaitable[Any]]) -> None:
        nonlocal pending_count, changed
        try:
            responses.append(await call())
        except PeerUnreachable as error:
            logger.debug("a member does not respond", extra={"reason": str(error)})
        finally:
            pending_count -= 1
            changed.set()

    for call in calls:
        nursery.start_soon(run_supervised, Task.PEER_CALL, run_call, call)
    while pending_count:
        await changed.wait()
        changed = trio.Event()
        votes = sum(1 for response in responses if is_vote(response))
        if votes >= quorum or votes + pending_count < quorum:
            break
    return list(responses)
