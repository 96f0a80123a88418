"""Commands to the model engine, with or without fencing."""

import time
from enum import Enum
from typing import final

import msgspec

from goldcrestvane_common.errors import VersionConflict


class CommandKind(Enum):
    """Effect of a command."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    SET_ROLE = "set_role"


class CommandRequest(msgspec.Struct, frozen=True):
    """One command; each new holder of the right to send commands has a higher fence."""

    kind: CommandKind
    name: str
    fence: int = 0


class ReleaseRequest(msgspec.Struct, frozen=True):
    """Request to free the prefixes of a session."""

    session: str
    fence: int = 0


class RecordedCommand(msgspec.Struct, frozen=True):
    """One executed command; `time` is in seconds since 1970."""

    kind: CommandKind
    name: str
    fence: int
    time: float


class CommandRecord(msgspec.Struct):
    """The executed commands and the resulting state of the engine."""

    models: set[str] = msgspec.field(default_factory=set)
    role: str | None = None
    orders: list[RecordedCommand] = msgspec.field(default_factory=list)


@final
class CommandExecutor:
    """Executes commands and, if fenced, rejects those with an outdated fence.

    A fence is outdated when it is lower than the highest fence seen. All commands share
    one fence; releases have a separate fence for each session.
    """

    def __init__(self, *, fenced: bool) -> None:
        self._fenced = fenced
        self._command_fence = 0
        self._session_fences: dict[str, int] = {}
        self._record = CommandRecord()

    def execute(self, command: CommandRequest) -> None:
        """Executes a command.

        Raises:
            VersionConflict: The fence is old.
        """
        self._check(command.fence, self._command_fence)
        self._command_fence = max(command.fence, self._command_fence)
        if command.kind is CommandKind.SET_ROLE:
            self._record.role = command.name
        elif command.kind is CommandKind.LOAD_MODEL:
            self._record.models.add(command.name)
        else:
            self._record.models.discard(command.name)
        recorded = RecordedCommand(
            command.kind, command.name, command.fence, time.time()
        )
        self._record.orders.append(recorded)

    def release(self, body: ReleaseRequest) -> None:
        """Admits the release of a session's prefixes.

        Raises:
            VersionConflict: The fence is old.
        """
        highest = self._session_fences.get(body.session, 0)
        self._check(body.fence, highest)
        self._session_fences[body.session] = max(body.fence, highest)

    def get_record(self) -> CommandRecord:
        """Returns the executed commands and the resulting state."""
        return self._record

    def _check(self, fence: int, highest: int) -> None:
        if self._fenced and fence < highest:
            raise VersionConflict(
                f"Fence {fence} is outdated; the highest fence seen is {highest}."
            )
