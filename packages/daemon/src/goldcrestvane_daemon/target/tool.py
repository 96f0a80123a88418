"""Client of a tool service, which sends each call exactly once."""

from typing import final

import msgspec

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    Outcome,
    OutcomeUnknown,
    ServiceError,
    TargetDied,
    Unavailable,
)
from goldcrestvane_common.messages import (
    DispatchRequest,
    TokenUsage,
)
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Transport
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.target.one_call import ONE_CALL_HEADERS

CALL_HEADER = "goldcrestvane-call"


@final
class ToolClient:
    """Client of this sidecar's tool service."""

    def __init__(self, transport: Transport, peer: str) -> None:
        self._transport = transport
        self._peer = peer

    async def run_call(self, request: DispatchRequest, execution: Execution) -> None:
        """Sends a tool call once and finishes the execution with its response.

        Raises:
            Unavailable: The tool cannot be reached; the call did not run.
            OutcomeUnknown: The call may have run and must not be repeated.
            AnswerIncomplete: The call may have run and may be repeated.
            TargetDied: The call may have run, and the tool died.
        """
        try:
            response = await self._transport.send(
                "POST",
                self._peer,
                f"/v1/{request.operation}",
                content=bytes(request.tool),
                headers={CALL_HEADER: request.call, **ONE_CALL_HEADERS},
                timeout=request.deadline_seconds,
                allow_unframed=True,
            )
        except ConnectFailed as error:
            raise Unavailable(
                f"The tool refused the connection: {error}. Send the call again.",
                retry_after=1.0,
            ) from error
        except ExchangeBroken as error:
            raise await self._build_broken_exchange(request, error) from error
        if response.status >= 500:
            raise _build_lost_response(
                request, f"The tool returned status {response.status}."
            )
        if not response.is_framed and not _is_whole(response.body):
            raise _build_lost_response(request, "The tool's response was cut off.")
        execution.finish(_validate_json(response.body), TokenUsage())

    async def _build_broken_exchange(
        self, request: DispatchRequest, error: ExchangeBroken
    ) -> ServiceError:
        """Returns the error of a call whose exchange broke."""
        if not await self._has_died():
            return _build_lost_response(
                request, f"The tool's response was lost: {error}"
            )
        outcome = Outcome.INCOMPLETE if request.idempotent else Outcome.UNKNOWN
        return TargetDied(f"The tool died during the call: {error}", outcome=outcome)

    async def _has_died(self) -> bool:
        """Returns whether the tool refuses connections."""
        try:
            await self._transport.send("GET", self._peer, "/", timeout=1.0)
        except ConnectFailed:
            return True
        except ExchangeBroken:
            return False
        return False


def _build_lost_response(request: DispatchRequest, reason: str) -> ServiceError:
    if request.idempotent:
        return AnswerIncomplete(f"{reason} Send the call again.", retry_after=0.5)
    return OutcomeUnknown(f"{reason} Look the result up in the tool.")


def _is_whole(body: bytes) -> bool:
    """Returns whether a body that ended with its connection is a whole JSON value.

    The beginning of a number is a number, too, so none counts as whole.
    """
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    return isinstance(value, bool) or not isinstance(value, int | float)


def _validate_json(body: bytes) -> msgspec.Raw:
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise OutcomeUnknown(
            f"The tool's response is not JSON: {error}. Look the result up in the tool."
        ) from error
    return msgspec.Raw(body)
