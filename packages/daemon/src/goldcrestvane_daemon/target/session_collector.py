"""Frees the engine's sessions on request of owners and sweeps for missed ones.

The sidecar is the only process that connects to its engine. It checks the epoch of each
release request itself, since some engines ignore fencing numbers.
"""

from collections.abc import Callable
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import (
    ProgramEnded,
    ServiceError,
    Unavailable,
    WrongOwner,
)
from goldcrestvane_common.ids import ProgramId, ShardId, TeamId, locate_shard
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    Accepted,
    ReleaseRequest,
    ShardMap,
    ShardOwner,
)
from goldcrestvane_common.paths import (
    PROGRAM_SHOW_PATH,
    RELEASE_PATH,
)
from goldcrestvane_common.programs import (
    ProgramShowRequest,
    ProgramState,
    ProgramView,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Transport
from goldcrestvane_daemon.gate import Gate
from goldcrestvane_daemon.target.engine import EngineClient

SWEEP_INTERVAL_SECONDS = 3.0
MAX_QUERIES_PER_SWEEP = 32
STALE_FENCE_STATUS = 409

logger = get_logger("sessions")


@final
class SessionCollector:
    """Frees sessions of this sidecar's engine."""

    def __init__(
        self,
        *,
        engine: EngineClient,
        gate: Gate,
        transport: Transport,
        get_map: Callable[[], ShardMap],
        shard_count: int,
    ) -> None:
        self._engine = engine
        self._gate = gate
        self._transport = transport
        self._get_map = get_map
        self._shard_count = shard_count
        self._previous_sessions: set[str] = set()
        self._next_query = 0

    def add_routes(self, router: Router) -> None:
        """Adds the route for release requests of owners."""
        router.add("POST", RELEASE_PATH, self._serve_release)

    async def _serve_release(self, request: Request) -> Response:
        await self._release(request.decode(ReleaseRequest))
        return JsonResponse(value=Accepted())

    async def _release(self, release: ReleaseRequest) -> None:
        if release.epoch < self._gate.get_epoch(release.shard):
            raise WrongOwner(
                f"Got epoch {release.epoch} of shard {release.shard}, which has "
                "a newer owner.",
                retry_after=0.1,
            )
        session = f"{release.team}/{release.program}"
        try:
            response = await self._engine.release_session(session, fence=release.epoch)
        except (ConnectFailed, ExchangeBroken) as error:
            raise Unavailable(
                f"The engine does not respond: {error}. Send it again.", retry_after=1.0
            ) from error
        if response.status >= 400 and response.status != STALE_FENCE_STATUS:
            raise Unavailable(
                f"The engine returned status {response.status}. Send it again.",
                retry_after=1.0,
            )
        self._gate.release_program(release.team, release.program)

    async def run(self) -> None:
        """Sweeps until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_SECONDS)
            try:
                await self._sweep()
            except (ConnectFailed, ExchangeBroken, msgspec.DecodeError) as error:
                logger.debug("sweeping sessions failed: %s", error)

    async def _sweep(self) -> None:
        """Frees ended sessions among those in two consecutive listings."""
        listing = await self._engine.list_sessions()
        sessions = set(listing.sessions)
        candidates = sorted(sessions & self._previous_sessions)
        self._previous_sessions = sessions
        if not candidates:
            return
        start = self._next_query % len(candidates)
        rotated = candidates[start:] + candidates[:start]
        batch = rotated[:MAX_QUERIES_PER_SWEEP]
        self._next_query = start + len(batch)
        for session in batch:
            await self._check_session(session)

    async def _check_session(self, session: str) -> None:
        team, _, program = session.partition("/")
        query = ProgramShowRequest(TeamId(team), ProgramId(program))
        shard = locate_shard(query.team, query.program, shard_count=self._shard_count)
        owner = self._find_owner(shard)
        if owner is None or not await self._has_ended(owner, query):
            return
        logger.info("freeing session %s of an ended program", session)
        release = ReleaseRequest(query.team, query.program, shard, owner.epoch)
        try:
            await self._release(release)
        except ServiceError as error:
            logger.info("session %s was not freed: %s", session, error)

    def _find_owner(self, shard: ShardId) -> ShardOwner | None:
        shards = self._get_map().shards
        return shards[shard] if shard < len(shards) else None

    async def _has_ended(self, owner: ShardOwner, query: ProgramShowRequest) -> bool:
        """Returns whether the owner reports that the program ended or never began."""
        try:
            response = await self._transport.send(
                "POST", owner.address, PROGRAM_SHOW_PATH, value=query
            )
            view = response.decode(ProgramView)
        except (ConnectFailed, ExchangeBroken):
            return False
        except ServiceError as error:
            return error.status == 404 or isinstance(error, ProgramEnded)
        return view.state is ProgramState.ENDED
