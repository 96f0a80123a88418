"""The instances of the deployment: the platform's list, corrected by peers and probes.

The list is updated with a delay. An instance that begins to leave therefore announces
this to its peers (`Membership.begin_leaving`), and an owner that does not answer probes
counts as dead before the list drops it.
"""

import random
from collections.abc import Callable, Mapping
from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import InstanceId, ServiceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    Instance,
    InstanceList,
    InstanceState,
    PingResponse,
    Role,
)
from goldcrestvane_common.paths import (
    PEER_STATE_PATH,
    PING_PATH,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Transport

LIST_INTERVAL_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.5
PROBES_UNTIL_DEAD = 3
ANNOUNCE_TIMEOUT_SECONDS = 1.0

logger = get_logger("membership")


@final
class Membership:
    """This process's view of the instances.

    Attributes:
        local_instance: The instance that this process is.
        incarnation: Id that changes with each start of this process.
        changed: Event that is set, and replaced by a new one, at each change.
        change_count: Number of changes so far.
        ready: Set once the list has been read.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        instance_list_address: str,
        local_instance: Instance,
        incarnation: str,
        rng: random.Random,
    ) -> None:
        self._transport = transport
        self._instance_list_address = instance_list_address
        self._rng = rng
        self._listed: dict[InstanceId, Instance] = {}
        self._leaving: dict[InstanceId, str] = {}
        self._dead: set[InstanceId] = set()
        self._probes: dict[InstanceId, trio.CancelScope] = {}
        self._periods: dict[InstanceId, float] = {}
        self._probe_nursery: trio.Nursery | None = None
        self.local_instance = local_instance
        self.incarnation = incarnation
        self.changed = trio.Event()
        self.change_count = 0
        self.ready = trio.Event()

    def add_routes(self, router: Router) -> None:
        """Adds the routes for probes and for the announcements of peers."""
        router.add("GET", PING_PATH, self._serve_ping)
        router.add("POST", PEER_STATE_PATH, self._serve_announcement)

    async def run(self) -> None:
        """Polls the platform's list and probes the watched peers."""
        async with trio.open_nursery() as nursery:
            self._probe_nursery = nursery
            nursery.start_soon(self._announce_start)
            while True:
                await self._poll_list()
                jitter = self._rng.uniform(0.8, 1.2)
                await trio.sleep(LIST_INTERVAL_SECONDS * jitter)

    async def _announce_start(self) -> None:
        """Clears a leaving state that a previous incarnation announced to the peers."""
        await self.ready.wait()
        await self.announce_state()

    async def _poll_list(self) -> None:
        try:
            response = await self._transport.send(
                "GET", self._instance_list_address, "/v1/instances", timeout=1.0
            )
            instances = response.decode(InstanceList).instances
        except (ConnectFailed, ExchangeBroken) as error:
            logger.debug("cannot read the instance list: %s", error)
            return
        listed = {item.instance: item for item in instances}
        self.ready.set()
        if listed != self._listed:
            self._listed = listed
            self._dead &= set(listed)
            for removed in set(self._leaving) - set(listed):
                del self._leaving[removed]
            self._notify()

    def _notify(self) -> None:
        self.change_count += 1
        self.changed.set()
        self.changed = trio.Event()

    def find_instance(self, instance: InstanceId) -> Instance | None:
        """Returns an instance with its current state, or None if it is not listed."""
        if instance == self.local_instance.instance:
            return self.local_instance
        found = self._listed.get(instance)
        if found is not None and self._is_leaving(found):
            return msgspec.structs.replace(found, state=InstanceState.LEAVING)
        return found

    def _is_leaving(self, instance: Instance) -> bool:
        return (
            instance.state is InstanceState.LEAVING
            or instance.instance in self._leaving
        )

    def is_listed_as_leaving(self) -> bool:
        """Returns whether the platform's list shows the local instance as leaving."""
        found = self._listed.get(self.local_instance.instance)
        return found is not None and found.state is InstanceState.LEAVING

    def is_dead(self, instance: InstanceId) -> bool:
        """Returns whether an instance failed its probes or is not listed."""
        if instance == self.local_instance.instance:
            return False
        return instance in self._dead or instance not in self._listed

    def list_live(self, role: Role) -> list[Instance]:
        """Returns the instances of a role that accept new work, local one included."""
        others = [
            item
            for item in self._listed.values()
            if item.instance != self.local_instance.instance
            and not self._is_leaving(item)
        ]
        if self.local_instance.state is InstanceState.LIVE:
            others.append(self.local_instance)
        return [
            item
            for item in others
            if item.role is role and item.instance not in self._dead
        ]

    def list_owner_candidates(self) -> list[Instance]:
        """Returns the sidecars that are not leaving, including those considered dead.

        All processes must compute the same successors, so the result does not depend
        on the probes of this process.
        """
        candidates = [
            item
            for item in self._listed.values()
            if item.role is Role.SIDECAR
            and item.instance != self.local_instance.instance
            and not self._is_leaving(item)
        ]
        if (
            self.local_instance.state is InstanceState.LIVE
            and self.local_instance.role is Role.SIDECAR
        ):
            candidates.append(self.local_instance)
        return candidates

    def list_targets(self, service: ServiceId) -> list[Instance]:
        """Returns the sidecars of a service's targets that accept new work."""
        return [
            item for item in self.list_live(Role.SIDECAR) if item.service == service
        ]

    def list_peer_addresses(self) -> list[str]:
        """Returns the addresses of all other instances that are not dead."""
        return [
            item.address
            for item in self._listed.values()
            if item.instance != self.local_instance.instance
            and item.instance not in self._dead
        ]

    def watch_peers(self, periods: Mapping[InstanceId, float]) -> None:
        """Replaces the set of probed instances.

        Args:
            periods: Seconds between two probes of each instance.
        """
        assert self._probe_nursery is not None
        self._periods = dict(periods)
        for removed in set(self._probes) - set(periods):
            self._probes.pop(removed).cancel()
            if removed in self._dead:
                self._dead.discard(removed)
                self._notify()
        for added in set(periods) - set(self._probes):
            scope = trio.CancelScope()
            self._probes[added] = scope
            self._probe_nursery.start_soon(self._probe_peer, added, scope)

    async def _probe_peer(self, instance: InstanceId, scope: trio.CancelScope) -> None:
        failures = 0
        with scope:
            while instance in self._periods:
                found = self._listed.get(instance)
                if found is not None:
                    is_alive = await self._ping(found)
                    if scope.cancel_called:
                        return
                    failures = 0 if is_alive else failures + 1
                    self._update_liveness(instance, failures)
                await trio.sleep(self._periods[instance])

    def _update_liveness(self, instance: InstanceId, failures: int) -> None:
        if failures == 0 and instance in self._dead:
            logger.info("%s answers probes again", instance)
            self._dead.discard(instance)
            self._notify()
        if failures >= PROBES_UNTIL_DEAD and instance not in self._dead:
            logger.warning("%s does not answer probes", instance)
            self._dead.add(instance)
            self._notify()

    async def _ping(self, peer: Instance) -> bool:
        try:
            with trio.fail_after(PROBE_TIMEOUT_SECONDS):
                response = await self._transport.send("GET", peer.address, PING_PATH)
        except (ConnectFailed, ExchangeBroken, trio.TooSlowError):
            return False
        return response.status == 200

    async def _serve_ping(self, request: Request) -> Response:
        return JsonResponse(value=self._build_ping())

    async def _serve_announcement(self, request: Request) -> Response:
        ping = request.decode(PingResponse)
        if ping.state is InstanceState.LEAVING:
            self._leaving[ping.instance] = ping.incarnation
            logger.info("%s is leaving", ping.instance)
        elif self._leaving.get(ping.instance) != ping.incarnation:
            self._leaving.pop(ping.instance, None)
        self._notify()
        return JsonResponse(value=self._build_ping())

    def _build_ping(self) -> PingResponse:
        return PingResponse(
            self.local_instance.instance, self.incarnation, self.local_instance.state
        )

    async def announce_state(self) -> None:
        """Announces the local instance's state to all peers that can be reached."""
        async with trio.open_nursery() as nursery:
            for address in self.list_peer_addresses():
                nursery.start_soon(self._announce_to, address)

    async def _announce_to(self, address: str) -> None:
        with trio.move_on_after(ANNOUNCE_TIMEOUT_SECONDS):
            try:
                await self._transport.send(
                    "POST", address, PEER_STATE_PATH, value=self._build_ping()
                )
            except (ConnectFailed, ExchangeBroken):
                return

    async def begin_leaving(self, on_leaving: Callable[[], None]) -> None:
        """Marks the local instance as leaving and announces it to the peers.

        Args:
            on_leaving: Called after the change of state and before the announcements.
        """
        self.local_instance = msgspec.structs.replace(
            self.local_instance, state=InstanceState.LEAVING
        )
        on_leaving()
        self._notify()
        await self.announce_state()
