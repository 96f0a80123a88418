"""Log lines and metrics at the end of each call."""

import math
from typing import Any

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.accounts.directory import get_key_id
from goldcrestvane_daemon.frontend.call_context import CallContext
from goldcrestvane_daemon.frontend.metrics import CALL_SECONDS, CALLS
from goldcrestvane_daemon.frontend.refusals import Refusal
from goldcrestvane_daemon.http1 import RequestHead

logger = get_logger("call")


def build_account_fields(call: CallContext) -> dict[str, Any]:
    """Returns the log fields of a call's account; none if there are no accounts."""
    if call.accounts_version is None:
        return {}
    digest, age = call.key_digest, call.copy_age
    return {
        "account": call.account_id,
        "key": None if digest is None else get_key_id(digest),
        "accounts_version": call.accounts_version,
        # JSON has no number for the infinite age of a copy that is not in force.
        "copy_age": None if age is None or math.isinf(age) else round(age, 3),
    }


def build_program_fields(call: CallContext) -> dict[str, Any]:
    """Returns the log fields that tell which program a call belongs to, and its account."""
    return {
        "call": call.headers.call,
        "program": call.headers.program,
        "route": call.route.name,
        **build_account_fields(call),
    }


def log_refusal(call: CallContext | None, head: RequestHead, refusal: Refusal) -> None:
    """Logs a refusal and its reason."""
    logger.warning(
        "refused",
        extra={
            "call": call.headers.call if call else None,
            **(build_account_fields(call) if call else {}),
            "path": head.path.decode("latin-1"),
            "refusal": refusal.kind,
            "status": refusal.status,
            "reason": str(refusal),
            "retry_after": refusal.retry_after,
        },
    )


def log_end(call: CallContext | None, outcome: str, arrived: float) -> None:
    """Counts and logs the end of a call."""
    kind = call.route.kind.value if call else "none"
    CALLS.labels(kind, outcome).inc()
    if call is None:
        return
    seconds = trio.current_time() - arrived
    if outcome == "answered":
        CALL_SECONDS.labels(kind).observe(seconds)
    logger.info(
        "call ended",
        extra={
            **build_program_fields(call),
            "version": call.version,
            "outcome": outcome,
            "targets": call.attempted_targets,
            "events": call.events,
            "resumed_after": call.headers.last_event,
            "last_event": call.last_event,
            "event_gaps": call.sequence.gaps,
            "framed": call.is_framed,
            "ms": round(seconds * 1000, 1),
        },
    )
