"""The attempts of one call: pauses between them, and what a final error says."""

import random
from enum import Enum
from typing import final

import trio

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    DeadlineExceeded,
    NotFound,
    Outcome,
    OutcomeUnknown,
    ServiceError,
    Unavailable,
    WrongOwner,
)
from goldcrestvane_daemon.entry._directories import OwnerDirectory
from goldcrestvane_daemon.entry._limits import EntryLimits

RETRY_AFTER_SECONDS = 2.0


class RetryReason(Enum):
    """Why an attempt is followed by another."""

    NO_OWNER = "no_owner"
    CONNECT_FAILED = "connect_failed"
    EXCHANGE_BROKEN = "exchange_broken"
    SHARD_REASSIGNED = "owner_moved"
    WRONG_OWNER = "wrong_owner"
    OWNERSHIP_LOST = "owner_deposed"


MAY_HAVE_RUN = {
    RetryReason.EXCHANGE_BROKEN,
    RetryReason.SHARD_REASSIGNED,
    RetryReason.OWNERSHIP_LOST,
}


@final
class RetryState:
    """What the attempts of one call have come to.

    Attributes:
        deadline: Time on trio's clock at which the call is given up.
        may_have_run: Whether an attempt may have reached an owner.
    """

    def __init__(
        self,
        *,
        deadline: float,
        repeatable: bool,
        owners: OwnerDirectory,
        limits: EntryLimits,
        rng: random.Random,
    ) -> None:
        self.deadline = deadline
        self.may_have_run = False
        self._repeatable = repeatable
        self._owners = owners
        self._limits = limits
        self._rng = rng
        self._failures = 0
        self._give_up_at = deadline

    def reset_failures(self) -> None:
        """Starts the count of failures anew after an owner has answered in part."""
        self._failures = 0
        self.may_have_run = True

    async def back_off(
        self, reason: RetryReason, detail: str, *, needs_map: bool
    ) -> None:
        """Waits before the next attempt, while asking for a newer shard map.

        Args:
            reason: Why the last attempt failed.
            detail: That failure in words, for a final error.
            needs_map: Whether the map still names the owner that failed; one that
                names another already is not waited for.

        Raises:
            ServiceError: The call is given up.
        """
        now = trio.current_time()
        if reason in MAY_HAVE_RUN:
            self.may_have_run = True
        if self._failures == 0:
            self._give_up_at = now + self._limits.owner_wait_seconds
        self._failures += 1
        wake_at = now + self._compute_backoff()
        if wake_at >= self.deadline:
            raise self.build_deadline_error(detail)
        if wake_at >= self._give_up_at:
            raise self._give_up(detail)
        if needs_map:
            refresh_at = min(
                now + self._limits.map_refresh_timeout_seconds, self.deadline
            )
            with trio.move_on_at(refresh_at):
                await self._owners.refresh()
        await trio.sleep_until(wake_at)

    def build_deadline_error(self, detail: str) -> ServiceError:
        """Returns the error of a call whose deadline has passed."""
        if self.may_have_run:
            return self._build_uncertain(f"The deadline passed: {detail}")
        return DeadlineExceeded(
            f"The deadline passed before an owner took the call: {detail} Send it "
            "again with more time.",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def resolve_error(self, error: ServiceError) -> ServiceError:
        """Returns what an owner's error means after the attempts so far.

        For a call that must not be repeated the present owner's word holds for every
        attempt: it has read the durable claims of all former owners, and has closed
        those that never reached a target. A repeatable call has no such claim, so an
        earlier attempt may have run. Nor does an owner that does not know the
        program know its claims.
        """
        informed = not isinstance(error, WrongOwner | NotFound)
        if not self.may_have_run or (informed and not self._repeatable):
            return error
        if error.call_outcome is Outcome.NOT_RUN:
            return self._build_uncertain(error.message)
        if error.call_outcome is Outcome.REFUSED_FINAL:
            return type(error)(
                error.message,
                field=error.field,
                retry_after=error.retry_after,
                outcome=Outcome.INCOMPLETE if self._repeatable else Outcome.UNKNOWN,
            )
        return error

    def _compute_backoff(self) -> float:
        longest = min(
            self._limits.initial_backoff_seconds * 2 ** min(self._failures - 1, 16),
            self._limits.max_backoff_seconds,
        )
        return longest * self._rng.uniform(0.5, 1.0)

    def _give_up(self, detail: str) -> ServiceError:
        if self.may_have_run:
            return self._build_uncertain(detail)
        return Unavailable(
            f"No owner took the call within {self._limits.owner_wait_seconds:g} s: "
            f"{detail} Send it again later.",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _build_uncertain(self, detail: str) -> ServiceError:
        if self._repeatable:
            return AnswerIncomplete(
                f"The answer was lost: {detail} Send the call again with the same "
                "sequence.",
                retry_after=RETRY_AFTER_SECONDS,
            )
        return OutcomeUnknown(
            f"The call may have run and its answer was lost: {detail} Look at the "
            "tool's records before any new call."
        )
