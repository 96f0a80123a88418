"""One owned shard: its journal, its programs and the calls that run in them."""

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
ABANDONED_HASH = "abandoned"
RETENTION_SECONDS = 600.0

logger = get_logger("shard")


@final
class OwnedShard(ShardRecords):
    """A shard that this sidecar owns, from take-over until it is deposed.

    Attributes:
        executions: Running calls by program and sequence.
        admitting: Whether new calls are taken; false once the shard is handed over.
    """

    def __init__(
        self,
        shard: ShardId,
        owner: InstanceId,
        journal: Journal,
        *,
        witness: Witness | None = None,
    ) -> None:
        """Creates a shard; `open` takes it over.

        Args:
            shard: Number of the shard.
            owner: This instance.
            journal: Its journal.
            witness: Holds records while the platform cannot; None does without.
        """
        super().__init__(shard, journal, witness)
        self.owner = owner
        self.executions: dict[tuple[ProgramKey, int], Execution] = {}
        self.admitting = True
        self._progress: dict[ProgramKey, trio.Event] = {}

    async def open(self) -> None:
        """Takes the shard over and replays its journal.

        Raises:
            OwnershipLost: Another instance took the shard over at the same time.
            ObjectStoreUnavailable: The platform does not answer.
        """
        for record in await self.journal.open():
            apply_record(record, self.state)
        if self._witness is not None:
            missing = await self._witness.collect(self.journal)
            if missing:
                logger.info("shard %s gets %s records back", self.shard, len(missing))
                self.append(*missing)
        self.journal.set_snapshot(self._build_snapshot)

    def _build_snapshot(self) -> list[records.Record]:
        prune_ended_programs(self.state, before=time.time() - RETENTION_SECONDS)
        return build_snapshot(self.state)

    def stop_admitting(self) -> None:
        """Sends new and waiting calls to the next owner; running ones go on."""
        self.admitting = False
        for key in list(self._progress):
            self.notify(key)

    def get_program(self, key: ProgramKey) -> Program:
        """Returns a program of this shard.

        Raises:
            NotFound: It was never begun.
        """
        program = self.state.programs.get(key)
        if program is None:
            raise NotFound(
                f"Program {key[1]} of team {key[0]} is not known. Begin it first.",
                field="program",
            )
        return program

    async def begin_program(
        self, request: ProgramBeginRequest, settings: ProgramSettings
    ) -> ProgramView:
        """Begins a program; beginning the same one again changes nothing.

        Raises:
            ProgramEnded: It has ended, or its parent has.
            InvalidRequest: It is under way with another kind.
            BudgetExceeded: The parent may not have sub-agents this deep.
        """
        key = (request.team, request.program)
        known = self.state.programs.get(key)
        if known is None:
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
        if not known.is_open:
            raise build_program_ended(key)
        if known.kind != request.kind:
            raise InvalidRequest(
                f"Program {key[1]} runs as {known.kind!r}, not {request.kind!r}. "
                "Choose another id.",
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
        """Ends a program with its sub-agents; ending it again changes nothing."""
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
        """Returns the state of one program."""
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
        """Waits until a call may start.

        Returns:
            The recorded end or the running execution of a repeated call, or None
            when the call may start now.

        Raises:
            SequenceConflict: The number belongs to another call, or is too far ahead.
            ProgramEnded: The program takes no more calls.
            Overloaded: The deadline passed before the earlier calls had ended.
        """
        key = (request.team, request.program)
        with trio.move_on_after(request.deadline_seconds):
            while True:
                if not self.admitting:
                    raise build_wrong_owner(self.shard)
                found = self._find_call(key, request, request_hash)
                if found is not None:
                    return found
                program = self.get_program(key)
                if not program.is_open:
                    raise build_program_ended(key)
                if request.sequence == program.next_sequence:
                    return None
                if self._abandon_call(program, request):
                    continue
                _check_early(program, request)
                await self._progress.setdefault(key, trio.Event()).wait()
        raise Overloaded(
            f"Call {program.next_sequence} has not ended; send it before call "
            f"{request.sequence}, or give it up with the header "
            f"Goldcrestvane-Abandoned: {program.next_sequence}.",
            field="sequence",
            retry_after=1.0,
        )

    def _abandon_call(self, program: Program, request: CallRequest) -> bool:
        """Ends the next call unrun when its caller has given it up.

        A call that has been started here or by a former owner ends by itself.
        """
        sequence = program.next_sequence
        started = sequence in program.started_calls
        running = (program.key, sequence) in self.executions
        if sequence > request.abandoned or started or running:
            return False
        self.append(
            records.CallEnded(
                team=request.team,
                program=request.program,
                sequence=sequence,
                request_hash=ABANDONED_HASH,
                call=CallId(""),
                target=InstanceId(""),
                error=ErrorBody(
                    kind=SequenceConflict.kind,
                    outcome=Outcome.REFUSED_FINAL,
                    message=f"Call {sequence} was given up by its caller unrun.",
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
        found = program.ended_calls.get(request.sequence) or self.executions.get(
            (key, request.sequence)
        )
        if found is None and request.sequence < program.next_sequence:
            raise SequenceConflict(
                f"Call {request.sequence} ended long ago and its answer is not kept; "
                f"the next call is {program.next_sequence}.",
                field="sequence",
            )
        if found is not None and found.request_hash != request_hash:
            raise SequenceConflict(
                f"Sequence {request.sequence} belongs to another call. "
                f"The next call is {program.next_sequence}.",
                field="sequence",
            )
        return found

    def cancel_calls(self, key: ProgramKey) -> None:
        """Cancels the repeatable calls of a program and of its sub-agents."""
        for program in self.state.list_tree(key):
            for sequence, started in program.started_calls.items():
                execution = self.executions.get((program.key, sequence))
                if execution is not None and not started.once:
                    execution.scope.cancel()

    def notify(self, key: ProgramKey) -> None:
        """Wakes the calls that wait for their turn in a program."""
        event = self._progress.pop(key, None)
        if event is not None:
            event.set()

    def notify_tree(self, key: ProgramKey) -> None:
        """Wakes the calls that wait in a program and in its sub-agents."""
        for program in self.state.list_tree(key):
            self.notify(program.key)


def hash_request(request: CallRequest) -> str:
    """Returns a hash of what a call asks for, without its deadline."""
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
            f"Got sequence {request.sequence}; the next call is "
            f"{program.next_sequence} and {MAX_EARLY_CALLS} may come early.",
            field="sequence",
        )
