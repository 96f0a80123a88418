"""Calls that are ready to start: their checks and their dispatch messages."""

import time
from dataclasses import dataclass
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import NotFound, RequestTooLarge
from goldcrestvane_common.ids import CallId, Fingerprint, TeamId, hash_text
from goldcrestvane_common.messages import (
    CallRequest,
    DispatchRequest,
    Message,
    ModelRequest,
)
from goldcrestvane_common.settings import (
    Budget,
    HistoryMode,
    ServiceKind,
    ServiceSettings,
    TeamSettings,
)
from goldcrestvane_daemon.owner.budgets import get_remaining_seconds
from goldcrestvane_daemon.owner.outcomes import MAX_RECORDED_BYTES
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)
from goldcrestvane_daemon.owner.state import Program


@final
@dataclass(frozen=True, kw_only=True)
class Call:
    """A call that is ready to start.

    Attributes:
        request: Request that the entry forwarded.
        request_hash: Hash of the request.
        program: Program that issued the call.
        service: Settings of the service to call.
        team_budget: Limits of all programs of the team together.
        cache_weight: Weight of cache reuse relative to latency, set by the team.
        messages: Complete prompt of a model call.
        deadline: Deadline in seconds on trio's clock.
        stream: Whether the caller receives the answer as a stream.
    """

    request: CallRequest
    request_hash: str
    program: Program
    service: ServiceSettings
    team_budget: Budget
    cache_weight: float
    messages: list[Message]
    deadline: float
    stream: bool

    @property
    def at_most_once(self) -> bool:
        """Whether the call must not be run again if its outcome is unknown."""
        if self.service.kind is ServiceKind.MODEL:
            return False
        return not self.service.operations[self.request.operation].idempotent


def build_call(
    shard: OwnedShard,
    request: CallRequest,
    request_hash: str,
    *,
    team: TeamSettings,
    stream: bool,
) -> Call:
    """Returns a call after checking it against settings, budgets and size limits.

    Raises:
        NotFound: The team declares no such service or operation.
        BudgetExceeded: A time budget is exhausted.
        RequestTooLarge: The new messages are too large for the stored history.
    """
    program = shard.get_program((request.team, request.program))
    service = _find_service(team, request)
    budget_seconds = get_remaining_seconds(shard.state, program, now=time.time())
    timeout_seconds = service.timeout_seconds
    if request.kind is ServiceKind.TOOL:
        timeout_seconds = service.operations[request.operation].timeout_seconds
    seconds = min(request.deadline_seconds, budget_seconds, timeout_seconds)
    _check_message_sizes(program, request)
    return Call(
        request=request,
        request_hash=request_hash,
        program=program,
        service=service,
        team_budget=team.budget,
        cache_weight=team.cache_weight,
        messages=_compose_prompt(program, request),
        deadline=trio.current_time() + seconds,
        stream=stream and request.kind is ServiceKind.MODEL,
    )


def _check_message_sizes(program: Program, request: CallRequest) -> None:
    """Rejects messages that are too large for a journal record.

    Raises:
        RequestTooLarge: The new messages exceed `MAX_RECORDED_BYTES`.
    """
    if request.model is None or program.history_mode is not HistoryMode.OWNER:
        return
    size = len(msgspec.json.encode(request.model.messages))
    if size > MAX_RECORDED_BYTES:
        raise RequestTooLarge(
            f"The new messages take {size} bytes, and the history accepts at most "
            f"{MAX_RECORDED_BYTES} bytes per call. Send them in several calls.",
            field="messages",
        )


def _find_service(team: TeamSettings, request: CallRequest) -> ServiceSettings:
    service = team.services.get(request.service)
    if service is None or service.kind is not request.kind:
        raise NotFound(
            f"Team {request.team} declares no {request.kind.value} service "
            f"{request.service!r}. Declare it in the settings.",
            field="service",
        )
    is_tool = request.kind is ServiceKind.TOOL
    if is_tool and request.operation not in service.operations:
        raise NotFound(
            f"Service {request.service!r} declares no operation "
            f"{request.operation!r}. Declare it in the settings.",
            field="operation",
        )
    return service


def _compose_prompt(program: Program, request: CallRequest) -> list[Message]:
    if request.model is None:
        return []
    if program.history_mode is HistoryMode.OWNER:
        return program.history + request.model.messages
    return request.model.messages


def build_dispatch(
    shard: OwnedShard, call: Call, call_id: CallId, *, max_tokens: int
) -> DispatchRequest:
    """Returns the message to the sidecar beside the target.

    The caller sets the incarnation once the target is known.

    Args:
        shard: Shard of the program.
        call: The call.
        call_id: ID of the attempt.
        max_tokens: Maximum number of tokens of a model's answer.
    """
    request = call.request
    model = None
    if request.model is not None:
        model = ModelRequest(call.messages, max_tokens)
    return DispatchRequest(
        call=call_id,
        incarnation="",
        shard=shard.shard,
        epoch=shard.journal.epoch,
        team=request.team,
        program=request.program,
        service=request.service,
        kind=request.kind,
        deadline_seconds=max(0.0, call.deadline - trio.current_time()),
        priority=call.program.priority,
        attained_tokens=call.program.spent_tokens,
        fingerprint=build_fingerprint(request.team, request, call.messages),
        idempotent=not call.at_most_once,
        operation=request.operation,
        model=model,
        tool=request.tool,
    )


def build_fingerprint(
    team: TeamId, request: CallRequest, messages: list[Message]
) -> Fingerprint:
    """Returns a hash of team and content that is the same if a request is resent."""
    content = (team, request.service, request.operation, messages, request.tool)
    return Fingerprint(f"{hash_text(msgspec.json.encode(content).decode()):016x}")
