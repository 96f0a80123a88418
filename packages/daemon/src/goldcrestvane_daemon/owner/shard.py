"""An owned shard with its journal, its programs and their running calls."""

import time
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import (
    ErrorBody,
    InvalidRequest,
    NotFound,
    Outcome,
    Overloaded,
    SequenceConflict,
)
from goldcrestvane_common.ids import (
    CallId,
    InstanceId,
    ShardId,
    get_parent_program,
    hash_text,
)
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    CallRequest,
)
from goldcrestvane_common.programs import (
    ProgramBeginRequest,
    ProgramEndRequest,
    ProgramShowRequest,
    ProgramView,
)
from goldcrestvane_common.settings import ProgramSettings
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.owner import records
from goldcrestvane_daemon.owner.budgets import check_depth, tighten_budget
from goldcrestvane_daemon.owner.journal import Journal
from goldcrestvane_daemon.owner.refusals import build_program_ended, build_wrong_owner
from goldcrestvane_daemon.owner.shard_records import ShardRecords, Witness
from goldcrestvane_daemon.owner.snapshot import build_snapshot, prune_ended_programs
from goldcrestvane_daemon.owner.state import (
    Program,
    ProgramKey,
    apply_record,
)

MAX_EARLY_CALLS = 8
ABANDONED_REQUEST_HASH = "abandoned"
ENDED_PROGRAM_RETENTION_SECONDS = 600.0

logger = get_logger("shard")


@final
class OwnedShard(ShardRecords):
    """A shard that this sidecar owns, from the takeover until it loses ownership.

    Attributes:
        owner: This instance.
        executions: Running calls by program and sequence.
        admitting: Whether the shard accepts new calls. A handover sets it to false.
    """

    def __init__(
        self,
        shard: ShardId,
        owner: InstanceId,
        journal: Journal,
        *,
        witness: Witness | None = None,
    ) -> None:
        """Creates a shard that has yet to be taken over by `open`.

        Args:
            shard: Number of the shard.
            owner: This instance.
            journal: Journal of the shard.
            witness: Holds records while the platform is unavailable. If None, records
                are not replicated.
        """
        super().__init__(shard, journal, witness)
        self.owner = owner
        self.executions: dict[tuple[ProgramKey, int], Execution] = {}
        self.admitting = True
        self._progress_events: dict[ProgramKey, trio.Event] = {}

    async def open(self) -> None:
        """Takes over the shard and replays its journal.

        Raises:
            OwnershipLost: Another instance took over the shard at the same time.
            ObjectStoreUnavailable: The platform does not respond.
        """
        for record in await self.journal.open():
            apply_record(record, self.state)
        if self._witness is not None:
            missing = await self._witness.collect(self.journal)
            if missing:
                logger.info(
                    "shard %s recovered %s records from witnesses",
                    self.shard,
                    len(missing),
                )
                self.append(*missing)
        self.journal.set_snapshot_builder(self._build_snapshot)

    def _build_snapshot(self) -> list[records.Record]:
        prune_ended_programs(
            self.state, before=time.time() - ENDED_PROGRAM_RETENTION_SECONDS
        )
        return build_snapshot(self.state)

    def stop_admitting(self) -> None:
        """Redirects new and waiting calls to the next owner.

        Running calls continue.
        """
        self.admitting = False
        for key in list(self._progress_events):
            self.notify(key)

    def get_program(self, key: ProgramKey) -> Program:
        """Returns a program of this shard.

        Raises:
            NotFound: No such program has begun, or it was pruned after its end.
        """
        program = self.state.programs.get(key)
        if program is None:
            raise NotFound(
                f"Program {key[1]} of team {key[0]} does not exist. Begin it first.",
                field="program",
            )
        return program

    async def begin_program(
        self, request: ProgramBeginRequest, settings: ProgramSettings
    ) -> ProgramView:
        """Begins a program. Beginning an open program again has no effect.

        Raises:
            ProgramEnded: The program or its parent has ended.
            InvalidRequest: The program is open with another kind.
            BudgetExceeded: The depth budget of an ancestor is exceeded.
        """
        key = (request.team, request.program)
        existing = self.state.programs.get(key)
        if existing is None:
            self._check_parent(key)
            record = records.ProgramBegun(
                team=request.team,
                program=request.program,
                kind=request.kind,
                time=time.time(),
                budget=tighten_budget(settings.budget, request.budget),
                priority=settings.priority,
                history=settings.history,
            )
            await self.persist(record)
            return self.show_program(ProgramShowRequest(*key))
        if not existing.is_open:
            raise build_program_ended(key)
        if existing.kind != request.kind:
            raise InvalidRequest(
                f"Program {key[1]} has kind {existing.kind!r}, not {request.kind!r}. "
                "Choose another ID.",
                field="kind",
            )
        await self.persist_queued()
        return self.show_program(ProgramShowRequest(*key))

    def _check_parent(self, key: ProgramKey) -> None:
        parent = get_parent_program(key[1])
        if parent is None:
            return
        program = self.get_program((key[0], parent))
        if not program.is_open:
            raise build_program_ended(program.key)
        check_depth(self.state, program)

    async def end_program(
        self, request: ProgramEndRequest, *, reason: str
    ) -> ProgramView:
        """Ends a program and its sub-agents.

        Ending an ended program again has no effect.
        """
        key = (request.team, request.program)
        program = self.get_program(key)
        if program.is_open:
            record = records.ProgramEnded(
                request.team, request.program, time.time(), reason
            )
            self.cancel_calls(key)
            self.notify_tree(key)
            await self.persist(record)
        else:
            await self.persist_queued()
        return self.show_program(ProgramShowRequest(*key))

    def show_program(self, query: ProgramShowRequest) -> ProgramView:
        """Returns the public view of a program."""
        program = self.get_program((query.team, query.program))
        return ProgramView(
            team=query.team,
            program=query.program,
            kind=program.kind,
            state=program.state,
            owner=self.owner,
            shard=self.shard,
            epoch=self.journal.epoch,
            next_sequence=program.next_sequence,
            budget=program.budget,
            spent_tokens=program.spent_tokens,
            spent_calls=program.spent_calls,
            turns=program.next_sequence - 1,
            history=program.history,
        )

    async def wait_for_sequence(
        self, request: CallRequest, request_hash: str
    ) -> records.CallEnded | Execution | None:
        """Waits until the earlier calls of a program have ended.

        Returns:
            The recorded end or the running execution of a repeated call, or None
            if the call may start now.

        Raises:
            SequenceConflict: The sequence number belongs to another call or is too far
                ahead.
            ProgramEnded: The program accepts no more calls.
            Overloaded: The deadline passed before the earlier calls had ended.
            WrongOwner: The shard is being handed over.
        """
        key = (request.team, request.program)
        with trio.move_on_after(request.deadline_seconds):
            while True:
                if not self.admitting:
                    raise build_wrong_owner(self.shard)
                existing = self._find_call(key, request, request_hash)
                if existing is not None:
                    return existing
                program = self.get_program(key)
                if not program.is_open:
                    raise build_program_ended(key)
                if request.sequence == program.next_sequence:
                    return None
                if self._abandon_call(program, request):
                    continue
                _check_early(program, request)
                await self._progress_events.setdefault(key, trio.Event()).wait()
        raise Overloaded(
            f"Call {program.next_sequence} has not ended. Send it before call "
            f"{request.sequence}, or abandon it with the header "
            f"Goldcrestvane-Abandoned: {program.next_sequence}.",
            field="sequence",
            retry_after=1.0,
        )

    def _abandon_call(self, program: Program, request: CallRequest) -> bool:
        """Ends the next call without running it if its caller has abandoned it.

        A call that this or a former owner has started is left alone and ends by itself.

        Returns:
            Whether the call was ended.
        """
        sequence = program.next_sequence
        is_started = sequence in program.started_calls
        is_running = (program.key, sequence) in self.executions
        if sequence > request.abandoned or is_started or is_running:
            return False
        self.append(
            records.CallEnded(
                team=request.team,
                program=request.program,
                sequence=sequence,
                request_hash=ABANDONED_REQUEST_HASH,
                call=CallId(""),
                target=InstanceId(""),
                error=ErrorBody(
                    kind=SequenceConflict.kind,
                    outcome=Outcome.REFUSED_FINAL,
                    message=f"Call {sequence} was abandoned by its caller and not run.",
                    field="sequence",
                ),
            )
        )
        self.notify(program.key)
        return True

    def _find_call(
        self, key: ProgramKey, request: CallRequest, request_hash: str
    ) -> records.CallEnded | Execution | None:
        program = self.get_program(key)
        existing = program.ended_calls.get(request.sequence) or self.executions.get(
            (key, request.sequence)
        )
        if existing is None and request.sequence < program.next_sequence:
            raise SequenceConflict(
                f"Call {request.sequence} has ended and its answer is not stored. "
                f"The next call is {program.next_sequence}.",
                field="sequence",
            )
        if existing is not None and existing.request_hash != request_hash:
            raise SequenceConflict(
                f"Sequence {request.sequence} belongs to another call. "
                f"The next call is {program.next_sequence}.",
                field="sequence",
            )
        return existing

    def cancel_calls(self, key: ProgramKey) -> None:
        """Cancels the repeatable calls of a program and its sub-agents."""
        for program in self.state.list_tree(key):
            for sequence, started in program.started_calls.items():
                execution = self.executions.get((program.key, sequence))
                if execution is not None and not started.once:
                    execution.scope.cancel()

    def notify(self, key: ProgramKey) -> None:
        """Wakes the calls of a program that wait for earlier calls."""
        event = self._progress_events.pop(key, None)
        if event is not None:
            event.set()

    def notify_tree(self, key: ProgramKey) -> None:
        """Wakes the waiting calls of a program and its sub-agents."""
        for program in self.state.list_tree(key):
            self.notify(program.key)


def hash_request(request: CallRequest) -> str:
    """Returns a hash of a call's content, not including its deadline."""
    content = (
        request.service,
        request.operation,
        request.model,
        request.tool,
    )
    return f"{hash_text(msgspec.json.encode(content).decode()):016x}"


def _check_early(program: Program, request: CallRequest) -> None:
    if request.sequence > program.next_sequence + MAX_EARLY_CALLS:
        raise SequenceConflict(
            f"Sequence {request.sequence} is too far ahead. The next call is "
            f"{program.next_sequence}, and at most {MAX_EARLY_CALLS} calls may arrive "
            "early.",
            field="sequence",
        )
