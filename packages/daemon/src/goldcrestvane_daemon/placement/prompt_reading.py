"""Estimates how long targets read prompts before they answer a call.

Load pattern that this module handles: a target reads prompts in chunks between the tokens
of its other calls, so a long prompt that it has not cached delays every call there. Calls
with short prompts that are sent there at that time miss their objectives, though other
targets read nothing. What a call must wait for is the uncached part of its own prompt, and the
prompts that were sent to the target before it and have no first event yet.

See docs/design/prompt-lengths.md.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import NewType, final

import msgspec

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_daemon.placement.speeds import FULL_TARGET_DELAY

PromptPartId = NewType("PromptPartId", str)

MAX_READ_PARTS = 8192
"""Maximum number of remembered parts, over all targets of a service: an estimated 2 MB."""

READ_PART_MAX_AGE_SECONDS = 10.0
"""Age at which a part counts as no longer cached. In the load replay an engine reads
28,000 new tokens per second, so that its cache of 362,828 is replaced in 13 s."""

SECONDS_PER_TOKEN = 1 / 205_000
"""Time to read a prompt token at a target of usual speed: that of the slowest engines for
which a rate is stated. Rates learned from first events gained no more in the load replay
(docs/design/prompt-lengths.md)."""


class Prompt(msgspec.Struct, frozen=True):
    """A prompt. Prompts that begin with the same parts share what a target caches.

    Attributes:
        parts: The first parts in order, each with its number of tokens.
        tokens: Number of tokens of the whole prompt.
    """

    parts: tuple[tuple[PromptPartId, int], ...]
    tokens: int


@final
class PromptRequest:
    """A prompt of one attempt, from its assignment to a target to its first event.

    Attributes:
        prompt: The prompt.
        instance: Target that reads it; None if none does.
        uncached_tokens: Tokens of the prompt that the target has to read.
    """

    __slots__ = ("instance", "prompt", "uncached_tokens")

    def __init__(self, prompt: Prompt) -> None:
        self.prompt = prompt
        self.instance: InstanceId | None = None
        self.uncached_tokens = 0


@final
class PromptReading:
    """What one process knows of the prompts that the targets of a service read."""

    def __init__(self) -> None:
        self._read_at: OrderedDict[tuple[InstanceId, PromptPartId], float] = (
            OrderedDict()
        )
        self._unread_tokens: Counter[InstanceId] = Counter()

    def count_uncached(
        self, prompt: Prompt, instance: InstanceId, *, now: float
    ) -> int:
        """Returns the number of tokens of a prompt that a target has not read recently."""
        uncached = prompt.tokens
        for part, tokens in prompt.parts:
            read_at = self._read_at.get((instance, part))
            if read_at is None or now - read_at > READ_PART_MAX_AGE_SECONDS:
                break
            uncached -= tokens
        return max(0, uncached)

    def estimate_seconds(
        self, prompt: Prompt, instance: InstanceId, *, now: float
    ) -> float:
        """Returns how long a call waits for prompts at a target of usual speed."""
        uncached = self.count_uncached(prompt, instance, now=now)
        return SECONDS_PER_TOKEN * (uncached + self._unread_tokens[instance])

    def build_estimate(
        self, request: PromptRequest | None, *, run_seconds: float, now: float
    ) -> Callable[[InstanceId], float] | None:
        """Returns the estimate for a call in run times of a call on an idle target.

        Args:
            request: Prompt of the call; None if it is unknown, and so is the estimate.
            run_seconds: Present mean run time of calls, which is longer under load.
            now: Time on trio's clock.
        """
        if request is None:
            return None
        idle_seconds = run_seconds / (1.0 + FULL_TARGET_DELAY)
        return lambda instance: (
            self.estimate_seconds(request.prompt, instance, now=now) / idle_seconds
        )

    def start(
        self, request: PromptRequest, instance: InstanceId, *, now: float
    ) -> None:
        """Records that a prompt is sent to a target."""
        uncached = self.count_uncached(request.prompt, instance, now=now)
        request.instance, request.uncached_tokens = instance, uncached
        self._unread_tokens[instance] += uncached

    def record_first_event(self, request: PromptRequest | None, *, now: float) -> None:
        """Records that a target has read a prompt; has no effect if none reads it."""
        if request is None or request.instance is None:
            return
        instance = request.instance
        self.end(request)
        for part, _ in request.prompt.parts:
            self._read_at[instance, part] = now
            self._read_at.move_to_end((instance, part))
        while len(self._read_at) > MAX_READ_PARTS:
            self._read_at.popitem(last=False)

    def end(self, request: PromptRequest | None) -> None:
        """Records that a target no longer reads a prompt; has no effect if none does."""
        if request is None or request.instance is None:
            return
        self._unread_tokens[request.instance] -= request.uncached_tokens
        if not self._unread_tokens[request.instance]:
            del self._unread_tokens[request.instance]
        request.instance = None
