"""Selection of the target that runs a call.

Load patterns that this module handles:
- The prompts of a program grow with each turn. A target that has processed the earlier
  turns processes only the new part, so the calls of a program go to one target. All
  frontends rank the targets by the same hash and need no coordination.
- A hash distributes programs unevenly, and a burst makes it worse: one target in five
  gets twice the mean load, which slows all of its calls. The hash therefore assigns no
  target more than a bound above the mean load (consistent hashing with bounded loads).
"""

import functools
from collections.abc import Sequence

import msgspec
import xxhash

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.targets import Target

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
    """

    instance: InstanceId
    load: float
    slots: int
    reserved_slots: int
    local: bool

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
    candidates: Sequence[TargetCandidate], key: str | None
) -> TargetCandidate | None:
    """Returns the target for a call, or None if all targets are full.

    Args:
        candidates: Targets that accept calls.
        key: Affinity key of the call. None selects the least loaded target.
    """
    available = [
        candidate
        for candidate in candidates
        if candidate.load < candidate.slots - candidate.reserved_slots
    ]
    if not available:
        return None
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
                within_bound, key=lambda each: rank_target(encoded, each.instance)
            )
    return min(available, key=lambda each: (each.share, not each.local))


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
