"""Chooses the target with the lowest expected cost for a call."""

from collections.abc import Sequence

import msgspec

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_daemon.placement.inputs import CallProfile

MAX_CACHE_FACTOR = 50.0
"""Upper bound of the cache factor, reached as `cache_weight` approaches 1."""

CAPACITY_FACTOR = 2.0
"""Cost of a second of recomputing relative to a second of waiting at `cache_weight` 0.

Recomputing delays both the call itself and the other calls at the target.
"""

BUSY_SHARE = 0.1
"""Share of a call's run time added by a target whose slots are all taken."""


class TargetEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """The owner's estimates of one target for one call.

    Attributes:
        instance: The target's sidecar.
        calls: Estimated number of calls at the target, including queued ones.
        slots: Number of calls that the target runs concurrently.
        call_seconds: Mean run time of the service's calls.
        seconds_per_token: Time to compute one uncached prompt token.
        cached_tokens: Estimated cached tokens of the program's prefix.
        free_tokens: Free space in the target's prefix cache; None if unknown.
        cross_domain_seconds: Cost of reaching a target in another failure domain.
        slowness: Run time of the target's calls relative to the service's mean.
    """

    instance: InstanceId
    calls: float = 0.0
    slots: int = 1
    call_seconds: float = 1.0
    seconds_per_token: float = 0.0
    cached_tokens: int = 0
    free_tokens: int | None = None
    cross_domain_seconds: float = 0.0
    slowness: float = 1.0


class Choice(msgspec.Struct, frozen=True):
    """The chosen target.

    Attributes:
        instance: The target's sidecar.
        cached_tokens: Estimated number of cached prompt tokens.
        spilled: Whether another target has more of the program's prefix cached.
    """

    instance: InstanceId
    cached_tokens: int
    spilled: bool


def get_cache_factor(cache_weight: float) -> float:
    """Returns the seconds of waiting that cost as much as a second of recomputing.

    The factor determines the spill threshold: a call leaves the target that has its
    prefix cached when the wait there exceeds the wait elsewhere by more than the factor
    times the time to recompute the prefix.
    """
    return min(MAX_CACHE_FACTOR, CAPACITY_FACTOR / max(1.0 - cache_weight, 1e-9))


def count_excess(estimate: TargetEstimate) -> float:
    """Returns the number of calls beyond a target's slots, including the new one."""
    return max(0.0, estimate.calls + 1 - estimate.slots)


def estimate_slot_wait(estimate: TargetEstimate) -> float:
    """Returns the expected wait for a slot at a target, in seconds."""
    excess = count_excess(estimate)
    utilization = min(1.0, estimate.calls / estimate.slots)
    wait = excess / estimate.slots + BUSY_SHARE * utilization
    return wait * estimate.call_seconds


def estimate_cost(
    estimate: TargetEstimate, profile: CallProfile, cache_factor: float
) -> float:
    """Returns the cost of a target for a call, in weighted seconds."""
    reused = min(estimate.cached_tokens, profile.prompt_tokens)
    computed = profile.prompt_tokens - reused
    displaced = 0
    if estimate.free_tokens is not None:
        displaced = max(0, computed - max(0, estimate.free_tokens))
    delay = count_excess(estimate) / estimate.slots
    recompute = estimate.seconds_per_token * (computed + displaced) * (1 + delay)
    run_time = estimate.slowness * (
        estimate_slot_wait(estimate) + estimate.call_seconds
    )
    return run_time + cache_factor * recompute + estimate.cross_domain_seconds


def choose_target(
    candidates: Sequence[TargetEstimate], profile: CallProfile, cache_weight: float
) -> Choice:
    """Returns the target with the lowest cost; of equal ones, the first.

    A call that must run alone goes to the target with the fewest calls, which becomes
    idle first.

    Args:
        candidates: At least one target.
        profile: The call.
        cache_weight: 0 favours only low latency, 1 only reuse of cached prefixes.
    """
    if profile.alone:
        best = min(candidates, key=lambda estimate: estimate.calls)
    else:
        factor = get_cache_factor(cache_weight)
        best = min(
            candidates, key=lambda estimate: estimate_cost(estimate, profile, factor)
        )
    most_cached = max(estimate.cached_tokens for estimate in candidates)
    return Choice(
        instance=best.instance,
        cached_tokens=min(best.cached_tokens, profile.prompt_tokens),
        spilled=best.cached_tokens < most_cached,
    )
