"""Asks several members at once and goes on as soon as enough of them have answered."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger.frames import PeerUnreachable

logger = get_logger("ledger")


async def call_until_quorum(
    calls: Sequence[Callable[[], Awaitable[Any]]],
    is_vote: Callable[[Any], bool],
    *,
    quorum: int,
    nursery: trio.Nursery,
) -> list[Any]:
    """Makes calls at once and returns once enough answers count, or cannot any more.

    The other calls go on, so that their members get the request as well.

    Args:
        calls: One for each member; each may raise PeerUnreachable.
        is_vote: Tells whether an answer counts.
        quorum: Answers that must count.
        nursery: Runs the calls, also after the return.
    """
    answers: list[Any] = []
    open_count = len(calls)
    changed = trio.Event()

    async def make(call: Callable[[], Awaitable[Any]]) -> None:
        nonlocal open_count, changed
        try:
            answers.append(await call())
        except PeerUnreachable as error:
            logger.debug("a member does not answer", extra={"reason": str(error)})
        open_count -= 1
        changed.set()

    for call in calls:
        nursery.start_soon(make, call)
    while open_count:
        await changed.wait()
        changed = trio.Event()
        counted = sum(1 for answer in answers if is_vote(answer))
        if counted >= quorum or counted + open_count < quorum:
            break
    return list(answers)
