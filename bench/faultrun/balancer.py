"""Chooses an entry for each request, as a balancer in front of the entries does."""

import itertools
import random
from typing import final

import trio

from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken
from goldcrestvane_standins.deployment import Deployment

PROBE_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0


@final
class Balancer:
    """Knows which entries say that they are leaving.

    An entry that does not answer stays in use, so that callers meet broken ones.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._names = [
            name for name in deployment.processes if name.startswith("entry-")
        ]
        self._leaving: set[str] = set()

    async def run(self) -> None:
        """Asks each entry whether it is ready, until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for name in self._names:
                    nursery.start_soon(self._probe, name)
            await trio.sleep(PROBE_SECONDS)

    async def _probe(self, name: str) -> None:
        address = self._deployment.processes[name].address
        try:
            reply = await self._deployment.transport.send(
                "GET", address, "/readyz", timeout=PROBE_TIMEOUT_SECONDS
            )
        except (ConnectFailed, ExchangeBroken):
            self._leaving.discard(name)
            return
        if reply.status == 200:
            self._leaving.discard(name)
        else:
            self._leaving.add(name)

    def build_round(self, rng: random.Random) -> "EntryRound":
        """Returns a caller's own way round the entries."""
        names = list(self._names)
        rng.shuffle(names)
        return EntryRound(names, self._leaving)


@final
class EntryRound:
    """Goes round the entries that are not leaving."""

    def __init__(self, names: list[str], leaving: set[str]) -> None:
        self._count = len(names)
        self._names = itertools.cycle(names)
        self._leaving = leaving

    def choose(self) -> str:
        """Returns the next entry; a leaving one when there is no other."""
        name = next(self._names)
        for _ in range(self._count - 1):
            if name not in self._leaving:
                return name
            name = next(self._names)
        return name
