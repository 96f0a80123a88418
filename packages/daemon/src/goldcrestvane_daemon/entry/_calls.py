"""Validates callers' requests and converts them to messages for the owner."""

from dataclasses import dataclass
from typing import final

import msgspec

from goldcrestvane_common.errors import InvalidRequest, NotFound
from goldcrestvane_common.ids import ProgramId, ServiceId
from goldcrestvane_common.messages import (
    CallRequest,
)
from goldcrestvane_common.programs import (
    ProgramBeginRequest,
    ProgramEndRequest,
    ProgramShowRequest,
)
from goldcrestvane_common.routing import (
    Request,
)
from goldcrestvane_common.settings import Budget, ServiceKind, ServiceSettings
from goldcrestvane_daemon.entry._bodies import BeginBody, ChatBody, EndBody
from goldcrestvane_daemon.entry._fields import (
    check_limit,
    decode_body,
    parse_name,
    parse_program,
    quote_for_error,
)
from goldcrestvane_daemon.entry._headers import (
    PROGRAM_HEADER,
    AuthenticatedTeam,
    parse_call_headers,
)
from goldcrestvane_daemon.entry._limits import EntryLimits

TOOLS_PATH = "/v1/tools/"
PROGRAMS_PATH = "/v1/programs/"


@final
@dataclass(frozen=True, kw_only=True)
class ChatCall:
    """A model call; `stream` tells whether the caller asked for a streamed answer."""

    request: CallRequest
    stream: bool


@final
@dataclass(frozen=True, kw_only=True)
class ToolCall:
    """A tool call; `idempotent` tells whether it may run more than once."""

    request: CallRequest
    idempotent: bool


def build_chat_call(
    request: Request, caller: AuthenticatedTeam, limits: EntryLimits
) -> ChatCall:
    """Builds the model call that a request asks for.

    Raises:
        InvalidRequest: A header or a field of the body is invalid.
        NotFound: The team has no such model service.
    """
    headers = parse_call_headers(request, limits)
    body: ChatBody = decode_body(request.body, ChatBody)
    service = _find_service(caller, body.model, kind=ServiceKind.MODEL, field="model")
    call = CallRequest(
        team=caller.team,
        program=headers.program,
        sequence=headers.sequence,
        abandoned=headers.abandoned,
        service=ServiceId(body.model),
        kind=ServiceKind.MODEL,
        deadline_seconds=headers.seconds or service.timeout_seconds,
        model=body.to_model_request(),
    )
    return ChatCall(request=call, stream=body.stream)


def build_tool_call(
    request: Request, caller: AuthenticatedTeam, limits: EntryLimits
) -> ToolCall:
    """Builds the tool call that a request asks for.

    Raises:
        InvalidRequest: A header, the path or the body is invalid.
        NotFound: The team has no such tool service or operation.
    """
    names = request.path.removeprefix(TOOLS_PATH).split("/")
    if len(names) != 2:
        raise InvalidRequest(
            f"Got the path {quote_for_error(request.path)}; send "
            f"{TOOLS_PATH}SERVICE/OPERATION.",
            field="path",
        )
    headers = parse_call_headers(request, limits)
    service = _find_service(caller, names[0], kind=ServiceKind.TOOL, field="service")
    operation = parse_name(names[1], field="operation")
    settings = service.operations.get(operation)
    if settings is None:
        raise NotFound(
            f"Service {names[0]} has no operation {operation}; it has "
            f"{_list_names(service.operations)}.",
            field="operation",
        )
    call = CallRequest(
        team=caller.team,
        program=headers.program,
        sequence=headers.sequence,
        abandoned=headers.abandoned,
        service=ServiceId(names[0]),
        kind=ServiceKind.TOOL,
        deadline_seconds=headers.seconds or settings.timeout_seconds,
        operation=operation,
        tool=_validate_json(request.body),
    )
    return ToolCall(request=call, idempotent=settings.idempotent)


def build_program_begin(
    request: Request, caller: AuthenticatedTeam
) -> ProgramBeginRequest:
    """Builds the message that begins a program.

    Raises:
        InvalidRequest: A header or a field of the body is invalid.
        NotFound: The team declares no such program kind.
    """
    body: BeginBody = decode_body(request.body, BeginBody)
    kind = parse_name(body.kind, field="kind")
    program = _read_program(request, body.program)
    if kind not in caller.settings.programs:
        raise NotFound(
            f"Team {caller.team} declares no program kind {kind}; it has "
            f"{_list_names(caller.settings.programs)}.",
            field="kind",
        )
    _check_budget(body.budget)
    return ProgramBeginRequest(
        team=caller.team, program=program, kind=kind, budget=body.budget
    )


def build_program_end(request: Request, caller: AuthenticatedTeam) -> ProgramEndRequest:
    """Builds the message that ends a program.

    Raises:
        InvalidRequest: A header or a field of the body is invalid.
    """
    body: EndBody = decode_body(request.body or b"{}", EndBody)
    return ProgramEndRequest(
        team=caller.team, program=_read_program(request, body.program)
    )


def build_program_query(
    request: Request, caller: AuthenticatedTeam
) -> ProgramShowRequest:
    """Builds the query for a program's state.

    Raises:
        InvalidRequest: The path holds no valid program.
    """
    text = request.path.removeprefix(PROGRAMS_PATH)
    return ProgramShowRequest(
        team=caller.team, program=parse_program(text, field="program")
    )


def _find_service(
    caller: AuthenticatedTeam, name: str, *, kind: ServiceKind, field: str
) -> ServiceSettings:
    parse_name(name, field=field)
    service = caller.settings.services.get(ServiceId(name))
    if service is not None and service.kind is kind:
        return service
    names = [
        service_id
        for service_id, settings in caller.settings.services.items()
        if settings.kind is kind
    ]
    raise NotFound(
        f"Team {caller.team} has no {kind.value} service {name}; it has "
        f"{_list_names(names)}.",
        field=field,
    )


def _list_names(names: "list[ServiceId] | dict[str, object]") -> str:
    return ", ".join(sorted(names)) or "none"


def _validate_json(body: bytes) -> msgspec.Raw:
    """Returns a body as raw JSON after validating it; an empty body means null."""
    if not body:
        return msgspec.Raw(b"null")
    decode_body(body, object)
    return msgspec.Raw(body)


def _read_program(request: Request, in_body: str | None) -> ProgramId:
    in_header = request.get_header(PROGRAM_HEADER)
    if in_header is None and in_body is None:
        raise InvalidRequest(
            f"The program is missing; send it as header {PROGRAM_HEADER} or as field "
            "program.",
            field="program",
        )
    if None not in (in_header, in_body) and in_header != in_body:
        raise InvalidRequest(
            f"Header {PROGRAM_HEADER} and field program differ; send one of them.",
            field="program",
        )
    if in_header is not None:
        return parse_program(in_header, field=PROGRAM_HEADER)
    return parse_program(in_body or "", field="program")


def _check_budget(budget: Budget) -> None:
    for name in budget.__struct_fields__:
        check_limit(getattr(budget, name), field=f"budget.{name}")
