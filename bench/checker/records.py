"""What a run leaves behind: the stand-ins' records and the callers' log.

All times are in seconds since 1970, from the one clock of the machine. A marker is a
text that is unique to one call and part of its body, so that an effect or an engine
run can be traced to the call that led to it.
"""

import re
from enum import Enum

import msgspec

from goldcrestvane_common.settings import Budget

MARKER_PATTERN = re.compile(r"<<[^<>]+>>")


class AttemptOutcome(Enum):
    """What the caller knows of one attempt."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    REFUSED_FINAL = "refused_final"
    INCOMPLETE = "incomplete"
    NOT_CONNECTED = "not_connected"
    """No byte of the request was sent."""
    BROKEN = "broken"
    """The connection ended before the answer did."""


class ProgramKey(msgspec.Struct, frozen=True):
    """Team and path id of a program."""

    team: str
    program: str


class CallKey(msgspec.Struct, frozen=True):
    """One call of a program."""

    team: str
    program: str
    sequence: int

    @property
    def owner(self) -> ProgramKey:
        """The program that issued the call."""
        return ProgramKey(self.team, self.program)


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a prompt."""

    role: str
    content: str


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One sending of a call.

    Attributes:
        call: The call.
        marker: Marker of the call.
        once: Whether the call is a tool operation that must not be repeated.
        messages: What the caller sent to a model; empty for a tool call.
        entry: Process that was asked.
        sent: When the request was sent.
        ended: When its end was known.
        outcome: What the caller then knew.
        text: The answer of a model.
        finish_reason: Why the answer of a model ended.
        completion_tokens: Length of the answer of a model, as the caller was told.
        result: Marker in the answer of a tool.
        effect: Number of the side effect in the answer of a tool.
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
    """A side effect that a tool recorded."""

    target: str
    effect: int
    operation: str
    marker: str
    time: float


class EngineRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run that an engine recorded; `tokens` are those of prompt and answer."""

    target: str
    stream_id: str
    session: str | None
    messages: tuple[ChatMessage, ...]
    time: float
    state: str
    tokens: int = 0

    @property
    def marker(self) -> str:
        """Marker of the call that led to the run; empty when there is none."""
        last = self.messages[-1].content if self.messages else ""
        found = MARKER_PATTERN.findall(last)
        return found[0] if found else ""


class ProgramRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A program as its caller declared it.

    Attributes:
        key: The program.
        budget: Declared limits, sub-agents included.
        owner_history: Whether the owner puts the history before the messages.
        ended: When its end was acknowledged, if it was.
    """

    key: ProgramKey
    budget: Budget = Budget()
    owner_history: bool = False
    ended: float | None = None


class Departure(msgspec.Struct, frozen=True, kw_only=True):
    """A target that was told, or listed, to leave at `time`."""

    target: str
    time: float
    returned: float | None = None


class PlannedStop(msgspec.Struct, frozen=True, kw_only=True):
    """A planned stop of a process, from the order to its end.

    Attributes:
        process: The process.
        started: When it was told to leave.
        ended: When it had ended, or was given up on.
        finished: Whether it ended by itself.
    """

    process: str
    started: float
    ended: float
    finished: bool = True


class Disturbance(msgspec.Struct, frozen=True, kw_only=True):
    """A time in which an unplanned fault was at work."""

    what: str
    started: float
    ended: float


class SettingsWrite(msgspec.Struct, frozen=True, kw_only=True):
    """A change of a team's settings that the object API carried out."""

    team: str
    version: int
    time: float


class SettingsSeen(msgspec.Struct, frozen=True, kw_only=True):
    """Versions that a process had in force when it was asked.

    Attributes:
        process: The process.
        asked: When it was asked.
        up_since: When it was last started or woken.
        versions: Version in force of each team.
    """

    process: str
    asked: float
    up_since: float
    versions: dict[str, int]


class SessionsHeld(msgspec.Struct, frozen=True, kw_only=True):
    """Sessions whose prefixes an engine holds at `time`."""

    target: str
    time: float
    sessions: tuple[str, ...]


class Evidence(msgspec.Struct, kw_only=True):
    """All that a run left behind."""

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
    """The ten properties of issue 4."""

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
    """A property that did not hold.

    Attributes:
        property: Which one.
        what: One sentence.
        evidence: The records that show it.
    """

    property: Property
    what: str
    evidence: tuple[str, ...] = ()
