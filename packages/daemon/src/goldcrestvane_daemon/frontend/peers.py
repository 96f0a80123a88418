"""Connections to other frontends, which help when this one is partly cut off.

A frontend that cannot reach members of the ledger sends its requests through another
frontend. A frontend that gets no answer from the platform's store fetches another
frontend's copy of the objects. The ledger's members tell frontends about each other.
"""

from collections.abc import Awaitable, Callable, Sequence
from functools import singledispatchmethod
from typing import Any, final

import trio

from goldcrestvane_common.ids import DomainId, Fingerprint, Version, hash_text
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.crash_tracker import CrashTracker, TrackedDeaths
from goldcrestvane_daemon.frontend.metrics import RELAY_SECONDS
from goldcrestvane_daemon.frontend.peer_messages import (
    FetchDeaths,
    FetchObjects,
    FrontendRequest,
    FrontendResponse,
    KnownDeaths,
    ObjectsCopy,
    Relay,
    Relayed,
    ReportAccepted,
    ReportDeaths,
)
from goldcrestvane_daemon.frontend.relay_selection import RelaySelection
from goldcrestvane_daemon.ledger.frames import (
    PeerConnection,
    PeerUnreachable,
    serve_frames,
)
from goldcrestvane_daemon.ledger.messages import Frontend
from goldcrestvane_daemon.platform.store import ObjectKind
from goldcrestvane_daemon.tasks import Task, run_supervised

MAX_PEERS = 4
"""Number of frontends to stay connected to. They forward reports to the others."""

REQUEST_TIMEOUT_SECONDS = 1.0
COPY_TIMEOUT_SECONDS = 0.5
"""Time for which the copy of another frontend is awaited."""

RELAY_MARGIN_SECONDS = 0.2

KNOWN_SECONDS = 8.0
"""Time for which a frontend counts as running after a member has named it. Each response of
a member names only some of them."""

DRAIN_SECONDS = 1.5
"""Time for which a replaced connection stays open for the responses that it awaits."""

MAX_FETCHED_DEATHS = 1000
"""Maximum number of requests in a response about deaths, which has about 100 KB then."""

RECONNECT_CHECK_SECONDS = 1.0
"""Time after which a frontend notices that a peer has connected again."""

logger = get_logger("peers")

CallMember = Callable[[str, Any, float], Awaitable[Any]]
GetCopy = Callable[[FetchObjects], ObjectsCopy]


@final
class FrontendPeers:
    """Connections to other frontends, and handlers for their requests."""

    def __init__(
        self, local_address: str, crash_tracker: CrashTracker, nursery: trio.Nursery
    ) -> None:
        self._local_address = local_address
        self._crash_tracker = crash_tracker
        self._nursery = nursery
        self._peers: dict[str, tuple[PeerConnection, trio.CancelScope]] = {}
        self._call_member: CallMember | None = None
        self._get_copy: GetCopy | None = None
        self._relays = RelaySelection()
        self._named_at: dict[Frontend, float] = {}
        self._asked_count = 0

    def set_handlers(self, call_member: CallMember, get_copy: GetCopy) -> None:
        """Sets the functions that serve requests of other frontends.

        Args:
            call_member: Sends a request to a member of the ledger by its address.
            get_copy: Returns the state of this frontend's copy of a kind.
        """
        self._call_member = call_member
        self._get_copy = get_copy

    def connect_seeds(self, addresses: Sequence[str]) -> None:
        """Connects to the frontends in the settings.

        `update_frontends` replaces them once the ledger has announced others.
        """
        self._connect([Frontend(each, DomainId("")) for each in addresses], "")

    def update_frontends(self, frontends: list[Frontend], domain: str) -> None:
        """Connects to up to `MAX_PEERS` frontends, those of other domains first.

        Args:
            frontends: Frontends that a member of the ledger has named. Those that were
                named before count as well for some time.
            domain: Failure domain of this frontend.
        """
        now = trio.current_time()
        self._named_at.update(dict.fromkeys(frontends, now))
        self._named_at = {
            frontend: at
            for frontend, at in self._named_at.items()
            if at > now - KNOWN_SECONDS
        }
        self._connect(list(self._named_at), domain)

    def _connect(self, frontends: list[Frontend], domain: str) -> None:
        others = [each for each in frontends if each.address != self._local_address]
        if not others:
            return
        # The order differs between frontends, so that the relays share the work.
        others.sort(
            key=lambda each: (
                each.domain == domain,
                hash_text(f"{self._local_address} {each.address}"),
            )
        )
        wanted = {each.address for each in others[:MAX_PEERS]}
        for address in set(self._peers) - wanted:
            _, scope = self._peers.pop(address)
            self._relays.forget(address)
            self._nursery.start_soon(self._drain, scope)
        for address in wanted - set(self._peers):
            peer = PeerConnection(address, FrontendResponse)
            scope = trio.CancelScope()
            self._peers[address] = (peer, scope)
            self._nursery.start_soon(self._run_peer, peer, scope)

    async def _drain(self, scope: trio.CancelScope) -> None:
        """Closes a connection that gets no new requests, after a time for its last ones."""
        await trio.sleep(DRAIN_SECONDS)
        scope.cancel()

    async def _run_peer(self, peer: PeerConnection, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(peer.run)
                nursery.start_soon(
                    run_supervised,
                    Task.DEATH_FETCH,
                    self._fetch_deaths_on_connect,
                    peer,
                )

    async def _fetch_deaths_on_connect(self, peer: PeerConnection) -> None:
        """Fetches the deaths that a peer knows each time that it connects.

        A frontend that has just started, or was cut off, has not got the reports.
        """
        while True:
            connection = peer.connected
            await connection.wait()
            try:
                answer = await peer.call(FetchDeaths(), timeout=REQUEST_TIMEOUT_SECONDS)
            except PeerUnreachable as error:
                logger.info(
                    "a frontend does not tell the deaths that it knows",
                    extra={"peer": peer.address, "reason": str(error)},
                )
                await trio.sleep(RECONNECT_CHECK_SECONDS)
                continue
            for each in answer.deaths if isinstance(answer, KnownDeaths) else ():
                self._record_deaths(each)
            while peer.connected is connection:
                await trio.sleep(RECONNECT_CHECK_SECONDS)

    def _record_deaths(self, deaths: TrackedDeaths) -> None:
        """Records deaths that a peer knows, and forwards what is new."""
        if self._crash_tracker.record_deaths(
            deaths.fingerprint, deaths.targets, deaths.seconds_left, deaths.cleared
        ):
            self.report_deaths(deaths.fingerprint, deaths.targets, deaths.cleared)

    def list_addresses(self) -> list[str]:
        """Returns the addresses of the frontends that this one connects to."""
        return list(self._peers)

    def _list_connected(self) -> list[PeerConnection]:
        return [peer for peer, _ in self._peers.values() if peer.is_connected]

    async def relay(self, address: str, request: Any, timeout: float) -> Any:
        """Sends a request to a member of the ledger through another frontend.

        Raises:
            PeerUnreachable: No frontend relayed a response in time.
        """
        give_up = trio.current_time() + timeout
        connected = {peer.address: peer for peer in self._list_connected()}
        ranked = self._relays.rank(connected, address, trio.current_time())
        for relay in ranked:
            seconds_left = give_up - trio.current_time()
            if seconds_left <= 0:
                break
            answer = await self._relay_through(
                connected[relay], Relay(address, request, seconds_left)
            )
            if isinstance(answer, Relayed) and answer.response is not None:
                return answer.response
        raise PeerUnreachable(f"No frontend reaches {address} either.")

    async def _relay_through(self, peer: PeerConnection, message: Relay) -> Any:
        """Returns the response of one relay; None if there is none."""
        started = trio.current_time()
        answer = None
        failed = False
        self._relays.start(peer.address)
        try:
            answer = await peer.call(
                message, timeout=message.timeout_seconds + RELAY_MARGIN_SECONDS
            )
            failed = answer == Relayed(None)
        except PeerUnreachable as error:
            failed = True
            logger.info("a frontend does not relay", extra={"reason": str(error)})
        finally:
            now = trio.current_time()
            RELAY_SECONDS.observe(now - started)
            self._relays.end(
                peer.address,
                message.address,
                seconds=now - started,
                failed=failed,
                now=now,
            )
        return answer

    async def fetch_copy(
        self, kind: ObjectKind, since: Version, digest: str
    ) -> ObjectsCopy | None:
        """Returns the state of another frontend's copy of a kind.

        The connected frontends are asked in turn. None if the next one does not answer.

        Args:
            kind: Kind of the objects.
            since: Revision of this frontend's copy. A newer copy comes with objects.
            digest: Hash of this frontend's copy.
        """
        connected = self._list_connected()
        if not connected:
            return None
        self._asked_count += 1
        peer = connected[self._asked_count % len(connected)]
        answer = None
        try:
            with trio.move_on_after(COPY_TIMEOUT_SECONDS):
                answer = await peer.call(
                    FetchObjects(kind.value, since, digest),
                    timeout=REQUEST_TIMEOUT_SECONDS,
                )
        except PeerUnreachable as error:
            logger.info("a frontend does not answer", extra={"reason": str(error)})
        return answer if isinstance(answer, ObjectsCopy) else None

    def report_deaths(
        self,
        fingerprint: Fingerprint,
        targets: Sequence[str],
        cleared: Sequence[str] = (),
    ) -> None:
        """Reports targets that died with a request to the connected frontends.

        Args:
            fingerprint: Identifies the request.
            targets: The targets.
            cleared: Targets that the request did not crash.
        """
        report = ReportDeaths(fingerprint, list(targets), list(cleared))
        for peer in self._list_connected():
            self._nursery.start_soon(
                run_supervised, Task.DEATH_REPORT, self._send_report, peer, report
            )

    async def _send_report(self, peer: PeerConnection, report: ReportDeaths) -> None:
        try:
            await peer.call(report, timeout=REQUEST_TIMEOUT_SECONDS)
        except PeerUnreachable as error:
            logger.warning(
                "reporting a death to a frontend failed",
                extra={"peer": peer.address, "reason": str(error)},
            )

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection of another frontend."""
        await serve_frames(stream, FrontendRequest, self.handle, failure=Relayed(None))

    @singledispatchmethod
    async def handle(self, request: object) -> FrontendResponse:
        """Answers one request of another frontend."""
        raise TypeError(f"got {type(request).__name__}, expected a frontend's request")

    @handle.register
    async def _(self, request: Relay) -> FrontendResponse:
        if self._call_member is None:
            return Relayed(None)
        try:
            return Relayed(
                await self._call_member(
                    request.address, request.request, request.timeout_seconds
                )
            )
        except PeerUnreachable:
            return Relayed(None)

    @handle.register
    async def _(self, request: FetchObjects) -> FrontendResponse:
        if self._get_copy is None:
            return ObjectsCopy(None)
        return self._get_copy(request)

    @handle.register
    async def _(self, request: ReportDeaths) -> FrontendResponse:
        # Each frontend forwards a new report once, so that it reaches all of them.
        self._record_deaths(
            TrackedDeaths(request.fingerprint, request.targets, cleared=request.cleared)
        )
        return ReportAccepted()

    @handle.register
    async def _(self, request: FetchDeaths) -> FrontendResponse:
        return KnownDeaths(self._crash_tracker.list_recent(MAX_FETCHED_DEATHS))
