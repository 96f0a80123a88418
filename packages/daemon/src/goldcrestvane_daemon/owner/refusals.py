"""Errors with which an owner rejects calls."""

from goldcrestvane_common.errors import Outcome, ProgramEnded, WrongOwner
from goldcrestvane_common.ids import ShardId
from goldcrestvane_daemon.owner.state import ProgramKey


def build_wrong_owner(
    shard: ShardId, *, outcome: Outcome = Outcome.NOT_RUN
) -> WrongOwner:
    """Returns the error that redirects an entry to the current owner.

    Args:
        shard: Shard that this instance does not own.
        outcome: Outcome of the call at this instance. If the call may still be running,
            the current owner joins its attempt.
    """
    return WrongOwner(
        f"Shard {shard} has another owner. Read the shard map again.",
        retry_after=0.1,
        outcome=outcome,
    )


def build_program_ended(key: ProgramKey) -> ProgramEnded:
    """Returns the error for a request to a program that has ended."""
    return ProgramEnded(
        f"Program {key[1]} has ended. Begin a new one under another ID.",
        field="program",
    )
