"""Typed errors and their wire format.

Every error states whether the call may have run (`Outcome`) and how to proceed, so
that a caller can decide whether to retry without parsing the message.
"""

from enum import Enum
from typing import ClassVar

import msgspec


class Outcome(Enum):
    """Whether a call that ended in an error may have run."""

    NOT_RUN = "not_run"
    """The call reached no target and never will; it is safe to send it again."""

    UNKNOWN = "unknown"
    """The call may have run; the system never runs it again."""

    REFUSED_FINAL = "refused_final"
    """The call did not run, and would be refused again if it were sent again."""

    INCOMPLETE = "incomplete"
    """A repeatable call ran in part; it is safe to send it again."""


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON body of every error response.

    Attributes:
        kind: Stable name of the error; each subclass of `ServiceError` has one.
        outcome: Whether the call may have run.
        message: What was received, what was expected, and how to correct it.
        field: Name of the invalid field or header, if the input is invalid.
        retry_after: Seconds to wait before sending the call again.
    """

    kind: str
    outcome: Outcome
    message: str
    field: str | None = None
    retry_after: float | None = None


class ErrorEnvelope(msgspec.Struct, frozen=True):
    """The outermost object of an error response: ``{"error": {...}}``."""

    error: ErrorBody


class ServiceError(Exception):
    """Base class of the errors that are returned to a caller.

    Attributes:
        kind: Stable name of the error on the wire.
        status: HTTP status code.
        outcome: Default outcome of the errors of this class.
        call_outcome: Outcome of this call; `outcome` by default.
    """

    kind: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN

    def __init__(
        self,
        message: str,
        *,
        field: str | None = None,
        retry_after: float | None = None,
        outcome: Outcome | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.field = field
        self.retry_after = retry_after
        self.call_outcome = outcome or self.outcome

    def to_body(self) -> ErrorBody:
        """Returns this error in its wire format."""
        return ErrorBody(
            kind=self.kind,
            outcome=self.call_outcome,
            message=self.message,
            field=self.field,
            retry_after=self.retry_after,
        )


class InvalidRequest(ServiceError):
    """A field or header of the request is missing, malformed or out of range."""

    kind = "invalid_request"
    status = 400
    outcome = Outcome.REFUSED_FINAL


class RequestTooLarge(ServiceError):
    """The body exceeds the size limit."""

    kind = "request_too_large"
    status = 413
    outcome = Outcome.REFUSED_FINAL


class HeadersTooLarge(ServiceError):
    """The headers exceed the size limit."""

    kind = "headers_too_large"
    status = 431
    outcome = Outcome.REFUSED_FINAL


class RequestTimeout(ServiceError):
    """The caller took too long to send the body."""

    kind = "request_timeout"
    status = 408
    outcome = Outcome.NOT_RUN


class Unauthorized(ServiceError):
    """The team's token is missing or wrong."""

    kind = "unauthorized"
    status = 401
    outcome = Outcome.REFUSED_FINAL


class NotFound(ServiceError):
    """The path, team, service, program or object does not exist."""

    kind = "not_found"
    status = 404
    outcome = Outcome.REFUSED_FINAL


class ProgramEnded(ServiceError):
    """The program has ended and accepts no more calls."""

    kind = "program_ended"
    status = 409
    outcome = Outcome.REFUSED_FINAL


class SequenceConflict(ServiceError):
    """The sequence number was used for another call or is too far ahead."""

    kind = "sequence_conflict"
    status = 409
    outcome = Outcome.REFUSED_FINAL


class BudgetExceeded(ServiceError):
    """The call does not fit into the remaining budget."""

    kind = "budget_exceeded"
    status = 402
    outcome = Outcome.REFUSED_FINAL


class DeadlineExceeded(ServiceError):
    """The deadline passed before the call reached a target."""

    kind = "deadline_exceeded"
    status = 504
    outcome = Outcome.NOT_RUN


class Overloaded(ServiceError):
    """A bounded queue is full, or the expected wait exceeds the deadline."""

    kind = "overloaded"
    status = 429
    outcome = Outcome.NOT_RUN


class Unavailable(ServiceError):
    """No owner or target can accept the call now, or the platform is down."""

    kind = "unavailable"
    status = 503
    outcome = Outcome.NOT_RUN


class WrongOwner(ServiceError):
    """This sidecar does not own the program's shard; ask the current owner."""

    kind = "wrong_owner"
    status = 421
    outcome = Outcome.NOT_RUN


class WrongIncarnation(ServiceError):
    """The sidecar has restarted, and its new incarnation has not run the call."""

    kind = "wrong_incarnation"
    status = 421
    outcome = Outcome.NOT_RUN


class RequestQuarantined(ServiceError):
    """Targets died while running this request, so it is refused permanently."""

    kind = "request_quarantined"
    status = 422
    outcome = Outcome.REFUSED_FINAL


class OutcomeUnknown(ServiceError):
    """The call may have run at its target, but its response was lost."""

    kind = "outcome_unknown"
    status = 502
    outcome = Outcome.UNKNOWN


class AnswerIncomplete(ServiceError):
    """The response to a repeatable call ended before it was complete."""

    kind = "answer_incomplete"
    status = 502
    outcome = Outcome.INCOMPLETE


class TargetDied(ServiceError):
    """The target died while running the call."""

    kind = "target_died"
    status = 502
    outcome = Outcome.INCOMPLETE


class VersionConflict(ServiceError):
    """A conditional update expected a version other than the current one."""

    kind = "version_conflict"
    status = 409
    outcome = Outcome.NOT_RUN


ERROR_KINDS: dict[str, type[ServiceError]] = {
    error.kind: error for error in ServiceError.__subclasses__()
}


def encode_error(error: ServiceError) -> bytes:
    """Returns the JSON body of an error response."""
    return msgspec.json.encode(ErrorEnvelope(error.to_body()))


def decode_error(body: bytes) -> ServiceError:
    """Returns the error that a JSON body describes.

    Raises:
        msgspec.DecodeError: The body is not an error envelope.
    """
    parsed = msgspec.json.decode(body, type=ErrorEnvelope).error
    return build_error(parsed)


def build_error(body: ErrorBody) -> ServiceError:
    """Returns the error that an error body describes."""
    error_class = ERROR_KINDS.get(body.kind, ServiceError)
    return error_class(
        body.message,
        field=body.field,
        retry_after=body.retry_after,
        outcome=body.outcome,
    )
