"""The policies that are compared: three simple ones and the product's own."""

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


class Ending(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer, as the owner sees it."""

    usage: TokenUsage
    waited_seconds: float
    load: TargetLoad


class Decider(ABC):
    """One policy for all owners of a run.

    Attributes:
        name: Name in the tables.
        ordered: Whether the gates see priority class and attained service; if not,
            all calls are of one class.
    """

    name: str
    ordered: bool = False

    @abstractmethod
    def start(
        self, owner: int, candidates: Sequence[Candidate], profile: CallProfile
    ) -> Attempt:
        """Chooses a target and counts the call as sent there."""

    @abstractmethod
    def finish(self, owner: int, attempt: Attempt, ending: Ending | None) -> None:
        """Notes an answer, or with None that the call was refused or given up."""

    def fail(self, owner: int, attempt: Attempt, *, unreachable: bool) -> None:
        """Notes a call that its target failed."""
        self.finish(owner, attempt, None)

    @abstractmethod
    def count_call(self, owner: int, profile: CallProfile) -> None:
        """Notes the first attempt of a call."""

    def may_retry(self, owner: int, profile: CallProfile) -> bool:
        """Tells whether a call that was not run may go to another target."""
        return True

    def end_program(self, owner: int, profile: CallProfile) -> list[InstanceId]:
        """Returns the targets at which an ended program's prefix is released."""
        return []

    @abstractmethod
    def record_eviction(
        self, owner: int, profile: CallProfile, target: InstanceId, tokens: int
    ) -> None:
        """Takes in an engine's cache event."""


class Baseline(Decider):
    """A simple policy that sees the calls of all owners at once.

    A real balancer of several instances sees only its own calls, so that these
    baselines are stronger than what runs in practice.
    """

    def __init__(self) -> None:
        self.in_flight: Counter[InstanceId] = Counter()

    @abstractmethod
    def pick(self, candidates: list[Candidate], profile: CallProfile) -> Candidate:
        """Returns the target among those that were not tried."""

    def start(
        self, owner: int, candidates: Sequence[Candidate], profile: CallProfile
    ) -> Attempt:
        """Counts the call at the target of `pick`."""
        left = [each for each in candidates if each.instance not in profile.excluded]
        target = self.pick(left, profile).instance
        self.in_flight[target] += 1
        return Attempt(target, profile, trio.current_time())

    def finish(self, owner: int, attempt: Attempt, ending: Ending | None) -> None:
        """Counts the call as gone."""
        self.in_flight[attempt.instance] -= 1

    def count_call(self, owner: int, profile: CallProfile) -> None:
        """Does nothing: simple policies retry without a budget."""

    def record_eviction(
        self, owner: int, profile: CallProfile, target: InstanceId, tokens: int
    ) -> None:
        """Does nothing: simple policies know of no caches."""


@final
class RoundRobin(Baseline):
    """Each target in turn."""

    name = "round robin"

    def __init__(self) -> None:
        super().__init__()
        self._turns: Counter[str] = Counter()

    def pick(self, candidates: list[Candidate], profile: CallProfile) -> Candidate:
        """Returns the next target."""
        self._turns[profile.service] += 1
        return candidates[self._turns[profile.service] % len(candidates)]


@final
class LeastInFlight(Baseline):
    """The target with the fewest calls in flight."""

    name = "least in flight"

    def pick(self, candidates: list[Candidate], profile: CallProfile) -> Candidate:
        """Returns the least loaded target."""
        return min(candidates, key=lambda each: self.in_flight[each.instance])


@final
class PrefixAffinity(Baseline):
    """The target that the program's id hashes to; the next one after a failure."""

    name = "prefix affinity"

    def pick(self, candidates: list[Candidate], profile: CallProfile) -> Candidate:
        """Returns the target of the highest hash."""
        return max(
            candidates,
            key=lambda each: hash_text(f"{profile.program} {each.instance}"),
        )


@final
class Ours(Decider):
    """The product: one `Placement` and one `RetryBudget` a service for each owner."""

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
        """Uses the owner's placement."""
        placement = self._placements[owner]
        choice = placement.choose(candidates, profile, cache_weight=self._cache_weight)
        return placement.record_start(choice, profile)

    def finish(self, owner: int, attempt: Attempt, ending: Ending | None) -> None:
        """Tells the owner's placement."""
        placement = self._placements[owner]
        if ending is None:
            placement.record_cancellation(attempt)
            return
        placement.record_success(
            attempt,
            usage=ending.usage,
            waited_seconds=ending.waited_seconds,
            load=ending.load,
        )

    def fail(self, owner: int, attempt: Attempt, *, unreachable: bool) -> None:
        """Tells the owner's placement."""
        self._placements[owner].record_failure(attempt, unreachable=unreachable)

    def count_call(self, owner: int, profile: CallProfile) -> None:
        """Adds to the retry budget."""
        self._get_budget(owner, profile).record_attempt(now=trio.current_time())

    def may_retry(self, owner: int, profile: CallProfile) -> bool:
        """Takes from the retry budget."""
        return self._get_budget(owner, profile).try_acquire(now=trio.current_time())

    def end_program(self, owner: int, profile: CallProfile) -> list[InstanceId]:
        """Releases the program's prefixes."""
        return self._placements[owner].forget_program(profile.team, profile.program)

    def record_eviction(
        self, owner: int, profile: CallProfile, target: InstanceId, tokens: int
    ) -> None:
        """Tells the owner's placement."""
        self._placements[owner].record_eviction(
            profile.team, ProgramId(profile.program), target, tokens=tokens
        )

    def _get_budget(self, owner: int, profile: CallProfile) -> RetryBudget:
        key = (owner, profile.service)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget()
        return budget
