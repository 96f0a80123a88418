"""Selection of the target that runs a call.

Load patterns that this module handles:
- The prompts of a program grow with each turn. A target that has processed the earlier
  turns processes only the new part, so the calls of a program go to one target. All
  frontends rank the targets by the same hash and need no coordination.
- A hash distributes programs unevenly, and a burst makes it worse: one target in five
  gets twice the mean load, which slows all of its calls. The hash therefore assigns no
  target more than a bound above the mean load (consistent hashing with bounded loads).
- Targets are replaced one after the other. Each that joins ranks higher than the present one
  for a share of the programs. A call therefore stays at the target that has processed the
  turn before, as long as it is within the bound.
- Targets that report how long work takes on their machines differ in speed by factors.
  Calls go to the target where they should finish first among a few that the hash prefers
  for their program. If all were compared, all frontends would choose the same targets
  until the next reports (power of d choices).
- Prompts that a target reads delay all of its calls. Their reading counts in the expected
  finish (see `placement/prompt_reading.py`).
"""

import functools
import random
from collections.abc import Callable, Sequence

import msgspec
import xxhash

from goldcrestvane_common.ids import DomainId, InstanceId
from goldcrestvane_daemon.frontend.admission import (
    AdmissionClass,
    count_reserved_slots,
)
from goldcrestvane_daemon.frontend.affinity import Affinity
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.placement.speeds import estimate_finish
from goldcrestvane_daemon.targets import Target, TargetTable

LOAD_FACTOR = 1.25
"""Load bound of the hash, as a multiple of the mean load. This is the usual value for
consistent hashing with bounded loads."""

LOAD_ALLOWANCE_CALLS = 2.0
"""Number of calls by which the load bound of the hash exceeds the multiple of the
mean. Two calls on a target slow each other by 5 %."""

SLOW_TARGET_RATIO = 1.6
"""Ratio of a target's slowness to the median from which each call on it counts as more
than one. Load alone makes a full engine 1.5 times slower than an idle one."""

MAX_CALL_WEIGHT = 4.0
"""Maximum weight of a call. A slow target must still receive calls, so that its
recovery is noticed."""

AFFINITY_TOLERANCE = 0.15
"""Share by which a call may finish later at the target that the hash prefers. A target that
has not read a program's earlier turns takes about as much longer."""

CHOICES = 4
"""Number of targets that are compared by their expected finish. Among four of which a
quarter is fast there is a fast one for two calls in three, and more choices let the
frontends choose the same targets (see the load replay in docs/explanation/policy.md)."""

MAX_CACHED_SEEDS = 8192
"""Maximum number of cached target hashes: twice the planned number of targets."""


class TargetCandidate(msgspec.Struct, frozen=True):
    """A target that may take a call.

    Attributes:
        instance: Id of the target.
        load: Estimated number of calls at the target.
        slots: Number of calls that the target runs concurrently.
        reserved_slots: Number of slots that the call must leave free.
        local: Whether the target is in this failure domain.
        finish: When the call should finish there, in run times of a call on an idle
            target; None if the targets of the service do not report their speed.
    """

    instance: InstanceId
    load: float
    slots: int
    reserved_slots: int
    local: bool
    finish: float | None = None

    @property
    def share(self) -> float:
        """Share of the slots that is occupied."""
        return self.load / self.slots


@functools.lru_cache(maxsize=MAX_CACHED_SEEDS)
def _get_seed(instance: InstanceId) -> int:
    return xxhash.xxh3_64_intdigest(instance.encode())


def rank_target(key: bytes, instance: InstanceId) -> int:
    """Returns the rank of a target for a key; the highest is preferred."""
    return xxhash.xxh3_64_intdigest(key, _get_seed(instance))


def choose_target(
    candidates: Sequence[TargetCandidate],
    affinity: Affinity = Affinity(),
    rng: random.Random | None = None,
) -> TargetCandidate | None:
    """Returns the target for a call, or None if all targets are full.

    Args:
        candidates: Targets that accept calls.
        affinity: Targets that the call prefers.
        rng: Draws the targets that are compared for a call without a key if they report
            their speed. Without it all are compared.
    """
    key = affinity.key
    available = [
        candidate
        for candidate in candidates
        if candidate.load < candidate.slots - candidate.reserved_slots
    ]
    if not available:
        return None
    if available[0].finish is not None:
        return _choose_first_to_finish(_rank_candidates(available, key, rng))
    if key is not None:
        mean = sum(candidate.share for candidate in candidates) / len(candidates)
        bound = LOAD_FACTOR * mean
        within_bound = [
            candidate
            for candidate in available
            if candidate.load < bound * candidate.slots + LOAD_ALLOWANCE_CALLS
        ]
        if within_bound:
            encoded = key.encode()
            return max(
                within_bound,
                key=lambda each: (
                    each.instance == affinity.target,
                    rank_target(encoded, each.instance),
                ),
            )
    return min(available, key=lambda each: (each.share, not each.local))


def _rank_candidates(
    candidates: Sequence[TargetCandidate], key: str | None, rng: random.Random | None
) -> list[TargetCandidate]:
    """Returns the targets to compare for a call, the preferred one first."""
    if key is not None:
        encoded = key.encode()
        ranked = sorted(
            candidates,
            key=lambda each: rank_target(encoded, each.instance),
            reverse=True,
        )
        return ranked[:CHOICES]
    if rng is not None and len(candidates) > CHOICES:
        candidates = rng.sample(candidates, CHOICES)
    return sorted(candidates, key=lambda each: (each.finish, not each.local))


def _choose_first_to_finish(ranked: Sequence[TargetCandidate]) -> TargetCandidate:
    """Returns the preferred one of the targets at which a call finishes early enough."""
    finishes = [candidate.finish or 0.0 for candidate in ranked]
    latest = min(finishes) * (1.0 + AFFINITY_TOLERANCE)
    return next(
        candidate
        for candidate, finish in zip(ranked, finishes, strict=True)
        if finish <= latest
    )


def compute_median_slowness(health: HealthTracker, targets: Sequence[Target]) -> float:
    """Returns the lower median of the targets' slowness.

    Under load all targets slow down together, so a target is compared with the
    others instead of with a fixed value.
    """
    values = sorted(health.get(each.instance).slowness for each in targets)
    return values[(len(values) - 1) // 2] if values else 1.0


def compute_call_weight(
    health: HealthTracker, target: Target, median_slowness: float
) -> float:
    """Returns the load that each call adds to a target; above 1 for slow targets."""
    ratio = health.get(target.instance).slowness / median_slowness
    return min(ratio, MAX_CALL_WEIGHT) if ratio >= SLOW_TARGET_RATIO else 1.0


def build_candidates(
    targets: Sequence[Target],
    *,
    table: TargetTable,
    health: HealthTracker,
    domain: DomainId,
    admission_class: AdmissionClass,
    now: float,
    estimate_reading: Callable[[InstanceId], float] | None = None,
) -> list[TargetCandidate]:
    """Returns the targets that may take a call now.

    Args:
        targets: Targets that the call may use.
        table: Table with the loads of the targets.
        health: Observed failures and slowness of the targets.
        domain: Failure domain of this process.
        admission_class: Admission class of the call.
        now: Time on trio's clock.
        estimate_reading: Returns how long a target of usual speed reads prompts before
            it answers the call, in run times of a call on an idle target. None if the
            prompt of the call is unknown. It counts only where targets report their
            speed.
    """
    median_slowness = compute_median_slowness(health, targets)
    slowdowns = estimate_slowdowns(targets, table=table, now=now)
    candidates = []
    for target in targets:
        tracker = table.get_load(target)
        if tracker.rejects_until > now:
            continue
        load = tracker.estimate(now)
        weight = compute_call_weight(health, target, median_slowness)
        slowdown = slowdowns.get(target.instance)
        finish = None
        if slowdown is not None:
            finish = estimate_finish(slowdown=slowdown, load=load, slots=target.slots)
            if estimate_reading is not None:
                finish += slowdown * estimate_reading(target.instance)
            finish *= weight
        candidates.append(
            TargetCandidate(
                instance=target.instance,
                load=load if finish is not None else load * weight,
                slots=target.slots,
                reserved_slots=count_reserved_slots(target.slots, admission_class),
                local=target.domain == domain,
                finish=finish,
            )
        )
    return candidates


def estimate_slowdowns(
    targets: Sequence[Target], *, table: TargetTable, now: float
) -> dict[InstanceId, float]:
    """Returns the present slowdown of each target; empty if none reports any.

    A target that has not reported yet counts like the median of the others.
    """
    reported = {
        target.instance: estimate
        for target in targets
        if (estimate := table.get_load(target).slowdown.estimate(now)) is not None
    }
    if not reported:
        return {}
    median = sorted(reported.values())[(len(reported) - 1) // 2]
    return {each.instance: reported.get(each.instance, median) for each in targets}
