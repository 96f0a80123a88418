"""Records and errors with which calls end."""

from typing import TYPE_CHECKING

import msgspec

from goldcrestvane_common.errors import (
    Outcome,
    OutcomeUnknown,
    ServiceError,
    Unavailable,
)
from goldcrestvane_common.messages import (
    DispatchResponse,
    Message,
)
from goldcrestvane_common.settings import HistoryMode
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.owner import records
from goldcrestvane_daemon.owner.budgets import hash_messages

if TYPE_CHECKING:
    from goldcrestvane_daemon.owner.calls import Call

MAX_RECORDED_BYTES = 256 * 1024
OUTAGE_RETRY_AFTER_SECONDS = 2.0

NOT_RUN_OUTCOMES = (Outcome.NOT_RUN, Outcome.REFUSED_FINAL)
"""Outcomes which guarantee that an attempt did not run."""


def build_call_ended(
    call: "Call", execution: Execution, *, error: ServiceError | None = None
) -> records.CallEnded:
    """Returns the record of a call that ended, without an answer."""
    return records.CallEnded(
        team=call.request.team,
        program=call.request.program,
        sequence=call.request.sequence,
        request_hash=call.request_hash,
        call=execution.call,
        target=execution.target,
        error=None if error is None else error.to_body(),
    )


def build_answered_call_ended(
    call: "Call", execution: Execution, answer: DispatchResponse
) -> records.CallEnded:
    """Returns the record of an answered call, with its messages for the history."""
    record = msgspec.structs.replace(
        build_call_ended(call, execution),
        answer=answer.value,
        usage=answer.usage,
        finish_reason=answer.finish_reason,
    )
    if len(bytes(answer.value)) > MAX_RECORDED_BYTES:
        record = _replace_answer(record)
    if call.request.model is None:
        return record
    reply = Message("assistant", msgspec.json.decode(answer.value, type=str))
    prompt_and_reply = [*call.messages, reply]
    stored_messages: list[Message] = []
    if call.program.history_mode is HistoryMode.OWNER:
        stored_messages = [*call.request.model.messages, reply]
    return msgspec.structs.replace(
        record,
        messages=stored_messages,
        prompt_messages=len(prompt_and_reply),
        prompt_hash=hash_messages(prompt_and_reply),
    )


def _replace_answer(record: records.CallEnded) -> records.CallEnded:
    """Replaces an answer that is too large for the journal with an error.

    The waiting caller still gets the answer. If it repeats the call, it gets an error
    that says that the call ran.
    """
    error = OutcomeUnknown(
        f"The call ran, and its answer exceeds the {MAX_RECORDED_BYTES} bytes that are "
        "stored for repeated calls. Look the result up at the service."
    )
    return msgspec.structs.replace(
        record, answer=msgspec.Raw(b"null"), error=error.to_body()
    )


def finalize_error(error: ServiceError, *, may_have_run: bool) -> ServiceError:
    """Returns the final error of a call, given the error of its last attempt.

    If an earlier attempt may have run, an error which guarantees that the last attempt
    did not run gets the outcome `Outcome.INCOMPLETE` instead.
    """
    if not may_have_run or error.call_outcome not in NOT_RUN_OUTCOMES:
        return error
    return type(error)(
        error.message,
        field=error.field,
        retry_after=error.retry_after,
        outcome=Outcome.INCOMPLETE,
    )


def build_store_unavailable() -> Unavailable:
    """Returns the error of an at-most-once call that cannot start during an outage."""
    return Unavailable(
        "The platform is unavailable, so the start of the call cannot be recorded. "
        "The call did not run. Send it again later.",
        retry_after=OUTAGE_RETRY_AFTER_SECONDS,
    )
