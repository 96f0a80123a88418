"""The settings tree, which has one subtree per team.

A subtree is stored as one object with the key ``control/settings/{team}``. The value
holds the settings in force and the latest audit records, so that a change and its
record are written in one update.
"""

from enum import Enum

import msgspec

from goldcrestvane_common.ids import ServiceId, TeamId

SETTINGS_PREFIX = "control/settings/"
MAX_AUDIT_RECORDS = 50


class ServiceKind(Enum):
    """Kind of a service's targets."""

    MODEL = "model"
    TOOL = "tool"


class Priority(Enum):
    """Scheduling class of a program; programs with a waiting person go first."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


class HistoryMode(Enum):
    """Who supplies the earlier turns of a program with each model call."""

    CALLER = "caller"
    """The caller sends all messages, as in any chat completion."""

    OWNER = "owner"
    """The caller sends only new messages, and the owner prepends the history."""


class Budget(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Limits of a program including its sub-agents; None means no limit.

    Attributes:
        tokens: Prompt and completion tokens.
        calls: Model and tool calls.
        seconds: Time since the program began.
        depth: Levels of sub-agents below the program.
    """

    tokens: int | None = None
    calls: int | None = None
    seconds: float | None = None
    depth: int | None = None


class OperationSettings(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """One operation of a tool service.

    Attributes:
        idempotent: Whether the operation may be sent again if its response is lost.
        timeout_seconds: Time after which a call of the operation is abandoned.
    """

    idempotent: bool = False
    timeout_seconds: float = 30.0


class ServiceSettings(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """A service that a team's programs may call.

    Attributes:
        kind: Model engine or tool.
        operations: Declared operations of a tool; any other operation is refused.
        timeout_seconds: Time after which a model call is abandoned.
    """

    kind: ServiceKind
    operations: dict[str, OperationSettings] = {}
    timeout_seconds: float = 120.0


class ProgramSettings(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """One kind of program that a team declares."""

    priority: Priority = Priority.STANDARD
    budget: Budget = Budget()
    history: HistoryMode = HistoryMode.CALLER


class TeamSettings(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """The subtree of one team.

    Attributes:
        programs: Kinds of programs by name.
        services: Services by name.
        budget: Limits of all programs of the team together (tokens and calls).
        cache_weight: Weight of cached prefixes against latency in the choice of a
            target: 0 considers latency only, 1 considers cached prefixes only.
        token_sha256: Hex digest of the team's bearer token; None requires no token.
    """

    programs: dict[str, ProgramSettings] = {}
    services: dict[ServiceId, ServiceSettings] = {}
    budget: Budget = Budget()
    cache_weight: float = 0.5
    token_sha256: str | None = None


class AuditRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who changed a subtree, when and how.

    Attributes:
        time: Seconds since the epoch, UTC.
        operator: Name that the operator gave.
        action: Subcommand, such as ``apply``.
        reason: Free text.
        changes: One line for each changed path: ``path: old -> new``.
        token: Unique id of the change, which identifies it after a lost response.
    """

    time: float
    operator: str
    action: str
    token: str
    reason: str = ""
    changes: list[str] = []


class TeamDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of the object ``control/settings/{team}``.

    Attributes:
        settings: The subtree in force; None if the team was removed.
        audit: Latest records, oldest first; at most `MAX_AUDIT_RECORDS`.
        audit_start: Number of earlier records, archived under ``audit/{team}/``.
    """

    settings: TeamSettings | None
    audit: list[AuditRecord] = []
    audit_start: int = 0


def build_settings_key(team: TeamId) -> str:
    """Returns the object key of a team's subtree."""
    return f"{SETTINGS_PREFIX}{team}"
