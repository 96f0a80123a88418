"""Rate limits that targets state in their responses."""

from typing import final

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.metrics import RATE_LIMITED_TARGETS
from goldcrestvane_daemon.targets import Target, TargetKey

logger = get_logger("rate")


@final
class TargetRateLimits:
    """Rate limits of the targets, as far as this process knows them."""

    def __init__(self) -> None:
        self._rates: dict[TargetKey, float] = {}

    def observe(self, target: Target, rate: float | None) -> None:
        """Records what a response of a target states.

        Args:
            target: The target.
            rate: Calls per second that it takes from all callers together; None if it
                states no limit.
        """
        before = self._rates.get(target.key)
        if rate == before:
            return
        if rate is None:
            del self._rates[target.key]
        else:
            self._rates[target.key] = rate
        RATE_LIMITED_TARGETS.set(len(self._rates))
        logger.info(
            "the rate limit of a target changed",
            extra={"target": target.instance, "rate": rate, "before": before},
        )

    def forget(self, target: Target) -> None:
        """Removes a target that no longer exists."""
        self._rates.pop(target.key, None)
        RATE_LIMITED_TARGETS.set(len(self._rates))
