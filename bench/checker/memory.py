"""Engine memory: nothing is held for programs that have ended."""

from collections.abc import Iterator

from bench.checker.records import Breach, Evidence, ProgramKey, Property
from bench.checker.traces import Trace

RELEASE_SECONDS = 15.0


def check_engine_memory(evidence: Evidence, trace: Trace) -> Iterator[Breach]:
    """Yields sessions held though their programs ended `RELEASE_SECONDS` before."""
    ended = {
        record.key: record.ended
        for record in evidence.programs
        if record.ended is not None
    }
    sessions = _map_sessions(evidence)
    for held in evidence.sessions_held:
        for session in held.sessions:
            users = sessions.get(session, set())
            if not users or not users <= ended.keys():
                continue
            last = max(ended[key] for key in users)
            if held.time > last + RELEASE_SECONDS:
                yield Breach(
                    Property.ENGINE_MEMORY,
                    f"{held.target} holds session {session} "
                    f"{held.time - last:.1f} s after its program ended.",
                    tuple(f"{key.team}/{key.program}" for key in users),
                )


def _map_sessions(evidence: Evidence) -> dict[str, set[ProgramKey]]:
    """Returns the programs whose runs used each session."""
    calls = {attempt.marker: attempt.call for attempt in evidence.attempts}
    found: dict[str, set[ProgramKey]] = {}
    for run in evidence.runs:
        call = calls.get(run.marker)
        if call is not None and run.session is not None:
            found.setdefault(run.session, set()).add(call.owner)
    return found
