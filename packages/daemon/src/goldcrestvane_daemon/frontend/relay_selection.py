"""Selection of the frontend that relays a request to a member of the ledger.

Load pattern: a third of the frontends loses its way to the members at once, and each sends
two requests and more for each of its turns through others. Some of these are small, or busy
with clients of their own, or cut off too. A request goes to the frontend that should respond
first: by its recent response times, in which a slow one counts at once and fades with time
(peak EWMA), and by the requests that it has not answered yet.
"""

import math
from collections.abc import Iterable
from typing import final

import msgspec

FADING_SECONDS = 1.0
"""Time constant with which measured response times fade."""

MIN_SECONDS = 0.001
"""Response time that a frontend counts with before it is measured."""

FAILED_SECONDS = 1.0
"""Time for which a frontend that could not relay to a member is asked for it last."""


class _Relay(msgspec.Struct):
    """What is known of one frontend as a relay."""

    seconds: float = 0.0
    measured_at: float = -math.inf
    waiting: int = 0

    def estimate_seconds(self, now: float) -> float:
        weight = math.exp((self.measured_at - now) / FADING_SECONDS)
        return max(MIN_SECONDS, self.seconds * weight)

    def estimate_wait(self, now: float) -> float:
        """Returns the seconds until it should respond to one more request."""
        return self.estimate_seconds(now) * (self.waiting + 1)

    def record(self, seconds: float, now: float) -> None:
        weight = math.exp((self.measured_at - now) / FADING_SECONDS)
        average = weight * self.seconds + (1 - weight) * seconds
        self.seconds = max(seconds, average)
        self.measured_at = now


@final
class RelaySelection:
    """Response times and failures of the frontends that relay for this one."""

    def __init__(self) -> None:
        self._relays: dict[str, _Relay] = {}
        self._failed_until: dict[tuple[str, str], float] = {}

    def rank(self, relays: Iterable[str], member: str, now: float) -> list[str]:
        """Returns relays in the order in which to ask them.

        Args:
            relays: Addresses of frontends.
            member: Member that the request is for.
            now: Current time.
        """
        return sorted(
            relays,
            key=lambda each: (
                self._failed_until.get((each, member), -math.inf) > now,
                self._get(each).estimate_wait(now),
            ),
        )

    def start(self, relay: str) -> None:
        """Records that a request was sent to a relay."""
        self._get(relay).waiting += 1

    def end(
        self, relay: str, member: str, *, seconds: float, failed: bool, now: float
    ) -> None:
        """Records the end of a request.

        Args:
            relay: Address of the frontend.
            member: Member that the request was for.
            seconds: Time that it took.
            failed: Whether it brought no response of the member.
            now: Current time.
        """
        known = self._relays.get(relay)
        if known is None:
            return
        known.waiting -= 1
        known.record(seconds, now)
        if failed:
            self._failed_until[relay, member] = now + FAILED_SECONDS
        else:
            self._failed_until.pop((relay, member), None)

    def forget(self, relay: str) -> None:
        """Forgets a frontend that is not connected to any more."""
        self._relays.pop(relay, None)
        for key in [each for each in self._failed_until if each[0] == relay]:
            del self._failed_until[key]

    def _get(self, relay: str) -> _Relay:
        return self._relays.setdefault(relay, _Relay())
