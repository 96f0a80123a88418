"""The control feed: keeps each process's copy of the control objects up to date.

One task watches the platform. Another pulls from peers while the platform is silent,
so that an accepted change spreads also when the platform fails right after it.
"""

import random
from collections.abc import Callable
from typing import final

import msgspec
import trio

from goldcrestvane_common.control_exchange import ControlRoutes, pull_control
from goldcrestvane_common.control_replica import CONTROL_PREFIX, ControlReplica
from goldcrestvane_common.errors import ServiceError
from goldcrestvane_common.ids import InstanceId, TeamId, Version, hash_text
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import (
    ObjectClient,
    ObjectStoreUnavailable,
    RevisionTooOld,
    StoredObject,
)
from goldcrestvane_common.routing import (
    Router,
)
from goldcrestvane_common.settings import TeamSettings
from goldcrestvane_common.team_cache import TeamCache
from goldcrestvane_common.transport import Transport, TransportError

WATCH_TIMEOUT_SECONDS = 30.0
MIN_BACKOFF_SECONDS = 0.2
FIRST_BACKOFF_LIMIT_SECONDS = 0.8
MAX_BACKOFF_SECONDS = 3.0
PEER_PERIOD_SECONDS = 1.0
PEER_PERIOD_SPREAD = 0.2
PLATFORM_SILENCE_SECONDS = 2.0
PEERS_WHEN_QUIET = 1
PEERS_WHEN_UNREACHABLE = 2
PEER_DEADLINE_SECONDS = 5.0

logger = get_logger("control")


@final
class ControlFeed:
    """Holds a copy of all objects below `CONTROL_PREFIX` and reads from it.

    Attributes:
        ready: Set once a complete copy came from the platform or, while the platform
            is down, from a peer that had one.
    """

    def __init__(
        self,
        *,
        objects: ObjectClient,
        transport: Transport,
        peers: Callable[[], list[str]],
        instance: InstanceId,
    ) -> None:
        """Creates a feed; `run` fills it.

        Args:
            objects: Client of the platform's object API.
            transport: Client for peers.
            peers: Returns the ``host:port`` of the other live processes.
            instance: Id of this process; seeds the spread of the waits.
        """
        self.ready = trio.Event()
        self._objects = objects
        self._transport = transport
        self._peers = peers
        self._random = random.Random(hash_text(instance))
        self._replica = ControlReplica()
        self._teams = TeamCache()
        self._changed = trio.Event()
        self._change_count = 0
        self._since: Version | None = None
        self._failures = 0
        self._last_answer = 0.0
        self._filled_by_peer = False
        self._routes = ControlRoutes(self._replica, self._receive, self.ready.is_set)

    async def run(self) -> None:
        """Keeps the copy up to date until cancelled."""
        self._last_answer = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_platform)
            nursery.start_soon(self._follow_peers)

    def add_routes(self, router: Router) -> None:
        """Adds the routes on which peers and operators exchange control objects."""
        self._routes.add_routes(router)

    @property
    def change_count(self) -> int:
        """Number of times that the copy has changed."""
        return self._change_count

    async def wait_for_change(self, after: int) -> int:
        """Waits until `change_count` exceeds `after`, and returns it.

        Read `change_count` before the objects, and pass it here; no change is missed.
        """
        while self._change_count <= after:
            await self._changed.wait()
        return self._change_count

    def get_object(self, key: str) -> StoredObject | None:
        """Returns an object, or None when it does not exist or was deleted."""
        held = self._replica.get(key)
        return None if held is None or held.deleted else held

    def list_objects(self, prefix: str) -> list[StoredObject]:
        """Returns the existing objects below a prefix, sorted by key."""
        found = [
            held
            for held in self._replica.list_since(Version(0))
            if held.key.startswith(prefix) and not held.deleted
        ]
        return sorted(found, key=lambda held: held.key)

    def get_team(self, team: TeamId) -> TeamSettings | None:
        """Returns the settings in force, or None for an unknown or removed team."""
        entry = self._teams.get(team)
        return None if entry is None else entry.settings

    def get_team_version(self, team: TeamId) -> Version:
        """Returns the version of the settings in force; 0 for an unknown team."""
        entry = self._teams.get(team)
        return Version(0) if entry is None else entry.version

    def get_team_versions(self) -> dict[TeamId, Version]:
        """Returns the version in force of each team, removed ones included."""
        return self._teams.get_team_versions()

    def _receive(self, objects: list[StoredObject]) -> int:
        return self._note_changes(self._replica.merge(objects))

    def _note_changes(self, changes: list[StoredObject]) -> int:
        if not changes:
            return 0
        for stored in changes:
            self._teams.update(stored)
        self._change_count += 1
        self._changed.set()
        self._changed = trio.Event()
        return len(changes)

    async def _follow_platform(self) -> None:
        while True:
            try:
                moved = await self._ask_platform()
            except RevisionTooOld:
                logger.info("revision %s is no longer kept; listing again", self._since)
                self._since = None
                await trio.sleep(self._spread_backoff(0))
            except (
                ObjectStoreUnavailable,
                msgspec.DecodeError,
                UnicodeDecodeError,
            ) as error:
                await self._back_off(error)
            else:
                self._note_answer()
                if not moved:
                    await trio.sleep(self._spread_backoff(0))

    async def _ask_platform(self) -> bool:
        """Lists or watches once; returns whether the revision moved on."""
        if self._since is None:
            listed = await self._objects.list(CONTROL_PREFIX)
            self._note_changes(self._replica.merge_snapshot(listed))
            self._since = listed.revision
            self.ready.set()
            return True
        since = self._since
        answer = await self._objects.watch(
            CONTROL_PREFIX, since=since, timeout=WATCH_TIMEOUT_SECONDS
        )
        self._receive(answer.objects)
        # A server behind our revision has lost or not yet got writes: list it anew.
        self._since = answer.revision if answer.revision >= since else None
        return answer.revision > since

    def _note_answer(self) -> None:
        if self._failures:
            logger.info("the platform answers again after %s failures", self._failures)
        self._failures = 0
        self._last_answer = trio.current_time()

    async def _back_off(self, error: Exception) -> None:
        if not self._failures:
            logger.warning("the platform does not answer, asking peers: %s", error)
        delay = self._spread_backoff(self._failures)
        self._failures += 1
        self._settle_ready()
        delay += getattr(error, "retry_after", None) or 0.0
        await trio.sleep(delay)

    def _spread_backoff(self, failures: int) -> float:
        """Returns a random wait, so that processes do not return in step."""
        longest = FIRST_BACKOFF_LIMIT_SECONDS * 2 ** min(failures, 10)
        return self._random.uniform(
            MIN_BACKOFF_SECONDS, min(MAX_BACKOFF_SECONDS, longest)
        )

    async def _follow_peers(self) -> None:
        await self._pull_from_peers()
        while True:
            spread = self._random.uniform(-PEER_PERIOD_SPREAD, PEER_PERIOD_SPREAD)
            await trio.sleep(PEER_PERIOD_SECONDS + spread)
            if self._is_platform_silent():
                await self._pull_from_peers()

    def _is_platform_silent(self) -> bool:
        age = trio.current_time() - self._last_answer
        return self._failures > 0 or age > PLATFORM_SILENCE_SECONDS

    async def _pull_from_peers(self) -> None:
        peers = self._peers()
        count = PEERS_WHEN_UNREACHABLE if self._failures else PEERS_WHEN_QUIET
        chosen = self._random.sample(peers, min(count, len(peers)))
        with trio.move_on_after(PEER_DEADLINE_SECONDS):
            async with trio.open_nursery() as nursery:
                for peer in chosen:
                    nursery.start_soon(self._pull_from_peer, peer)
        self._settle_ready()

    async def _pull_from_peer(self, peer: str) -> None:
        try:
            complete = await pull_control(
                self._transport, peer, self._replica, self._receive
            )
        except (TransportError, ServiceError) as error:
            logger.debug("no control objects from %s: %s", peer, error)
            return
        self._filled_by_peer = self._filled_by_peer or complete

    def _settle_ready(self) -> None:
        if self._filled_by_peer and self._is_platform_silent():
            self.ready.set()
