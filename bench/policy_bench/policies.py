"""Placement policies to compare: three baselines and the policy of the product."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Sequence
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import DomainId, InstanceId, ProgramId, hash_text
from goldcrestvane_common.messages import (
    TargetLoad,
    TokenUsage,
)
from goldcrestvane_daemon.placement import (
    Attempt,
    CallProfile,
    Candidate,
    Placement,
    RetryBudget,
)


class CompletedCall(msgspec.Struct, frozen=True, kw_only=True):
    """A completed call as the owner sees it."""

    usage: TokenUsage
    waited_seconds: float
    load: TargetLoad


class Policy(ABC):
    """Placement policy that serves all owners of a run.

    Attributes:
        name: Name in the printed tables.
        ordered: Whether the gates receive the priority class and the attained
            tokens of a call. If False, all calls belong to one class.
    """

    name: str
    ordered: bool = False

    @abstractmethod
    def start(
        self, owner: int, candidates: Sequence[Candidate], profile: CallProfile
    ) -> Attempt:
        """Chooses a target and records the call as in flight there."""

    @abstractmethod
    def finish(
        self, owner: int, attempt: Attempt, completed: CompletedCall | None
    ) -> None:
        """Records a completed call, or None for a refused or cancelled call."""

    def fail(self, owner: int, attempt: Attempt, *, unreachable: bool) -> None:
        """Records a call that failed at its target."""
        self.finish(owner, attempt, None)

    @abstractmethod
    def count_call(self, owner: int, profile: CallProfile) -> None:
        """Records the first attempt of a call."""

    def may_retry(self, owner: int, profile: CallProfile) -> bool:
        """Returns whether a call that was not run may be retried at another target."""
        return True

    def end_program(self, owner: int, profile: CallProfile) -> list[InstanceId]:
        """Returns the targets that must release the prefix of an ended program."""
        return []

    @abstractmethod
    def record_eviction(
        self, owner: int, profile: CallProfile, target: InstanceId, tokens: int
    ) -> None:
        """Records a cache eviction that an engine reported."""


class Baseline(Policy):
    """A simple policy that knows the calls of all owners.

    A real load balancer with several instances knows only the calls of its own
    instance, so these baselines perform better than they would in practice.
    """

    def __init__(self) -> None:
        self.in_flight: Counter[InstanceId] = Counter()

    @abstractmethod
    def pick(self, candidates: list[Candidate], profile: CallProfile) -> Candidate:
        """Returns one of the targets that the call has not attempted yet."""

    def start(
        self, owner: int, candidates: Sequence[Candidate], profile: CallProfile
    ) -> Attempt:
        """Chooses a target with `pick` and records the call as in flight there."""
        left = [each for each in candidates if each.instance not in profile.excluded]
        target = self.pick(left, profile).instance
        self.in_flight[target] += 1
        return Attempt(target, profile, trio.current_time())

    def finish(
        self, owner: int, attempt: Attempt, completed: CompletedCall | None
    ) -> None:
        """Removes the call from the calls in flight."""
        self.in_flight[attempt.instance] -= 1

    def count_call(self, owner: int, profile: CallProfile) -> None:
        """Does nothing because baselines retry without a budget."""

    def record_eviction(
        self, owner: int, profile: CallProfile, target: InstanceId, tokens: int
    ) -> None:
        """Does nothing because baselines do not track caches."""


@final
class RoundRobin(Baseline):
    """Selects the targets of a service in rotation."""

    name = "round robin"

    def __init__(self) -> None:
        super().__init__()
        self._next_index: Counter[str] = Counter()

    def pick(self, candidates: list[Candidate], profile: CallProfile) -> Candidate:
        """Returns the next target."""
        self._next_index[profile.service] += 1
        return candidates[self._next_index[profile.service] % len(candidates)]


@final
class LeastInFlight(Baseline):
    """Selects the target with the fewest calls in flight."""

    name = "least in flight"

    def pick(self, candidates: list[Candidate], profile: CallProfile) -> Candidate:
        """Returns the target with the fewest calls in flight."""
        return min(candidates, key=lambda each: self.in_flight[each.instance])


@final
class PrefixAffinity(Baseline):
    """Selects a target by rendezvous hashing of the program's id.

    A retry goes to the remaining target with the highest hash.
    """

    name = "prefix affinity"

    def pick(self, candidates: list[Candidate], profile: CallProfile) -> Candidate:
        """Returns the target with the highest hash."""
        return max(
            candidates,
            key=lambda each: hash_text(f"{profile.program} {each.instance}"),
        )


@final
class ProductPolicy(Policy):
    """The product's policy.

    Each owner has one `Placement`, and one `RetryBudget` for each service.
    """

    name = "ours"
    ordered = True

    def __init__(
        self, domains: Sequence[DomainId], *, cache_weight: float, seed: int
    ) -> None:
        self._cache_weight = cache_weight
        self._placements = [
            Placement(domain=domain, seed=seed * 1000 + number)
            for number, domain in enumerate(domains)
        ]
        self._budgets: dict[tuple[int, str], RetryBudget] = {}

    def start(
        self, owner: int, candidates: Sequence[Candidate], profile: CallProfile
    ) -> Attempt:
        """Chooses a target with the owner's placement."""
        placement = self._placements[owner]
        choice = placement.choose(candidates, profile, cache_weight=self._cache_weight)
        return placement.record_start(choice, profile)

    def finish(
        self, owner: int, attempt: Attempt, completed: CompletedCall | None
    ) -> None:
        """Records the outcome in the owner's placement."""
        placement = self._placements[owner]
        if completed is None:
            placement.record_cancellation(attempt)
            return
        placement.record_success(
            attempt,
            usage=completed.usage,
            waited_seconds=completed.waited_seconds,
            load=completed.load,
        )

    def fail(self, owner: int, attempt: Attempt, *, unreachable: bool) -> None:
        """Records the failure in the owner's placement."""
        self._placements[owner].record_failure(attempt, unreachable=unreachable)

    def count_call(self, owner: int, profile: CallProfile) -> None:
        """Records the attempt in the owner's retry budget."""
        self._get_retry_budget(owner, profile).record_attempt(now=trio.current_time())

    def may_retry(self, owner: int, profile: CallProfile) -> bool:
        """Takes a retry from the owner's budget, if one is left."""
        return self._get_retry_budget(owner, profile).try_acquire(
            now=trio.current_time()
        )

    def end_program(self, owner: int, profile: CallProfile) -> list[InstanceId]:
        """Removes the program from the placement and returns its targets."""
        return self._placements[owner].forget_program(profile.team, profile.program)

    def record_eviction(
        self, owner: int, profile: CallProfile, target: InstanceId, tokens: int
    ) -> None:
        """Records the eviction in the owner's placement."""
        self._placements[owner].record_eviction(
            profile.team, ProgramId(profile.program), target, tokens=tokens
        )

    def _get_retry_budget(self, owner: int, profile: CallProfile) -> RetryBudget:
        key = (owner, profile.service)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget()
        return budget
