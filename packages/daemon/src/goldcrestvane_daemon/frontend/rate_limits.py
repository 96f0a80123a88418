"""Decides whether calls may be sent to targets that state a rate limit.

Load pattern: targets in need state in their responses how many calls per second they take
from all frontends together. Each call to such a target needs a permit, whatever path it
takes. A member of the ledger issues the permits of a target to all frontends. This process
asks for one when a call is to be sent, and forgets those that it does not use at once.
Calls that get no permit go to other targets.
"""

import functools
from collections.abc import Callable
from typing import Protocol, final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.metrics import RATE_LIMITED_TARGETS
from goldcrestvane_daemon.ledger.messages import AcquirePermit, Permit, RateLimit
from goldcrestvane_daemon.targets import Target

PERMIT_SECONDS = 0.5
"""Time after which an unused permit is void, so that permits are not saved up."""

EXPIRY_SECONDS = 300.0
"""Time after which a limit is forgotten if no process has named it again."""

UNAVAILABLE_RETRY_SECONDS = 0.5
"""Time after which permits are asked for again if no member issued any."""

logger = get_logger("rate")


class PermitRequests(Protocol):
    """Sends requests for permits, and reports of limits, to the ledger."""

    def ask(
        self, request: AcquirePermit, on_answer: Callable[[Permit | None], None]
    ) -> None:
        """Asks for a permit; calls `on_answer` with None if no member answers."""

    def report(self, limit: RateLimit) -> None:
        """Reports that a target states another limit than before."""


@final
class LimitedTarget:
    """What this process knows of one target's limit.

    Attributes:
        rate: Calls per second; None if the target states no limit.
        observed_at: Time of the response that stated this.
        blocked_until: Time before which no call may be sent at once.
        exhausted_until: Time before which no call can be reserved either.
        is_asking: Whether a permit has been asked for.
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self.observed_at = float("-inf")
        self.blocked_until = 0.0
        self.exhausted_until = 0.0
        self.is_asking = False
        self._permits: list[float] = []

    def add_permit(self, valid_from: float) -> None:
        """Adds a permit that any call may use from a time on."""
        self._permits.append(valid_from)

    def has_permit(self, now: float) -> bool:
        """Returns whether a permit is left that any call may use now."""
        self._permits = [each for each in self._permits if each > now - PERMIT_SECONDS]
        return any(each <= now for each in self._permits)

    def use_permit(self) -> None:
        """Uses up the oldest permit that any call may use."""
        if self._permits:
            self._permits.remove(min(self._permits))


@final
class PermitRequest:
    """A request of one call for a permit, which is reserved for that call.

    Attributes:
        limited: The target.
        max_wait: Seconds for which the call can wait for its permit.
        is_answered: Whether the answer has arrived.
        is_closed: Whether the call needs the permit no more.
        valid_from: Time from which the permit may be used; None if there is none.
    """

    def __init__(self, limited: LimitedTarget, max_wait: float) -> None:
        self.limited = limited
        self.max_wait = max_wait
        self.is_answered = False
        self.is_closed = False
        self.valid_from: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the call has a permit, or may get one."""
        if not self.is_answered:
            return True
        expired_at = trio.current_time() - PERMIT_SECONDS
        return self.valid_from is not None and self.valid_from > expired_at

    def allows(self, limited: LimitedTarget) -> bool:
        """Returns whether the call may be sent to a target now."""
        if limited is not self.limited or self.valid_from is None:
            return False
        return self.is_open and self.valid_from <= trio.current_time()


@final
class TargetRateLimits:
    """Decides whether a call may be sent to a target with a rate limit."""

    def __init__(
        self,
        requests: PermitRequests | None = None,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates an empty registry.

        Args:
            requests: Asks for permits. Without it, there are none to be had.
            on_change: Called when waiting calls may find another target.
        """
        self._requests = requests
        self._on_change = on_change
        self._targets: dict[str, LimitedTarget] = {}

    def observe(self, target: Target, rate: float | None) -> None:
        """Records what a response of a target states.

        Args:
            target: The target.
            rate: Calls per second that it takes from all callers together; None if it
                states no limit.
        """
        if rate is None and self._find_limited(target) is None:
            return
        limit = RateLimit(_get_key(target), rate, 0.0)
        if self._update(limit, "response") and self._requests is not None:
            self._requests.report(limit)

    def adopt(self, limit: RateLimit) -> None:
        """Records a limit that another frontend has observed, unless it is older."""
        self._update(limit, "ledger")

    def _update(self, limit: RateLimit, source: str) -> bool:
        """Records a limit; returns whether the rate has changed."""
        known = self._targets.get(limit.target)
        if known is None:
            if limit.rate is None:
                return False
            self._drop_expired()
            known = self._targets[limit.target] = LimitedTarget()
        observed_at = trio.current_time() - limit.age_seconds
        if observed_at < known.observed_at:
            return False
        known.observed_at = observed_at
        before, known.rate = known.rate, limit.rate
        if before == limit.rate:
            return False
        if limit.rate is None:
            known.blocked_until = known.exhausted_until = 0.0
        RATE_LIMITED_TARGETS.set(
            sum(each.rate is not None for each in self._targets.values())
        )
        logger.info(
            "the rate limit of a target changed",
            extra={
                "target": limit.target,
                "rate": limit.rate,
                "before": before,
                "source": source,
            },
        )
        return True

    def _drop_expired(self) -> None:
        """Drops limits of targets that have left; other processes may still name them."""
        oldest = trio.current_time() - EXPIRY_SECONDS
        for key, known in list(self._targets.items()):
            if known.observed_at < oldest:
                del self._targets[key]

    def forget(self, target: Target) -> None:
        """Removes a target that no longer exists."""
        self._targets.pop(_get_key(target), None)

    def _find_limited(self, target: Target) -> LimitedTarget | None:
        if not self._targets:
            return None
        known = self._targets.get(_get_key(target))
        return known if known is not None and known.rate is not None else None

    def is_limited(self, target: Target) -> bool:
        """Returns whether calls to a target need permits."""
        return self._find_limited(target) is not None

    def may_send(self, target: Target, request: PermitRequest | None) -> bool:
        """Returns whether a call may be sent to a target now.

        Args:
            target: The target.
            request: Request for a permit of this call, if any.
        """
        known = self._find_limited(target)
        if known is None or (request is not None and request.allows(known)):
            return True
        return known.has_permit(trio.current_time())

    def may_ask(self, target: Target, *, ahead: bool) -> bool:
        """Returns whether a permit for a target without one may be asked for.

        Args:
            target: The target.
            ahead: Whether the call can wait for its permit.
        """
        known = self._find_limited(target)
        if known is None:
            return True
        blocked_until = known.exhausted_until if ahead else known.blocked_until
        return not known.is_asking and trio.current_time() >= blocked_until

    def get_wait(self, target: Target) -> float:
        """Returns the seconds until a permit for a target may be asked for."""
        known = self._find_limited(target)
        if known is None or known.is_asking:
            return 0.0
        return max(0.0, known.exhausted_until - trio.current_time())

    def use_permit(self, target: Target, request: PermitRequest | None) -> None:
        """Records that a call is sent to a target; the arguments are as above."""
        known = self._find_limited(target)
        if known is None:
            return
        if request is not None and request.allows(known):
            request.valid_from = None
        else:
            known.use_permit()

    def close(self, request: PermitRequest) -> None:
        """Gives the unused permit of a call that needs none to other calls."""
        request.is_closed = True
        if request.valid_from is not None:
            request.limited.add_permit(request.valid_from)
            request.valid_from = None

    def ask(self, target: Target, *, max_wait: float) -> PermitRequest:
        """Asks for a permit for one call to a target with a rate limit.

        Args:
            target: The target.
            max_wait: Time in seconds for which the call can wait for its permit.
        """
        key = _get_key(target)
        known = self._targets[key]
        request = PermitRequest(known, max_wait)
        if self._requests is None:
            request.is_answered = True
            return request
        known.is_asking = True
        age = trio.current_time() - known.observed_at
        self._requests.ask(
            AcquirePermit(RateLimit(key, known.rate, age), max_wait),
            functools.partial(self._finish_ask, known, request),
        )
        return request

    def _finish_ask(
        self, known: LimitedTarget, request: PermitRequest, permit: Permit | None
    ) -> None:
        now = trio.current_time()
        known.is_asking = False
        request.is_answered = True
        if permit is None:
            known.blocked_until = now + UNAVAILABLE_RETRY_SECONDS
            known.exhausted_until = known.blocked_until
        elif permit.wait_seconds is not None:
            request.valid_from = now + permit.wait_seconds
            if request.is_closed:
                self.close(request)
        else:
            known.blocked_until = now + permit.retry_seconds
            if request.max_wait > 0:
                known.exhausted_until = known.blocked_until
        if permit is not None:
            self._update(permit.limit, "ledger")
        self._on_change()


def _get_key(target: Target) -> str:
    """Returns the name of a start of a target, for other processes."""
    return f"{target.instance} {target.host}:{target.port} {target.born_ms}"
