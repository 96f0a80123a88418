"""The control feed, which keeps a process's copy of the control objects up to date.

One task watches the platform. Another one pulls from peers while the platform is
silent, so that an accepted change spreads even if the platform fails right afterwards.
"""

import random
from collections.abc import Callable
from typing import final

import msgspec
import trio

from goldcrestvane_common.control_exchange import ControlRoutes, pull_control
from goldcrestvane_common.control_replica import CONTROL_PREFIX, ControlReplica
from goldcrestvane_common.errors import ServiceError, Unavailable
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
INITIAL_BACKOFF_LIMIT_SECONDS = 0.8
MAX_BACKOFF_SECONDS = 3.0
PEER_PULL_INTERVAL_SECONDS = 1.0
PEER_PULL_JITTER_SECONDS = 0.2
PLATFORM_SILENCE_SECONDS = 2.0
PULL_PEERS_WHEN_SILENT = 1
PULL_PEERS_WHEN_FAILING = 2
PEER_PULL_TIMEOUT_SECONDS = 5.0
NOT_READY_RETRY_SECONDS = 0.5
"""Time after which to try again before the first complete copy."""

logger = get_logger("control")


@final
class ControlFeed:
    """Maintains a copy of all objects below `CONTROL_PREFIX` and reads from it.

    Attributes:
        ready: Set once a complete copy was received from the platform or, while the
            platform is down, from a peer that had one.
    """

    def __init__(
        self,
        *,
        objects: ObjectClient,
        transport: Transport,
        peers: Callable[[], list[str]],
        instance: InstanceId,
    ) -> None:
        """Creates an empty feed, which `run` fills.

        Args:
            objects: Client of the platform's object API.
            transport: Client for peers.
            peers: Returns the ``host:port`` of the other live processes.
            instance: Id of this process, used as the seed for random delays.
        """
        self.ready = trio.Event()
        self._objects = objects
        self._transport = transport
        self._peers = peers
        self._rng = random.Random(hash_text(instance))
        self._replica = ControlReplica()
        self._teams = TeamCache()
        self._changed = trio.Event()
        self._change_count = 0
        self._revision: Version | None = None
        self._failure_count = 0
        self._last_response_at = 0.0
        self._synced_from_peer = False
        self._routes = ControlRoutes(self._replica, self._receive, self.ready.is_set)

    async def run(self) -> None:
        """Keeps the copy up to date until cancelled."""
        self._last_response_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_platform)
            nursery.start_soon(self._follow_peers)

    def add_routes(self, router: Router) -> None:
        """Adds the routes on which peers and operators exchange control objects."""
        self._routes.add_routes(router)

    @property
    def change_count(self) -> int:
        """Number of updates that changed the copy."""
        return self._change_count

    async def wait_for_change(self, after: int) -> int:
        """Waits until `change_count` exceeds `after`, and returns it.

        To miss no change, pass a `change_count` that was read before the objects.
        """
        while self._change_count <= after:
            await self._changed.wait()
        return self._change_count

    def get_object(self, key: str) -> StoredObject | None:
        """Returns an object, or None if it does not exist or was deleted."""
        stored = self._replica.get(key)
        return None if stored is None or stored.deleted else stored

    def list_objects(self, prefix: str) -> list[StoredObject]:
        """Returns the existing objects below a prefix, sorted by key."""
        found = [
            stored
            for stored in self._replica.list_since(Version(0))
            if stored.key.startswith(prefix) and not stored.deleted
        ]
        return sorted(found, key=lambda stored: stored.key)

    def get_team(self, team: TeamId) -> TeamSettings | None:
        """Returns the settings in force, or None for an unknown or removed team.

        Raises:
            Unavailable: The team may be declared: no complete copy was received yet.
        """
        entry = self._teams.get(team)
        if entry is not None:
            return entry.settings
        if not self.ready.is_set():
            raise Unavailable(
                f"This process does not know yet whether team {team} is declared. "
                "Send the request again.",
                retry_after=NOT_READY_RETRY_SECONDS,
            )
        return None

    def get_team_version(self, team: TeamId) -> Version:
        """Returns the version of the settings in force; 0 for an unknown team."""
        entry = self._teams.get(team)
        return Version(0) if entry is None else entry.version

    def get_team_versions(self) -> dict[TeamId, Version]:
        """Returns the version in force of each team, removed ones included."""
        return self._teams.get_team_versions()

    def _receive(self, objects: list[StoredObject]) -> int:
        return self._apply_changes(self._replica.merge(objects))

    def _apply_changes(self, changes: list[StoredObject]) -> int:
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
                advanced = await self._poll_platform()
            except RevisionTooOld:
                logger.info(
                    "revision %s is no longer kept; listing again", self._revision
                )
                self._revision = None
                await trio.sleep(self._draw_backoff(0))
            except (
                ObjectStoreUnavailable,
                msgspec.DecodeError,
                UnicodeDecodeError,
            ) as error:
                await self._back_off(error)
            else:
                self._record_response()
                if not advanced:
                    await trio.sleep(self._draw_backoff(0))

    async def _poll_platform(self) -> bool:
        """Lists or watches once; returns whether the revision advanced."""
        if self._revision is None:
            listed = await self._objects.list(CONTROL_PREFIX)
            self._apply_changes(self._replica.merge_snapshot(listed))
            self._revision = listed.revision
            self.ready.set()
            return True
        since = self._revision
        response = await self._objects.watch(
            CONTROL_PREFIX, since=since, timeout=WATCH_TIMEOUT_SECONDS
        )
        self._receive(response.objects)
        # A server at a lower revision lacks writes that this process has seen. The
        # next poll then lists all objects instead of watching for changes.
        self._revision = response.revision if response.revision >= since else None
        return response.revision > since

    def _record_response(self) -> None:
        if self._failure_count:
            logger.info(
                "the platform answers again after %s failures", self._failure_count
            )
        self._failure_count = 0
        self._last_response_at = trio.current_time()

    async def _back_off(self, error: Exception) -> None:
        if not self._failure_count:
            logger.warning("the platform does not answer, asking peers: %s", error)
        delay = self._draw_backoff(self._failure_count)
        self._failure_count += 1
        self._update_ready()
        delay += getattr(error, "retry_after", None) or 0.0
        await trio.sleep(delay)

    def _draw_backoff(self, failures: int) -> float:
        """Returns a random delay, so that processes do not retry at the same time."""
        limit = INITIAL_BACKOFF_LIMIT_SECONDS * 2 ** min(failures, 10)
        return self._rng.uniform(MIN_BACKOFF_SECONDS, min(MAX_BACKOFF_SECONDS, limit))

    async def _follow_peers(self) -> None:
        await self._pull_from_peers()
        while True:
            jitter = self._rng.uniform(
                -PEER_PULL_JITTER_SECONDS, PEER_PULL_JITTER_SECONDS
            )
            await trio.sleep(PEER_PULL_INTERVAL_SECONDS + jitter)
            if self._is_platform_silent():
                await self._pull_from_peers()

    def _is_platform_silent(self) -> bool:
        age = trio.current_time() - self._last_response_at
        return self._failure_count > 0 or age > PLATFORM_SILENCE_SECONDS

    async def _pull_from_peers(self) -> None:
        peers = self._peers()
        count = (
            PULL_PEERS_WHEN_FAILING if self._failure_count else PULL_PEERS_WHEN_SILENT
        )
        chosen = self._rng.sample(peers, min(count, len(peers)))
        with trio.move_on_after(PEER_PULL_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for peer in chosen:
                    nursery.start_soon(self._pull_from_peer, peer)
        self._update_ready()

    async def _pull_from_peer(self, peer: str) -> None:
        try:
            complete = await pull_control(
                self._transport, peer, self._replica, self._receive
            )
        except (TransportError, ServiceError) as error:
            logger.debug("cannot pull control objects from %s: %s", peer, error)
            return
        self._synced_from_peer = self._synced_from_peer or complete

    def _update_ready(self) -> None:
        if self._synced_from_peer and self._is_platform_silent():
            self.ready.set()
