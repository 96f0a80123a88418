"""Data model of the evidence of a run: the stand-ins' records and the callers' log.

All times are in seconds since 1970 and come from the clock of one machine, so that they
can be compared. A marker is a text that is unique to one call and part of its body, so
that a side effect or an engine run can be traced to the call that caused it.
"""

import re
from enum import Enum

import msgspec

from goldcrestvane_common.settings import Budget

MARKER_PATTERN = re.compile(r"<<[^<>]+>>")


class AttemptOutcome(Enum):
    """Outcome of one attempt, as far as its caller knows it."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    REFUSED_FINAL = "refused_final"
    INCOMPLETE = "incomplete"
    NOT_CONNECTED = "not_connected"
    """The connection failed before any byte of the request was sent."""
    BROKEN = "broken"
    """The connection ended before the answer was complete."""


class ProgramKey(msgspec.Struct, frozen=True):
    """Identifies a program by its team and its path id."""

    team: str
    program: str


class CallKey(msgspec.Struct, frozen=True):
    """Identifies a call by its program and its sequence number."""

    team: str
    program: str
    sequence: int

    @property
    def program_key(self) -> ProgramKey:
        """Key of the program that issued the call."""
        return ProgramKey(self.team, self.program)


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a prompt."""

    role: str
    content: str


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One request that a caller sent for a call.

    Attributes:
        call: Key of the call.
        marker: Marker of the call.
        once: Whether the call is a tool operation that must not be repeated.
        messages: Messages that the caller sent to a model; empty for a tool call.
        entry: Name of the entry that received the request.
        sent: Time at which the caller sent the request.
        ended: Time at which the attempt ended for the caller.
        outcome: Outcome that the caller knew at that time.
        text: Text of a model's answer.
        finish_reason: Reason that the model gave for the end of its answer.
        completion_tokens: Length of a model's answer, as reported to the caller.
        result: Marker in a tool's answer.
        effect: Number of the side effect in a tool's answer.
        error: Kind and message of the error.
    """

    call: CallKey
    marker: str
    once: bool = False
    messages: tuple[ChatMessage, ...] = ()
    entry: str = ""
    sent: float
    ended: float
    outcome: AttemptOutcome
    text: str = ""
    finish_reason: str = ""
    completion_tokens: int = 0
    result: str = ""
    effect: int = 0
    error: str = ""


class Effect(msgspec.Struct, frozen=True, kw_only=True):
    """A side effect that a tool stand-in recorded."""

    target: str
    effect: int
    operation: str
    marker: str
    time: float


class EngineRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run that an engine stand-in recorded.

    Attributes:
        target: Name of the engine.
        stream_id: Id of the run's stream.
        session: Session of the engine's prefix cache, if the run used one.
        messages: Prompt of the run.
        time: Time at which the engine received the run.
        state: State of the run when the record was read.
        tokens: Number of tokens of the prompt and the answer.
    """

    target: str
    stream_id: str
    session: str | None
    messages: tuple[ChatMessage, ...]
    time: float
    state: str
    tokens: int = 0

    @property
    def marker(self) -> str:
        """Marker in the last message of the prompt; empty if it has none."""
        last = self.messages[-1].content if self.messages else ""
        found = MARKER_PATTERN.findall(last)
        return found[0] if found else ""


class ProgramRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A program as its caller declared it.

    Attributes:
        key: Key of the program.
        budget: Declared limits, which the program shares with its sub-agents.
        owner_history: Whether the owner inserts the history before the messages.
        ended: Time at which the end was acknowledged; None if it was not.
    """

    key: ProgramKey
    budget: Budget = Budget()
    owner_history: bool = False
    ended: float | None = None


class Departure(msgspec.Struct, frozen=True, kw_only=True):
    """Departure of a target.

    Attributes:
        target: Name of the target.
        time: Time at which the target was requested to leave or was listed as leaving.
        returned: Time from which the target may get new work again.
    """

    target: str
    time: float
    returned: float | None = None


class PlannedStop(msgspec.Struct, frozen=True, kw_only=True):
    """A planned stop of a process, from the request to its exit.

    Attributes:
        process: Name of the process.
        started: Time at which the process was requested to leave, by a signal, a drain
            request or the instance list.
        ended: Time at which the process had exited or the wait for its exit ended.
        finished: Whether the process exited by itself.
    """

    process: str
    started: float
    ended: float
    finished: bool = True


class Disturbance(msgspec.Struct, frozen=True, kw_only=True):
    """Period in which an unplanned fault could affect calls.

    Attributes:
        what: Name of the fault, and of the process if the fault has one.
        started: Time at which the fault was injected.
        ended: Time from which the fault has no more effect on calls.
    """

    what: str
    started: float
    ended: float


class SettingsWrite(msgspec.Struct, frozen=True, kw_only=True):
    """A change of a team's settings that the object API executed."""

    team: str
    version: int
    time: float


class SettingsSeen(msgspec.Struct, frozen=True, kw_only=True):
    """Settings versions that a process reported as in force.

    Attributes:
        process: Name of the process.
        asked: Time at which the versions were requested.
        up_since: Time at which the process was last started or resumed.
        versions: Version in force for each team.
    """

    process: str
    asked: float
    up_since: float
    versions: dict[str, int]


class SessionsHeld(msgspec.Struct, frozen=True, kw_only=True):
    """Sessions whose prefixes an engine had in its cache at `time`."""

    target: str
    time: float
    sessions: tuple[str, ...]


class Evidence(msgspec.Struct, kw_only=True):
    """All records of a run that the checker uses."""

    attempts: list[Attempt] = []
    effects: list[Effect] = []
    runs: list[EngineRun] = []
    programs: list[ProgramRecord] = []
    team_budgets: dict[str, Budget] = {}
    departures: list[Departure] = []
    stops: list[PlannedStop] = []
    disturbances: list[Disturbance] = []
    settings_writes: list[SettingsWrite] = []
    settings_seen: list[SettingsSeen] = []
    sessions_held: list[SessionsHeld] = []


class Property(Enum):
    """The ten properties that every run must have."""

    ORDER = "order"
    HISTORY = "history"
    BUDGET = "budget"
    ENGINE_MEMORY = "engine memory"
    WHOLE_ANSWERS = "whole answers"
    NOT_RUN = "not run"
    AT_MOST_ONCE = "at most once"
    LEAVING = "leaving targets"
    PLANNED_STOP = "planned stop"
    SETTINGS = "settings"


class Breach(msgspec.Struct, frozen=True):
    """A breach of a property.

    Attributes:
        property: Property that did not hold.
        description: One sentence that describes the breach.
        evidence: Records that show the breach, one a line.
    """

    property: Property
    description: str
    evidence: tuple[str, ...] = ()
