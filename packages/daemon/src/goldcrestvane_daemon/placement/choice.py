"""The choice among a few targets by the time that a call is expected to take."""

from collections.abc import Sequence

import msgspec

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_daemon.placement.inputs import CallProfile

MAX_CACHE_FACTOR = 50.0
"""Bound of the weight of recomputed tokens, reached as `cache_weight` nears 1."""

CAPACITY_FACTOR = 2.0
"""Weight of a second of recomputing against one of waiting, at `cache_weight` 0.

It takes the second from the call and from the target's other calls.
"""

BUSY_SHARE = 0.1
"""Part of a call's run time that a target with all slots taken adds to it."""


class TargetEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """What the owner expects of one target for one call.

    Attributes:
        instance: The sidecar beside the target.
        calls: Estimated calls at the target, waiting ones included.
        slots: Calls that the target runs at a time.
        call_seconds: Mean run time of the service's calls.
        seconds_per_token: Time to compute one uncached prompt token.
        cached_tokens: Tokens of this program's prefix believed cached there.
        free_tokens: Free room in the target's prefix cache; None if unknown.
        cross_domain_seconds: Cost of the way to the target.
        slowness: Run time of the target's calls against the service's mean.
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
        instance: The sidecar beside the target.
        cached_tokens: Prompt tokens believed cached there.
        spilled: Whether another target held more of the program's prefix.
    """

    instance: InstanceId
    cached_tokens: int
    spilled: bool


def get_cache_factor(cache_weight: float) -> float:
    """Returns how many seconds of waiting a second of recomputing is worth.

    The spill threshold follows from it: a call leaves the target that holds its
    prefix when the wait there exceeds the wait elsewhere by more than the factor times
    the time to compute the prefix again.
    """
    return min(MAX_CACHE_FACTOR, CAPACITY_FACTOR / max(1.0 - cache_weight, 1e-9))


def count_excess(estimate: TargetEstimate) -> float:
    """Returns the calls at a target beyond its slots, the new one included."""
    return max(0.0, estimate.calls + 1 - estimate.slots)


def estimate_slot_wait(estimate: TargetEstimate) -> float:
    """Returns the expected wait for a slot at a target, in seconds."""
    excess = count_excess(estimate)
    busy = min(1.0, estimate.calls / estimate.slots)
    wait = excess / estimate.slots + BUSY_SHARE * busy
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
    delayed = count_excess(estimate) / estimate.slots
    recompute = estimate.seconds_per_token * (computed + displaced) * (1 + delayed)
    own = estimate.slowness * (estimate_slot_wait(estimate) + estimate.call_seconds)
    return own + cache_factor * recompute + estimate.cross_domain_seconds


def choose_target(
    candidates: Sequence[TargetEstimate], profile: CallProfile, cache_weight: float
) -> Choice:
    """Returns the target of the lowest cost; the first one among equals.

    A call that must run alone goes where the fewest calls are, since that target
    empties first.

    Args:
        candidates: At least one target.
        profile: The call.
        cache_weight: 0 favours latency alone, 1 reuse of cached prefixes alone.
    """
    if profile.alone:
        best = min(candidates, key=lambda estimate: estimate.calls)
    else:
        factor = get_cache_factor(cache_weight)
        best = min(
            candidates, key=lambda estimate: estimate_cost(estimate, profile, factor)
        )
    most = max(estimate.cached_tokens for estimate in candidates)
    return Choice(
        instance=best.instance,
        cached_tokens=min(best.cached_tokens, profile.prompt_tokens),
        spilled=best.cached_tokens < most,
    )
