"""Engine memory: release orders of owners, and a sweep for what they missed.

The sidecar is the only process that speaks to its engine. It checks the epoch of each
order itself, since some engines ignore fencing numbers.
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
    """Frees sessions of the engine beside this sidecar."""

    def __init__(
        self,
        *,
        engine: EngineClient,
        gate: Gate,
        transport: Transport,
        read_map: Callable[[], ShardMap],
        shard_count: int,
    ) -> None:
        self._engine = engine
        self._gate = gate
        self._transport = transport
        self._read_map = read_map
        self._shard_count = shard_count
        self._seen_before: set[str] = set()
        self._next_query = 0

    def add_routes(self, router: Router) -> None:
        """Serves release orders of owners."""
        router.add("POST", RELEASE_PATH, self._serve_release)

    async def _serve_release(self, request: Request) -> Response:
        await self._release(request.decode(ReleaseRequest))
        return JsonResponse(value=Accepted())

    async def _release(self, order: ReleaseRequest) -> None:
        if order.epoch < self._gate.get_epoch(order.shard):
            raise WrongOwner(
                f"Got epoch {order.epoch} of shard {order.shard}; a later owner rules.",
                retry_after=0.1,
            )
        session = f"{order.team}/{order.program}"
        try:
            reply = await self._engine.release_session(session, fence=order.epoch)
        except (ConnectFailed, ExchangeBroken) as error:
            raise Unavailable(
                f"The engine does not answer: {error}. Order it again.", retry_after=1.0
            ) from error
        if reply.status >= 400 and reply.status != STALE_FENCE_STATUS:
            raise Unavailable(
                f"The engine answered {reply.status}. Order it again.", retry_after=1.0
            )
        self._gate.release_program(order.team, order.program)

    async def run(self) -> None:
        """Sweeps until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_SECONDS)
            try:
                await self._sweep()
            except (ConnectFailed, ExchangeBroken, msgspec.DecodeError) as error:
                logger.debug("sessions cannot be swept: %s", error)

    async def _sweep(self) -> None:
        """Asks owners about sessions that stood in two listings in a row."""
        listing = await self._engine.list_sessions()
        held = set(listing.sessions)
        candidates = sorted(held & self._seen_before)
        self._seen_before = held
        if not candidates:
            return
        start = self._next_query % len(candidates)
        rotated = candidates[start:] + candidates[:start]
        chosen = rotated[:MAX_QUERIES_PER_SWEEP]
        self._next_query = start + len(chosen)
        for session in chosen:
            await self._check_session(session)

    async def _check_session(self, session: str) -> None:
        team, _, program = session.partition("/")
        query = ProgramShowRequest(TeamId(team), ProgramId(program))
        shard = locate_shard(query.team, query.program, shard_count=self._shard_count)
        owner = self._find_owner(shard)
        if owner is None or not await self._has_ended(owner, query):
            return
        logger.info("freeing session %s of an ended program", session)
        order = ReleaseRequest(query.team, query.program, shard, owner.epoch)
        try:
            await self._release(order)
        except ServiceError as error:
            logger.info("session %s stays for now: %s", session, error)

    def _find_owner(self, shard: ShardId) -> ShardOwner | None:
        shards = self._read_map().shards
        return shards[shard] if shard < len(shards) else None

    async def _has_ended(self, owner: ShardOwner, query: ProgramShowRequest) -> bool:
        """Returns whether the owner says that the program has ended or never began."""
        try:
            reply = await self._transport.send(
                "POST", owner.address, PROGRAM_SHOW_PATH, value=query
            )
            view = reply.decode(ProgramView)
        except (ConnectFailed, ExchangeBroken):
            return False
        except ServiceError as error:
            return error.status == 404 or isinstance(error, ProgramEnded)
        return view.state is ProgramState.ENDED
