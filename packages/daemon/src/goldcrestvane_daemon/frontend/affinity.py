"""Affinity of a call: which targets it prefers.

Load pattern: after a fault, callers come back together and continue stored turns of before
in new programs. A target that has processed a chain of turns processes only what is new, so
the key must stay the same for the whole chain, whichever program continues it. Otherwise
each of these programs lets another target process its chain again, and the programs in
progress there wait.

The key alone moves a chain when a target joins that it ranks higher, though the target that
processed the chain is still there. A chain therefore stays at the target that ran its last
turn.
"""

import msgspec

from goldcrestvane_common.ids import CallId, InstanceId, ProgramId


class Affinity(msgspec.Struct, frozen=True, kw_only=True):
    """What a call prefers among the targets that are not overloaded, in this order.

    Attributes:
        target: Target that ran the preceding turn, if known.
        key: Calls with the same key prefer the same target; None selects the least loaded.
    """

    key: str | None = None
    target: InstanceId | None = None


def build_affinity(
    *,
    chain_root: CallId | None,
    chain_target: InstanceId | None,
    program: ProgramId | None,
    resource: str | None,
) -> Affinity:
    """Returns which targets a call prefers.

    Args:
        chain_root: First turn of the stored chain that the call continues or begins.
        chain_target: Target that ran the preceding turn of the chain, if known.
        program: Program that the call belongs to.
        resource: Key of the object that the call concerns, as the client states it.
    """
    return Affinity(key=chain_root or program or resource, target=chain_target)
