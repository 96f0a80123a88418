"""What a new owner does about calls that its predecessor had started.

A call that may be repeated stays started until its caller repeats it; the new owner
then joins the attempt that may still run (`owner.calls`). For one that must not be
repeated, the sidecar it was sent to tells its end, or forbids it when it never came
there. When that sidecar cannot tell, the outcome stays unknown and the call is never
run again.
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

CLOSE_WAIT_SECONDS = 5.0

logger = get_logger("recovery")


@final
class CallRecovery:
    """Settles the claims of a shard that was taken over."""

    def __init__(
        self, *, connector: TargetConnector, directory: TargetDirectory
    ) -> None:
        self._connector = connector
        self._directory = directory

    async def resolve_unfinished_calls(self, shard: OwnedShard) -> None:
        """Settles all claims at the same time."""
        started = [
            record
            for program in shard.state.programs.values()
            for record in program.started_calls.values()
            if record.once
        ]
        async with trio.open_nursery() as nursery:
            for record in started:
                nursery.start_soon(self._settle_call, shard, record)

    async def _settle_call(
        self, shard: OwnedShard, record: records.CallStarted
    ) -> None:
        try:
            result = await self._ask_sidecar(record)
        except ServiceError as error:
            logger.warning("outcome of call %s is unknown", record.call)
            shard.append(_build_unknown(record, error.to_body()))
            return
        shard.append(_build_settled(record, result))

    async def _ask_sidecar(self, record: records.CallStarted) -> CloseCallResponse:
        target = self._directory.find_instance(record.target)
        if target is None:
            raise OutcomeUnknown(
                f"Sidecar {record.target} is gone. Look the result up in the tool."
            )
        request = CloseCallRequest(record.call, record.incarnation)
        with trio.move_on_after(CLOSE_WAIT_SECONDS):
            return await self._connector.close_call(target, request)
        raise OutcomeUnknown(
            f"Sidecar {record.target} does not answer. Look the result up in the tool."
        )


def _build_unknown(record: records.CallStarted, error: ErrorBody) -> records.CallEnded:
    return records.CallEnded(
        team=record.team,
        program=record.program,
        sequence=record.sequence,
        request_hash=record.request_hash,
        call=record.call,
        target=record.target,
        error=error,
    )


def _build_settled(
    record: records.CallStarted, result: CloseCallResponse
) -> records.CallRolledBack | records.CallEnded:
    if result.answer is not None:
        return records.CallEnded(
            team=record.team,
            program=record.program,
            sequence=record.sequence,
            request_hash=record.request_hash,
            call=record.call,
            target=record.target,
            answer=result.answer.value,
            usage=result.answer.usage,
        )
    if result.error is not None and result.error.outcome.value == "unknown":
        return _build_unknown(record, result.error)
    return records.CallRolledBack(record.team, record.program, record.sequence)
