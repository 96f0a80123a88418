"""Load balancer of the callers: chooses an entry for each request."""

import itertools
import random
from typing import final

import trio

from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken
from goldcrestvane_standins.deployment import Deployment

PROBE_INTERVAL_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0


@final
class Balancer:
    """Tracks which entries report that they are leaving.

    An entry that does not answer stays in use, so that callers also send requests to
    entries that a fault affects.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._names = [
            name for name in deployment.processes if name.startswith("entry-")
        ]
        self._leaving: set[str] = set()

    async def run(self) -> None:
        """Probes the readiness of each entry until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for name in self._names:
                    nursery.start_soon(self._probe, name)
            await trio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe(self, name: str) -> None:
        address = self._deployment.processes[name].address
        try:
            response = await self._deployment.transport.send(
                "GET", address, "/readyz", timeout=PROBE_TIMEOUT_SECONDS
            )
        except (ConnectFailed, ExchangeBroken):
            self._leaving.discard(name)
            return
        if response.status == 200:
            self._leaving.discard(name)
        else:
            self._leaving.add(name)

    def build_rotation(self, rng: random.Random) -> "EntryRotation":
        """Returns a rotation through the entries in a random order, for one caller."""
        names = list(self._names)
        rng.shuffle(names)
        return EntryRotation(names, self._leaving)


@final
class EntryRotation:
    """Rotates through the entries that are not leaving."""

    def __init__(self, names: list[str], leaving: set[str]) -> None:
        self._count = len(names)
        self._names = itertools.cycle(names)
        self._leaving = leaving

    def choose_entry(self) -> str:
        """Returns the next entry that is not leaving, or any if all are leaving."""
        name = next(self._names)
        for _ in range(self._count - 1):
            if name not in self._leaving:
                return name
            name = next(self._names)
        return name
