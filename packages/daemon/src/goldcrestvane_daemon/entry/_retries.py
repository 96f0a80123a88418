"""Retries of one call: the backoff between attempts and the outcome of final errors."""

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
"""Reasons after which the failed attempt may have run the call."""


@final
class RetryState:
    """State of the attempts of one call.

    Attributes:
        deadline: Time on trio's clock at which the call fails.
        may_have_run: Whether an owner may have run the call in an earlier attempt.
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
        """Resets the count of failures after an owner has sent a part of the answer."""
        self._failures = 0
        self.may_have_run = True

    async def back_off(
        self, reason: RetryReason, detail: str, *, needs_map: bool
    ) -> None:
        """Waits before the next attempt and, if needed, refreshes the shard map.

        Args:
            reason: Reason for which the last attempt failed.
            detail: Description of that failure, for a final error.
            needs_map: Whether a newer shard map is needed, because the known map has
                no owner for the shard or still names the owner that failed.

        Raises:
            ServiceError: No time is left for another attempt.
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
            raise self._build_no_owner_error(detail)
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
            return self._build_lost_answer_error(f"The deadline passed: {detail}")
        return DeadlineExceeded(
            f"The deadline passed before an owner accepted the call: {detail} Send it "
            "again with a longer timeout.",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def resolve_error(self, error: ServiceError) -> ServiceError:
        """Returns an owner's error with the outcome of all attempts of the call.

        For a call that must not be repeated, the outcome that the current owner
        reports covers every attempt: this owner has read the durable claims of all
        previous owners, and has closed those that never reached a target. A repeatable
        call has no such claim, so an earlier attempt may have run. An owner that does
        not know the program does not know its claims either.
        """
        owner_knows_claims = not isinstance(error, WrongOwner | NotFound)
        if not self.may_have_run or (owner_knows_claims and not self._repeatable):
            return error
        if error.call_outcome is Outcome.NOT_RUN:
            return self._build_lost_answer_error(error.message)
        if error.call_outcome is Outcome.REFUSED_FINAL:
            return type(error)(
                error.message,
                field=error.field,
                retry_after=error.retry_after,
                outcome=Outcome.INCOMPLETE if self._repeatable else Outcome.UNKNOWN,
            )
        return error

    def _compute_backoff(self) -> float:
        backoff_seconds = min(
            self._limits.initial_backoff_seconds * 2 ** min(self._failures - 1, 16),
            self._limits.max_backoff_seconds,
        )
        return backoff_seconds * self._rng.uniform(0.5, 1.0)

    def _build_no_owner_error(self, detail: str) -> ServiceError:
        if self.may_have_run:
            return self._build_lost_answer_error(detail)
        return Unavailable(
            f"No owner accepted the call in {self._limits.owner_wait_seconds:g} s: "
            f"{detail} Send it again later.",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _build_lost_answer_error(self, detail: str) -> ServiceError:
        if self._repeatable:
            return AnswerIncomplete(
                f"The answer was lost: {detail} Send the call again with the same "
                "sequence.",
                retry_after=RETRY_AFTER_SECONDS,
            )
        return OutcomeUnknown(
            f"The call may have run, and its answer was lost: {detail} Check the "
            "tool's records before you send a new call."
        )
