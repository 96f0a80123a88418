"""Checks that engines hold no cache for programs that have ended."""

from collections.abc import Iterator

from bench.checker.evidence_index import EvidenceIndex
from bench.checker.records import Breach, Evidence, ProgramKey, Property

RELEASE_LIMIT_SECONDS = 15.0
"""Time after a program's end within which engines must release its sessions."""


def check_engine_memory(evidence: Evidence, index: EvidenceIndex) -> Iterator[Breach]:
    """Yields sessions held more than `RELEASE_LIMIT_SECONDS` after their programs' end.

    A session that several programs used must be released after the last of them ended.
    """
    ended = {
        record.key: record.ended
        for record in evidence.programs
        if record.ended is not None
    }
    programs_by_session = _map_programs_by_session(evidence)
    for held in evidence.sessions_held:
        for session in held.sessions:
            programs = programs_by_session.get(session, set())
            if not programs or not programs <= ended.keys():
                continue
            last_end = max(ended[key] for key in programs)
            if held.time > last_end + RELEASE_LIMIT_SECONDS:
                yield Breach(
                    Property.ENGINE_MEMORY,
                    f"{held.target} holds session {session} "
                    f"{held.time - last_end:.1f} s after its program ended.",
                    tuple(f"{key.team}/{key.program}" for key in programs),
                )


def _map_programs_by_session(evidence: Evidence) -> dict[str, set[ProgramKey]]:
    """Returns the programs whose runs used each session."""
    calls = {attempt.marker: attempt.call for attempt in evidence.attempts}
    programs: dict[str, set[ProgramKey]] = {}
    for run in evidence.runs:
        call = calls.get(run.marker)
        if call is not None and run.session is not None:
            programs.setdefault(run.session, set()).add(call.program_key)
    return programs
