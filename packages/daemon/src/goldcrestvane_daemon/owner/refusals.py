"""Errors with which an owner refuses calls."""

from goldcrestvane_common.errors import Outcome, ProgramEnded, WrongOwner
from goldcrestvane_common.ids import ShardId
from goldcrestvane_daemon.owner.state import ProgramKey


def build_wrong_owner(
    shard: ShardId, *, outcome: Outcome = Outcome.NOT_RUN
) -> WrongOwner:
    """Returns the error that sends an entry to the present owner.

    Args:
        shard: Shard that was lost.
        outcome: What became of the call here; the present owner joins its attempt.
    """
    return WrongOwner(
        f"Shard {shard} has another owner; ask the shard map again.",
        retry_after=0.1,
        outcome=outcome,
    )


def build_program_ended(key: ProgramKey) -> ProgramEnded:
    """Returns the error of a call that comes after its program's end."""
    return ProgramEnded(
        f"Program {key[1]} has ended. Begin a new one under another id.",
        field="program",
    )
