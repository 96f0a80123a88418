"""Chooses targets for the calls of one owner."""

import random
from collections.abc import Sequence
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import Unavailable
from goldcrestvane_common.ids import DomainId, InstanceId, ProgramId, ServiceId, TeamId
from goldcrestvane_common.messages import (
    TargetLoad,
    TokenUsage,
)
from goldcrestvane_daemon.placement.affinity import AffinityMap
from goldcrestvane_daemon.placement.choice import Choice, TargetEstimate, choose_target
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.placement.inputs import (
    CallProfile,
    Candidate,
    PlacementOptions,
)
from goldcrestvane_daemon.placement.loads import LoadTracker
from goldcrestvane_daemon.placement.rates import RateModel

MIN_RETRY_SECONDS = 0.05


class Attempt(msgspec.Struct, frozen=True):
    """One call in progress at one target.

    Attributes:
        instance: The target's sidecar.
        profile: The call.
        started: Time on trio's clock at which the call was sent.
    """

    instance: InstanceId
    profile: CallProfile
    started: float


@final
class Placement:
    """Chooses targets for the calls of one owner and learns from their outcomes.

    Each `record_start` must be followed by exactly one call of `record_success`,
    `record_failure`, `record_refusal` or `record_cancellation`.
    """

    def __init__(
        self,
        *,
        domain: DomainId,
        seed: int,
        options: PlacementOptions = PlacementOptions(),
    ) -> None:
        self._domain = domain
        self._options = options
        self._rng = random.Random(seed)
        self._affinity = AffinityMap(max_programs=options.max_programs)
        self._loads = LoadTracker(report_decay_seconds=options.report_decay_seconds)
        self._health = HealthTracker(options)
        self._rates: dict[ServiceId, RateModel] = {}

    def choose(
        self,
        candidates: Sequence[Candidate],
        profile: CallProfile,
        *,
        cache_weight: float,
    ) -> Choice:
        """Returns the target for a call.

        Args:
            candidates: All live targets of the service.
            profile: The call.
            cache_weight: 0 favours only low latency, 1 only reuse of cached prefixes.

        Raises:
            Unavailable: All candidates are excluded or ejected.
        """
        now = trio.current_time()
        usable = [
            candidate
            for candidate in candidates
            if candidate.instance not in profile.excluded
            and self._health.is_usable(candidate.instance, now=now)
        ]
        if not usable:
            raise self._build_unavailable(candidates, profile, now=now)
        sample = usable if profile.alone else self._draw_sample(usable, profile)
        estimates = [self._build_estimate(each, profile, now=now) for each in sample]
        return choose_target(estimates, profile, cache_weight)

    def record_start(self, choice: Choice, profile: CallProfile) -> Attempt:
        """Records that a call is sent to its target."""
        now = trio.current_time()
        self._loads.add(choice.instance)
        self._health.record_start(choice.instance, now=now)
        return Attempt(choice.instance, profile, now)

    def record_success(
        self,
        attempt: Attempt,
        *,
        usage: TokenUsage = TokenUsage(),
        waited_seconds: float | None = None,
        load: TargetLoad | None = None,
    ) -> None:
        """Records a complete response.

        Args:
            attempt: The call.
            usage: Tokens that the call used.
            waited_seconds: Time that the call waited for a slot at its gate. None if
                unknown; the call then does not update the expected run times.
            load: Load of the target, including the call itself.
        """
        if load is not None:
            self.report_load(attempt.instance, load)
        self._loads.remove(attempt.instance)
        self._health.record_success(
            attempt.instance, slowness=self._update_rate(attempt, usage, waited_seconds)
        )
        if usage.prompt_tokens:
            self._affinity.store(
                attempt.profile.team,
                attempt.profile.program,
                attempt.instance,
                usage.total,
            )

    def record_failure(self, attempt: Attempt, *, unreachable: bool = False) -> None:
        """Records a call that failed or timed out at its target.

        Args:
            attempt: The call.
            unreachable: Whether the target refused the connection or closed it early.
                Such a target is ejected immediately and its cache counts as lost.
        """
        self._loads.remove(attempt.instance)
        now = trio.current_time()
        self._health.record_failure(attempt.instance, now=now, unreachable=unreachable)
        if unreachable:
            self._affinity.forget_target(attempt.instance)

    def record_refusal(
        self, attempt: Attempt, *, load: TargetLoad | None = None
    ) -> None:
        """Records that a gate rejected a call without running it.

        The gate rejects calls because of its load, their place in the queue order or
        because the target is leaving.
        """
        if load is not None:
            self.report_load(attempt.instance, load)
        self.record_cancellation(attempt)

    def record_cancellation(self, attempt: Attempt) -> None:
        """Records that the caller cancelled a call."""
        self._loads.remove(attempt.instance)
        self._health.record_cancellation(attempt.instance, now=trio.current_time())

    def report_load(self, instance: InstanceId, load: TargetLoad) -> None:
        """Processes a load report of a target."""
        self._loads.report(instance, load, now=trio.current_time())

    def seed_affinity(
        self, team: TeamId, program: ProgramId, instance: InstanceId, *, tokens: int
    ) -> None:
        """Sets the affinity known to a former owner unless there is newer data."""
        if not self._affinity.get(team, program):
            self._affinity.store(team, program, instance, tokens)

    def record_eviction(
        self, team: TeamId, program: ProgramId, instance: InstanceId, *, tokens: int
    ) -> None:
        """Records that an engine has only `tokens` of a program's prefix left."""
        self._affinity.lower(team, program, instance, tokens)

    def forget_program(self, team: TeamId, program: ProgramId) -> list[InstanceId]:
        """Removes an ended program; returns the targets that may hold its prefixes."""
        return self._affinity.forget_program(team, program)

    def forget_cache(self, instance: InstanceId) -> None:
        """Removes the cache estimates for a target that restarted."""
        self._affinity.forget_target(instance)

    def forget_target(self, instance: InstanceId) -> None:
        """Removes a target that left permanently."""
        self._affinity.forget_target(instance)
        self._loads.forget(instance)
        self._health.forget(instance)

    def _draw_sample(
        self, usable: Sequence[Candidate], profile: CallProfile
    ) -> list[Candidate]:
        """Returns the prefix holders, random targets and one in the local domain."""
        sample = dict.fromkeys(self._find_holders(usable, profile))
        count = min(self._options.random_choices, len(usable))
        sample.update(dict.fromkeys(self._rng.sample(usable, count)))
        local_candidates = [each for each in usable if each.domain == self._domain]
        if local_candidates:
            sample[self._rng.choice(local_candidates)] = None
        return list(sample)

    def _find_holders(
        self, usable: Sequence[Candidate], profile: CallProfile
    ) -> list[Candidate]:
        cached = self._affinity.get(profile.team, profile.program)
        if not cached:
            return []
        return [each for each in usable if each.instance in cached]

    def _build_estimate(
        self, candidate: Candidate, profile: CallProfile, *, now: float
    ) -> TargetEstimate:
        instance = candidate.instance
        rates = self._get_rates(profile.service)
        counts = self._loads.get(instance)
        load = counts.load
        reported = counts.reported_at is not None
        free = None
        if load.cache_capacity_tokens:
            free = load.cache_capacity_tokens - load.cached_tokens
        is_local = candidate.domain == self._domain
        cached = self._affinity.get(profile.team, profile.program)
        return TargetEstimate(
            instance=instance,
            calls=self._loads.estimate(instance, now=now),
            slots=load.slots if reported else self._options.default_slots,
            call_seconds=rates.call_seconds,
            seconds_per_token=rates.seconds_per_token,
            cached_tokens=cached.get(instance, 0),
            free_tokens=free,
            cross_domain_seconds=0.0
            if is_local
            else self._options.cross_domain_seconds,
            slowness=self._health.get(instance).slowness,
        )

    def _update_rate(
        self, attempt: Attempt, usage: TokenUsage, waited_seconds: float | None
    ) -> float | None:
        """Updates the rate model; returns the run time relative to the expected one."""
        if waited_seconds is None:
            return None
        seconds = trio.current_time() - attempt.started - waited_seconds
        uncached = usage.prompt_tokens - usage.cached_tokens
        rates = self._get_rates(attempt.profile.service)
        expected = rates.predict(uncached)
        rates.record(uncached_tokens=uncached, seconds=seconds)
        return seconds / expected if expected > 0 else None

    def _get_rates(self, service: ServiceId) -> RateModel:
        rates = self._rates.get(service)
        if rates is None:
            rates = self._rates[service] = RateModel()
        return rates

    def _build_unavailable(
        self, candidates: Sequence[Candidate], profile: CallProfile, *, now: float
    ) -> Unavailable:
        times = [
            self._health.get_probe_time(each.instance)
            for each in candidates
            if each.instance not in profile.excluded
        ]
        wait = min(times) - now if times else self._options.first_ejection_seconds
        retry_after = max(MIN_RETRY_SECONDS, round(wait, 3))
        return Unavailable(
            f"got {len(candidates)} targets of service {profile.service}, expected one "
            "that was not tried and is not ejected; send the call again after "
            f"{retry_after} s",
            retry_after=retry_after,
        )
