"""Permits for calls to targets that limit the rate of their calls.

Load pattern: targets in need state how many calls per second they take from all callers
together, while frontends send several times as many. The limit may be below one call per
second for each frontend, so shares of it cannot be kept by each frontend alone. One
member of the ledger issues the permits of a target, in one token bucket.
"""

from typing import final

from goldcrestvane_daemon.ledger.messages import AcquirePermit, Permit, RateLimit

BURST_SECONDS = 0.25
"""Time whose permits may be issued at once, after a time without calls."""

MIN_RATE = 0.1
"""Rate in calls per second that is assumed for a target that states a lower one. It still
gets calls, since only its responses show that the limit has ended."""

STANDBY_SHARE = 0.5
"""Share of a limit that a member issues while it is not the first choice for a target.
Frontends with an older view, or that cannot reach the first choice, ask other members;
together they stay within one and a half times the limit."""

MAX_WAIT_SECONDS = 1.0
"""Maximum time for which a call is reserved ahead. The limit may fall before then."""

MAX_RETRY_SECONDS = 2.0
"""Maximum time after which a frontend asks again, since limits change."""

EXPIRY_SECONDS = 30.0
"""Time after which a limit is forgotten that no frontend has named again."""


@final
class TokenBucket:
    """Permits of one target.

    Attributes:
        rate: Calls per second; None if the target states no limit any more.
        observed_at: Time of the response that stated this.
    """

    def __init__(self, rate: float | None, observed_at: float, now: float) -> None:
        self.rate = rate
        self.observed_at = observed_at
        self._tokens = 1.0
        self._updated_at = now
        self._next_retry_at = now

    def reserve(self, *, share: float, max_wait: float, now: float) -> float | None:
        """Reserves the next call; returns the seconds until it may be sent.

        Returns None if that is later than the call can wait.

        Args:
            share: Share of the limit to use.
            max_wait: Time in seconds for which the call can wait.
            now: Time on trio's clock.
        """
        if self.rate is None:
            return 0.0
        rate = self._refill(share, now)
        wait = max(0.0, (1.0 - self._tokens) / rate)
        if wait > max_wait:
            return None
        self._tokens -= 1.0
        return wait

    def schedule_retry(self, *, share: float, now: float) -> float:
        """Returns the seconds after which a refused caller should ask again.

        Each caller is told another time.
        """
        rate = self._refill(share, now)
        earliest = now + max(0.0, (1.0 - self._tokens) / rate)
        latest = now + MAX_RETRY_SECONDS
        self._next_retry_at = min(max(earliest, self._next_retry_at + 1 / rate), latest)
        return self._next_retry_at - now

    def _refill(self, share: float, now: float) -> float:
        """Adds the tokens of the time since the last call; returns their rate.

        The number of tokens is negative while calls are reserved.
        """
        rate = max(MIN_RATE, self.rate or 0.0) * share
        refilled = self._tokens + rate * (now - self._updated_at)
        self._tokens = min(max(1.0, rate * BURST_SECONDS), refilled)
        self._updated_at = now
        return rate


@final
class PermitIssuer:
    """Issues the permits of targets that state a rate limit."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def record(self, limit: RateLimit, *, now: float) -> TokenBucket:
        """Records the limit that a frontend knows, and returns the target's bucket.

        The limit of the latest response counts.
        """
        observed_at = now - limit.age_seconds
        bucket = self._buckets.get(limit.target)
        if bucket is None:
            bucket = TokenBucket(limit.rate, observed_at, now)
            self._buckets[limit.target] = bucket
        elif observed_at > bucket.observed_at:
            bucket.rate, bucket.observed_at = limit.rate, observed_at
        return bucket

    def issue(self, request: AcquirePermit, *, share: float, now: float) -> Permit:
        """Issues a permit for one call to a target, or tells when to ask again.

        Args:
            request: Request of a frontend.
            share: Share of the limit that this member may issue.
            now: Time on trio's clock.
        """
        bucket = self.record(request.limit, now=now)
        limit = RateLimit(request.limit.target, bucket.rate, now - bucket.observed_at)
        max_wait = min(request.max_wait_seconds, MAX_WAIT_SECONDS)
        wait = bucket.reserve(share=share, max_wait=max_wait, now=now)
        if wait is not None:
            return Permit(limit, wait)
        return Permit(limit, None, bucket.schedule_retry(share=share, now=now))

    def list_limits(self, now: float) -> list[RateLimit]:
        """Returns the limits that were named recently, also those that have ended."""
        for target, bucket in list(self._buckets.items()):
            if bucket.observed_at < now - EXPIRY_SECONDS:
                del self._buckets[target]
        return [
            RateLimit(target, bucket.rate, now - bucket.observed_at)
            for target, bucket in self._buckets.items()
        ]
