"""Cancels exchanges with sidecars that keep their connections open but do not respond.

The connections of a frozen sidecar stay open. If an exchange receives no data for some
time, the detector probes the sidecar. After several failed probes it cancels the
exchange, so that a repeatable call can run elsewhere.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import final

import trio

from goldcrestvane_common.messages import (
    Instance,
)
from goldcrestvane_common.paths import (
    PING_PATH,
)
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Transport

CHECK_INTERVAL_SECONDS = 0.5
STALL_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.5
PROBES_UNTIL_LOST = 3


@final
@dataclass(eq=False, kw_only=True)
class PendingExchange:
    """An exchange that waits for a sidecar.

    Attributes:
        target: The sidecar.
        scope: Cancels the exchange.
        last_received_at: Time on trio's clock at which data last arrived.
        lost: Whether the exchange was cancelled because the sidecar did not respond.
    """

    target: Instance
    scope: trio.CancelScope
    last_received_at: float
    lost: bool = False


@final
class StallDetector:
    """Detects stalled exchanges between an owner and the sidecars beside targets."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._exchanges: set[PendingExchange] = set()
        self._failures: dict[str, int] = {}

    @contextmanager
    def watch(
        self, target: Instance, *, enabled: bool = True
    ) -> Iterator[PendingExchange]:
        """Cancels the body of the context if the sidecar does not respond to probes.

        Args:
            target: The sidecar.
            enabled: Whether the sidecar is probed. At-most-once calls disable probing,
                because a frozen sidecar may resume and report the outcome.
        """
        with trio.CancelScope() as scope:
            exchange = PendingExchange(
                target=target, scope=scope, last_received_at=trio.current_time()
            )
            if enabled:
                self._exchanges.add(exchange)
            try:
                yield exchange
            finally:
                self._exchanges.discard(exchange)

    async def run(self) -> None:
        """Probes sidecars with stalled exchanges until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            stalled = self._find_stalled()
            self._failures = {
                address: count
                for address, count in self._failures.items()
                if address in stalled
            }
            async with trio.open_nursery() as nursery:
                for target in stalled.values():
                    nursery.start_soon(self._probe, target)

    def _find_stalled(self) -> dict[str, Instance]:
        """Returns the sidecars from which no exchange has received data recently."""
        latest: dict[str, float] = {}
        targets: dict[str, Instance] = {}
        for exchange in self._exchanges:
            address = exchange.target.address
            latest[address] = max(
                latest.get(address, -math.inf), exchange.last_received_at
            )
            targets[address] = exchange.target
        now = trio.current_time()
        return {
            address: target
            for address, target in targets.items()
            if now - latest[address] > STALL_SECONDS
        }

    async def _probe(self, target: Instance) -> None:
        answered = False
        with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
            try:
                await self._transport.send("GET", target.address, PING_PATH)
                answered = True
            except (ConnectFailed, ExchangeBroken):
                answered = False
        failures = 0 if answered else self._failures.get(target.address, 0) + 1
        self._failures[target.address] = failures
        if failures >= PROBES_UNTIL_LOST:
            self._cancel_exchanges(target.address)

    def _cancel_exchanges(self, address: str) -> None:
        for exchange in self._exchanges:
            if exchange.target.address == address:
                exchange.lost = True
                exchange.scope.cancel()
