"""Ends waits for sidecars that hold their connections open but do not answer.

A frozen sidecar keeps its connections. A wait without news for a while makes this
process probe the sidecar; after some failed probes the wait is given up, so that a
repeatable call can run elsewhere.
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

CHECK_SECONDS = 0.5
SILENT_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.5
PROBES_UNTIL_LOST = 3


@final
@dataclass(eq=False, kw_only=True)
class PendingExchange:
    """One wait for a sidecar.

    Attributes:
        target: The sidecar.
        scope: Ends the exchange.
        last_received_at: Time of the latest news, on trio's clock.
        lost: Whether the wait was ended because the sidecar does not answer.
    """

    target: Instance
    scope: trio.CancelScope
    last_received_at: float
    lost: bool = False


@final
class StallDetector:
    """The waits of one owner for sidecars beside targets."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._exchanges: set[PendingExchange] = set()
        self._failures: dict[str, int] = {}

    @contextmanager
    def watch(
        self, target: Instance, *, enabled: bool = True
    ) -> Iterator[PendingExchange]:
        """Ends its body when the sidecar does not answer probes.

        Args:
            target: The sidecar that is waited for.
            enabled: False waits without limit, as for a call that must not be
                repeated: its sidecar may wake and still tell the outcome.
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
        """Probes silent sidecars until cancelled."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            silent = self._find_silent()
            self._failures = {
                address: count
                for address, count in self._failures.items()
                if address in silent
            }
            async with trio.open_nursery() as nursery:
                for target in silent.values():
                    nursery.start_soon(self._probe, target)

    def _find_silent(self) -> dict[str, Instance]:
        """Returns the sidecars none of whose waits has had news lately."""
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
            if now - latest[address] > SILENT_SECONDS
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
            self._end_waits(target.address)

    def _end_waits(self, address: str) -> None:
        for exchange in self._exchanges:
            if exchange.target.address == address:
                exchange.lost = True
                exchange.scope.cancel()
