"""Serves the requests of entries for programs and calls of the owned shards."""

from collections.abc import AsyncIterator, Callable
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import AnswerIncomplete, NotFound, build_error
from goldcrestvane_common.ids import CallId, InstanceId, ProgramId, TeamId, locate_shard
from goldcrestvane_common.messages import (
    CallRequest,
    CallResponse,
    StreamDelta,
    StreamEnd,
    StreamHead,
    encode_json_line,
)
from goldcrestvane_common.paths import (
    CALL_PATH,
    PROGRAM_BEGIN_PATH,
    PROGRAM_END_PATH,
    PROGRAM_SHOW_PATH,
    STREAM_PATH,
)
from goldcrestvane_common.programs import (
    ProgramBeginRequest,
    ProgramEndRequest,
    ProgramShowRequest,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
    StreamResponse,
)
from goldcrestvane_common.settings import TeamSettings
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.owner.calls import Call, build_call
from goldcrestvane_daemon.owner.manager import ShardManager
from goldcrestvane_daemon.owner.records import CallEnded
from goldcrestvane_daemon.owner.refusals import (
    build_wrong_owner,
)
from goldcrestvane_daemon.owner.runner import CallRunner
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
    hash_request,
)


@final
class OwnerService:
    """The HTTP interface between entries and an owner.

    Attributes:
        running: Number of running calls, including those of shards handed over.
    """

    def __init__(
        self,
        *,
        manager: ShardManager,
        runner: CallRunner,
        get_team: Callable[[TeamId], TeamSettings | None],
        owner: InstanceId,
    ) -> None:
        self._manager = manager
        self._runner = runner
        self._get_team = get_team
        self._owner = owner
        self._nursery: trio.Nursery | None = None
        self.running = 0

    def add_routes(self, router: Router) -> None:
        """Adds the routes for the requests that entries forward."""
        router.add("POST", CALL_PATH, self._serve_call)
        router.add("POST", STREAM_PATH, self._serve_stream)
        router.add("POST", PROGRAM_BEGIN_PATH, self._serve_begin)
        router.add("POST", PROGRAM_END_PATH, self._serve_end)
        router.add("POST", PROGRAM_SHOW_PATH, self._serve_show)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the nursery of the calls until cancelled.

        Calls run in this nursery rather than in the tasks of their connections, so they
        continue if a connection is lost.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def _find_shard(self, team: TeamId, program: ProgramId) -> OwnedShard:
        shard = locate_shard(team, program, shard_count=self._manager.shard_count)
        owned = self._manager.owned.get(shard)
        if (
            owned is None
            or not owned.admitting
            or owned.journal.ownership_lost.is_set()
        ):
            raise build_wrong_owner(shard)
        return owned

    def _find_team(self, team: TeamId) -> TeamSettings:
        settings = self._get_team(team)
        if settings is None:
            raise NotFound(
                f"Team {team} is not declared. Declare it in the settings.",
                field="team",
            )
        return settings

    async def _serve_begin(self, request: Request) -> Response:
        begin = request.decode(ProgramBeginRequest)
        team = self._find_team(begin.team)
        kind = team.programs.get(begin.kind)
        if kind is None:
            raise NotFound(
                f"Team {begin.team} declares no program kind {begin.kind!r}. "
                "Declare it in the settings.",
                field="kind",
            )
        shard = self._find_shard(begin.team, begin.program)
        return JsonResponse(value=await shard.begin_program(begin, kind))

    async def _serve_end(self, request: Request) -> Response:
        end = request.decode(ProgramEndRequest)
        shard = self._find_shard(end.team, end.program)
        return JsonResponse(value=await shard.end_program(end, reason="caller"))

    async def _serve_show(self, request: Request) -> Response:
        query = request.decode(ProgramShowRequest)
        shard = self._find_shard(query.team, query.program)
        return JsonResponse(value=shard.show_program(query))

    async def _start_call(
        self, request: CallRequest, *, stream: bool
    ) -> CallEnded | Execution:
        """Starts a call unless it is a repeated one.

        Returns:
            The recorded end or the running execution of a repeated call, or the new
            execution.
        """
        shard = self._find_shard(request.team, request.program)
        team = self._find_team(request.team)
        request_hash = hash_request(request)
        result = await shard.wait_for_sequence(request, request_hash)
        if result is not None:
            return result
        call = build_call(shard, request, request_hash, team=team, stream=stream)
        execution = Execution(request_hash)
        shard.executions[call.program.key, request.sequence] = execution
        assert self._nursery is not None
        self._nursery.start_soon(self._run_call, shard, call, execution)
        return execution

    async def _run_call(
        self, shard: OwnedShard, call: Call, execution: Execution
    ) -> None:
        self.running += 1
        try:
            await self._runner.run(shard, call, execution)
        finally:
            self.running -= 1

    async def _serve_call(self, request: Request) -> Response:
        call = request.decode(CallRequest)
        result = await self._start_call(call, stream=False)
        if isinstance(result, CallEnded):
            return JsonResponse(value=self._build_replay(result))
        await result.wait()
        assert result.answer is not None
        answer = CallResponse(
            result.answer,
            result.target,
            self._owner,
            result.usage,
            finish_reason=result.finish_reason,
        )
        return JsonResponse(value=answer)

    def _build_replay(self, record: CallEnded) -> CallResponse:
        if record.error is not None:
            raise build_error(record.error)
        return CallResponse(
            record.answer,
            record.target,
            self._owner,
            record.usage,
            replayed=True,
            finish_reason=record.finish_reason,
        )

    async def _serve_stream(self, request: Request) -> Response:
        call = request.decode(CallRequest)
        offset = call.resume.offset if call.resume else 0
        result = await self._start_call(call, stream=True)
        if isinstance(result, CallEnded):
            _check_stream_id(call, result.call)
            chunks = self._encode_replay(result, offset)
            return StreamResponse(chunks=chunks, content_type="application/x-ndjson")
        await result.wait_for_first_text()
        if result.error is not None and not result.length:
            raise result.error
        _check_stream_id(call, result.call)
        chunks = self._encode_frames(result, offset)
        return StreamResponse(chunks=chunks, content_type="application/x-ndjson")

    async def _encode_replay(
        self, record: CallEnded, offset: int
    ) -> AsyncIterator[bytes]:
        answer = self._build_replay(record)
        text = msgspec.json.decode(answer.value, type=str)
        head = StreamHead(answer.target, self._owner, record.call, replayed=True)
        yield encode_json_line(head)
        yield encode_json_line(StreamDelta(offset, text[offset:]))
        yield encode_json_line(StreamEnd(answer.usage, answer.finish_reason))

    async def _encode_frames(
        self, execution: Execution, offset: int
    ) -> AsyncIterator[bytes]:
        async for frame in execution.read_frames(owner=self._owner, offset=offset):
            yield encode_json_line(frame)


def _check_stream_id(request: CallRequest, call: CallId) -> None:
    """Prevents the texts of two attempts from being combined into one answer.

    Raises:
        AnswerIncomplete: The caller has received text of another attempt.
    """
    resume = request.resume
    if resume is not None and resume.offset and resume.stream_id != call:
        raise AnswerIncomplete(
            "The stream was lost with its owner and its target. Send the call again.",
            retry_after=0.0,
        )
