"""Replays a trace: the requests of each program in order, at their recorded times."""

from collections import defaultdict
from typing import final

import trio

from goldcrestvane_common.ids import ProgramId, get_parent_program
from goldcrestvane_common.trace import Trace, TraceRecord
from trace_replay.sender import RequestResult, Sender

BEGIN_PATH = "/v1/programs/begin"
END_PATH = "/v1/programs/end"

ProgramKey = tuple[str, str]


@final
class ProgramRun:
    """Requests of one program and the progress of their replay.

    Attributes:
        records: Requests of the program, in the order of the trace.
        begun: Set when the first request, which begins the program, has its outcome.
        finished: Set when all requests have their outcomes.
    """

    def __init__(self, records: list[TraceRecord]) -> None:
        self.records = records
        self.begun = trio.Event()
        self.finished = trio.Event()


@final
class Player:
    """Replays one trace.

    A program sends each request after the outcome of its previous request, and not
    before the recorded time of the request divided by `speed`. The program of a
    sub-agent begins after its parent has begun and finishes before its parent ends.
    """

    def __init__(self, trace: Trace, sender: Sender, *, speed: float) -> None:
        self._sender = sender
        self._speed = speed
        self._runs = {
            key: ProgramRun(records) for key, records in group_records(trace).items()
        }
        self._results: list[RequestResult] = []
        self._started = 0.0

    async def play(self) -> list[RequestResult]:
        """Replays the trace and returns the result of each request."""
        self._started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for key, run in self._runs.items():
                nursery.start_soon(self._play_program, key, run)
        return self._results

    async def _play_program(self, key: ProgramKey, run: ProgramRun) -> None:
        await self._wait_for_parent(key)
        for record in run.records:
            await trio.sleep_until(self._started + record.at / self._speed)
            if record.path == END_PATH:
                await self._wait_for_children(key)
            self._results.append(await self._sender.send(record))
            run.begun.set()
        run.finished.set()

    async def _wait_for_parent(self, key: ProgramKey) -> None:
        parent = get_parent_program(ProgramId(key[1]))
        run = self._runs.get((key[0], parent)) if parent else None
        if run is not None:
            await run.begun.wait()

    async def _wait_for_children(self, key: ProgramKey) -> None:
        for other, run in self._runs.items():
            if other[0] == key[0] and get_parent_program(ProgramId(other[1])) == key[1]:
                await run.finished.wait()


def group_records(trace: Trace) -> dict[ProgramKey, list[TraceRecord]]:
    """Returns the requests of each program in the order of the trace."""
    groups: dict[ProgramKey, list[TraceRecord]] = defaultdict(list)
    for record in trace.records:
        groups[record.team, record.program].append(record)
    return dict(groups)
