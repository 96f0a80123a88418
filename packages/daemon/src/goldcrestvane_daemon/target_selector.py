"""Selects the target of each call by placement over the service's live targets."""

from typing import final

import trio

from goldcrestvane_common.errors import Outcome, ServiceError, Unavailable
from goldcrestvane_common.ids import InstanceId, ProgramId, ServiceId, TeamId
from goldcrestvane_common.messages import (
    DispatchRequest,
    DispatchResponse,
    Instance,
)
from goldcrestvane_daemon.owner.state import CachedPrefix
from goldcrestvane_daemon.owner.target_connector import TargetDirectory
from goldcrestvane_daemon.placement import (
    Attempt,
    CallProfile,
    Candidate,
    Placement,
    RetryBudget,
)

CHARACTERS_PER_TOKEN = 4


@final
class TargetSelector:
    """Selects targets and updates the placement with the outcome of each call."""

    def __init__(self, *, directory: TargetDirectory, placement: Placement) -> None:
        self._directory = directory
        self._placement = placement
        self._retry_budgets: dict[ServiceId, RetryBudget] = {}

    def choose(
        self,
        request: DispatchRequest,
        *,
        excluded: set[InstanceId],
        cache_weight: float,
        cached: CachedPrefix | None,
    ) -> tuple[Instance, Attempt]:
        """Selects the target for a call.

        If all live targets are excluded, the exclusion is ignored.

        Args:
            request: The call.
            excluded: Targets on which the call has already been tried.
            cache_weight: The team's weight of cache reuse against latency.
            cached: Target that computed the program's prefix, from the journal.

        Returns:
            The target, and the attempt for `record_answer` or `record_error`.

        Raises:
            Unavailable: The service has no target that can be tried now.
        """
        targets = self._directory.list_targets(request.service)
        if not targets:
            raise Unavailable(
                f"Service {request.service} has no live target. Send it again later.",
                retry_after=1.0,
            )
        if all(item.instance in excluded for item in targets):
            excluded = set()
        if cached is not None:
            self._placement.seed_affinity(
                request.team, request.program, cached.instance, tokens=cached.tokens
            )
        profile = CallProfile(
            team=request.team,
            program=request.program,
            service=request.service,
            prompt_tokens=_estimate_prompt_tokens(request),
            alone=request.alone,
            excluded=frozenset(excluded),
        )
        candidates = [Candidate(item.instance, item.domain) for item in targets]
        choice = self._placement.choose(candidates, profile, cache_weight=cache_weight)
        attempt = self._placement.record_start(choice, profile)
        chosen = {item.instance: item for item in targets}[choice.instance]
        return chosen, attempt

    def record_answer(self, attempt: Attempt, answer: DispatchResponse) -> None:
        """Records an attempt that returned a complete answer."""
        self._placement.record_success(
            attempt,
            usage=answer.usage,
            waited_seconds=answer.waited_seconds,
            load=answer.load,
        )

    def record_error(self, attempt: Attempt, error: BaseException) -> None:
        """Records an attempt that ended without a complete answer."""
        if not isinstance(error, ServiceError):
            self._placement.record_cancellation(attempt)
        elif isinstance(error, Unavailable):
            self._placement.record_failure(attempt, unreachable=True)
        elif error.call_outcome in (Outcome.NOT_RUN, Outcome.REFUSED_FINAL):
            self._placement.record_refusal(attempt)
        else:
            self._placement.record_failure(attempt)

    def forget_program(self, team: TeamId, program: ProgramId) -> None:
        """Drops the cache estimates of a program that has ended."""
        self._placement.forget_program(team, program)

    def count_call(self, service: ServiceId) -> None:
        """Counts a first attempt; the retry budget is a share of these."""
        self._get_retry_budget(service).record_attempt(now=trio.current_time())

    def try_acquire_retry(self, service: ServiceId) -> bool:
        """Takes a retry from the service's budget; returns False if it is used up."""
        return self._get_retry_budget(service).try_acquire(now=trio.current_time())

    def _get_retry_budget(self, service: ServiceId) -> RetryBudget:
        return self._retry_budgets.setdefault(service, RetryBudget())


def _estimate_prompt_tokens(request: DispatchRequest) -> int:
    if request.model is None:
        return 0
    characters = sum(len(message.content) for message in request.model.messages)
    return characters // CHARACTERS_PER_TOKEN
