"""Keeps a stream at the service and software version that began it.

Events of two versions do not fit together, and targets do not check this. The origin of a
stream is therefore fixed with its first event, and the ledger has it by then, so that any
frontend can resume the stream at the right version.
"""

from typing import final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.call_context import CallContext
from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable
from goldcrestvane_daemon.frontend.refusals import LedgerDown, UnknownOrigin
from goldcrestvane_daemon.frontend.turn_recorder import (
    LEDGER_RETRY_SECONDS,
    TurnRecorder,
)
from goldcrestvane_daemon.targets import Target, TargetTable
from goldcrestvane_daemon.tasks import Task, run_supervised

UNKNOWN_ORIGIN_RETRY_SECONDS = 0.3
"""Retry delay for streams of an unknown origin: the ledger may answer again by then."""

MAX_RECORDING_WAIT_SECONDS = 0.5
"""Time for which a first event waits for the ledger. Without a record a stream cannot be
resumed by its client, and is not resumed wrongly."""

MAX_STREAM_SECONDS = 30.0
MAX_STREAM_TIMEOUTS = 3.0
"""Time from the first event of a stream until its client no longer takes it up: several
timeouts of its route, since a client has a few attempts, and 30 s at least."""

logger = get_logger("turn")


@final
class StreamOrigins:
    """Finds and records the origins of streams."""

    def __init__(
        self, turns: TurnRecorder, targets: TargetTable, nursery: trio.Nursery
    ) -> None:
        self._turns = turns
        self._targets = targets
        self._nursery = nursery

    def plan_record(self, call: CallContext) -> None:
        """Sets the origin that is recorded with the turn's reservation, if certain."""
        if call.records_origin:
            call.recorded_origin = self._targets.get_only_origin(call.service)

    def set_resumed_origin(self, call: CallContext) -> None:
        """Sets the origin of a stream that the client resumes.

        Raises:
            UnknownOrigin: No record names the origin, and several are possible: the
                targets that began the stream may have left, perhaps before this process
                started.
        """
        if not call.is_resumption or call.origin is not None:
            return
        seconds = max(
            MAX_STREAM_SECONDS, MAX_STREAM_TIMEOUTS * call.route.timeout_seconds
        )
        call.origin = self._targets.get_lasting_origin(call.service, seconds)
        if call.origin is None:
            raise UnknownOrigin(
                f"No record tells which version of service {call.service} began stream "
                f"{call.headers.resumes}; send the call from its start.",
                retry_after=UNKNOWN_ORIGIN_RETRY_SECONDS,
            )

    async def start_recording(self, call: CallContext, target: Target) -> trio.Event:
        """Starts to record the target's origin before the call is sent to it.

        Returns:
            Set once the record is durable.

        Raises:
            LedgerDown: The ledger has another origin, which could not be replaced.
        """
        recorded = trio.Event()
        if not call.records_origin or call.recorded_origin == target.origin:
            recorded.set()
            return recorded
        replaces = call.recorded_origin is not None
        call.recorded_origin = target.origin
        call.origin_changes += 1
        if replaces:
            await self._replace(call)
            recorded.set()
        else:
            self._nursery.start_soon(
                run_supervised, Task.TURN, self._record, call, recorded
            )
        return recorded

    async def _replace(self, call: CallContext) -> None:
        try:
            await self._turns.record_origin(call)
        except LedgerUnavailable as error:
            raise LedgerDown(
                f"The ledger cannot record the version of the stream: {error}",
                retry_after=LEDGER_RETRY_SECONDS,
            ) from error

    async def _record(self, call: CallContext, recorded: trio.Event) -> None:
        try:
            await self._turns.record_origin(call)
        except LedgerUnavailable as error:
            logger.warning(
                "the version of a stream is not durable",
                extra={"call": call.headers.call, "reason": str(error)},
            )
        else:
            recorded.set()

    async def fix_origin(
        self, call: CallContext, target: Target, recorded: trio.Event
    ) -> None:
        """Fixes the origin of a stream before its first event is forwarded."""
        if call.origin is None:
            with trio.move_on_after(MAX_RECORDING_WAIT_SECONDS):
                await recorded.wait()
            call.origin = target.origin
