"""Recovery of the calls that a former owner had started.

A repeatable call stays started until its caller retries it. The new owner then joins
the attempt that may still be running (`owner.runner`). For an at-most-once call, the
new owner asks the sidecar to which the call was sent. That sidecar reports the outcome
or, if it never received the call, refuses to run it from then on. If the sidecar cannot
report the outcome, the outcome remains unknown and the call is never run again.
"""

from typing import final

import trio

from goldcrestvane_common.errors import ErrorBody, OutcomeUnknown, ServiceError
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    CloseCallRequest,
    CloseCallResponse,
)
from goldcrestvane_daemon.owner import records
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)
from goldcrestvane_daemon.owner.target_connector import TargetConnector, TargetDirectory

CLOSE_TIMEOUT_SECONDS = 5.0

logger = get_logger("recovery")


@final
class CallRecovery:
    """Resolves the started at-most-once calls of a shard that was taken over."""

    def __init__(
        self, *, connector: TargetConnector, directory: TargetDirectory
    ) -> None:
        self._connector = connector
        self._directory = directory

    async def resolve_unfinished_calls(self, shard: OwnedShard) -> None:
        """Resolves all started at-most-once calls concurrently."""
        started = [
            record
            for program in shard.state.programs.values()
            for record in program.started_calls.values()
            if record.once
        ]
        async with trio.open_nursery() as nursery:
            for record in started:
                nursery.start_soon(self._resolve_call, shard, record)

    async def _resolve_call(
        self, shard: OwnedShard, record: records.CallStarted
    ) -> None:
        try:
            response = await self._close_call(record)
        except ServiceError as error:
            logger.warning("the outcome of call %s is unknown", record.call)
            shard.append(_build_unknown_end(record, error.to_body()))
            return
        shard.append(_build_resolved(record, response))

    async def _close_call(self, record: records.CallStarted) -> CloseCallResponse:
        target = self._directory.find_instance(record.target)
        if target is None:
            raise OutcomeUnknown(
                f"Sidecar {record.target} is gone. Look the result up in the tool."
            )
        request = CloseCallRequest(record.call, record.incarnation)
        with trio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            return await self._connector.close_call(target, request)
        raise OutcomeUnknown(
            f"Sidecar {record.target} does not respond. Look the result up in the tool."
        )


def _build_unknown_end(
    record: records.CallStarted, error: ErrorBody
) -> records.CallEnded:
    return records.CallEnded(
        team=record.team,
        program=record.program,
        sequence=record.sequence,
        request_hash=record.request_hash,
        call=record.call,
        target=record.target,
        error=error,
    )


def _build_resolved(
    record: records.CallStarted, response: CloseCallResponse
) -> records.CallRolledBack | records.CallEnded:
    if response.answer is not None:
        return records.CallEnded(
            team=record.team,
            program=record.program,
            sequence=record.sequence,
            request_hash=record.request_hash,
            call=record.call,
            target=record.target,
            answer=response.answer.value,
            usage=response.answer.usage,
        )
    if response.error is not None and response.error.outcome.value == "unknown":
        return _build_unknown_end(record, response.error)
    return records.CallRolledBack(record.team, record.program, record.sequence)
