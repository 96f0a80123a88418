"""Model of call durations: a fixed part plus a part for each uncached token."""

from typing import final

SMOOTHING = 0.02
"""Weight of the latest call in the moving averages."""

INITIAL_SECONDS_PER_TOKEN = 0.0002
INITIAL_CALL_SECONDS = 1.0
PRIOR_VARIANCE = 500.0**2
"""Weight of the initial rate relative to measurements, in tokens squared."""


@final
class RateModel:
    """Linear regression of the run time of a service's calls on their uncached tokens.

    The weight of old calls decays exponentially. The fixed part covers the output
    tokens, whose number is unknown before the call.
    """

    def __init__(self) -> None:
        self._count = 0
        self._mean_tokens = 0.0
        self._mean_seconds = INITIAL_CALL_SECONDS
        self._variance = 0.0
        self._covariance = 0.0

    def record(self, *, uncached_tokens: int, seconds: float) -> None:
        """Adds one call with its run time, which excludes the wait for a slot."""
        self._count += 1
        weight = max(SMOOTHING, 1.0 / self._count)
        token_change = uncached_tokens - self._mean_tokens
        seconds_change = seconds - self._mean_seconds
        self._mean_tokens += weight * token_change
        self._mean_seconds += weight * seconds_change
        keep = 1.0 - weight
        self._variance = keep * (self._variance + weight * token_change**2)
        self._covariance = keep * (
            self._covariance + weight * token_change * seconds_change
        )

    @property
    def seconds_per_token(self) -> float:
        """Expected time to compute one uncached prompt token."""
        covariance = self._covariance + PRIOR_VARIANCE * INITIAL_SECONDS_PER_TOKEN
        return max(0.0, covariance / (self._variance + PRIOR_VARIANCE))

    @property
    def call_seconds(self) -> float:
        """Mean run time of a call."""
        return self._mean_seconds

    def predict(self, uncached_tokens: int) -> float:
        """Returns the expected run time of a call."""
        change = self.seconds_per_token * (uncached_tokens - self._mean_tokens)
        return max(0.0, self._mean_seconds + change)
