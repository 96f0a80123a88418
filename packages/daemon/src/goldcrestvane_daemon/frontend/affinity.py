"""Affinity key of a call: calls with the same key prefer the same target.

Load pattern: after a fault, callers come back together and continue stored turns of before
in new programs. A target that has processed a chain of turns processes only what is new, so
the key must stay the same for the whole chain, whichever program continues it. Otherwise
each of these programs lets another target process its chain again, and the programs in
progress there wait.
"""

from goldcrestvane_common.ids import CallId, ProgramId


def choose_affinity_key(
    *, chain_root: CallId | None, program: ProgramId | None, resource: str | None
) -> str | None:
    """Returns the affinity key of a call, or None if it prefers no target.

    Args:
        chain_root: First turn of the stored chain that the call continues or begins.
        program: Program that the call belongs to.
        resource: Key of the object that the call concerns, as the client states it.
    """
    return chain_root or program or resource
