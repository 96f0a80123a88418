"""Which target runs a call.

Load patterns that this answers:
- Programs return with ever longer prompts. A target that read the earlier turns reads
  only the new part, so the calls of a program go to one target, ranked by a hash that
  all frontends share without telling each other.
- A hash spreads programs unevenly, and a burst makes it worse: one target of five gets
  twice the mean and slows all of its calls. No target takes more by the hash than a
  bound above the mean load (consistent hashing with bounded loads).
"""

import functools
from collections.abc import Sequence

import msgspec
import xxhash

from goldcrestvane_common.ids import InstanceId

LOAD_FACTOR = 1.25
"""Load above the mean up to which a target takes the calls that the hash gives it; the
usual figure for consistent hashing with bounded loads."""

FREE_LOAD = 2.0
"""Calls that a target takes by the hash whatever the mean is; they slow each other by
a twentieth."""

MAX_CACHED_SEEDS = 8192
"""Targets whose hash is kept; twice those of the planned size."""


class TargetCandidate(msgspec.Struct, frozen=True):
    """A target that may take a call.

    Attributes:
        instance: Its id.
        load: Calls that are probably there.
        slots: Calls that it runs at a time.
        reserved_slots: Slots that the call must leave free.
        local: Whether it is in this failure domain.
    """

    instance: InstanceId
    load: float
    slots: int
    reserved_slots: int
    local: bool

    @property
    def share(self) -> float:
        """Part of the slots that is taken."""
        return self.load / self.slots


@functools.lru_cache(maxsize=MAX_CACHED_SEEDS)
def _get_seed(instance: InstanceId) -> int:
    return xxhash.xxh3_64_intdigest(instance.encode())


def rank_target(key: bytes, instance: InstanceId) -> int:
    """Returns the rank of a target for a key; the highest is preferred."""
    return xxhash.xxh3_64_intdigest(key, _get_seed(instance))


def choose_target(
    choices: Sequence[TargetCandidate], key: str | None
) -> TargetCandidate | None:
    """Returns the target for a call, or None when all are full.

    Args:
        choices: Targets that take calls.
        key: What the target should have seen before; None when it does not matter.
    """
    free = [
        choice
        for choice in choices
        if choice.load < choice.slots - choice.reserved_slots
    ]
    if not free:
        return None
    if key is not None:
        mean = sum(choice.share for choice in choices) / len(choices)
        bound = LOAD_FACTOR * mean
        lightest = [
            choice for choice in free if choice.load < bound * choice.slots + FREE_LOAD
        ]
        if lightest:
            encoded = key.encode()
            return max(lightest, key=lambda each: rank_target(encoded, each.instance))
    return min(free, key=lambda each: (each.share, not each.local))
