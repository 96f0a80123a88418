"""What becomes of a process when one of its tasks fails with an unexpected error.

The tasks of a process share a nursery, which ends the process when one of them raises.
`run_supervised` contains such an error, or runs the task again, according to `POLICIES`.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import final

import trio
from prometheus_client import Counter

from goldcrestvane_common.logs import get_logger

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0
STABLE_SECONDS = 10.0
"""Time after which a task that was restarted counts as sound again."""

FAILING_RESTARTS = 5
"""Consecutive restarts after which a process says that it is not ready."""

LOG_INTERVAL_SECONDS = 60.0
"""Time for which the same error of the same task is counted but not logged again."""

FAILURES = Counter(
    "goldcrestvane_task_failures",
    "Unexpected errors of tasks, by what became of the task",
    ["task", "outcome"],
)

logger = get_logger("task")


class FailurePolicy(Enum):
    """What becomes of a task after an unexpected error."""

    CONTAIN = "contained"
    RESTART = "restarted"
    END = "ended"


class Task(Enum):
    """Tasks of a process, by what they do."""

    ANNOUNCEMENT = "announcement"
    CLIENT_CONNECTION = "client_connection"
    COMPACTION = "compaction"
    CONFIRMATION_REQUEST = "confirmation_request"
    CONNECTION_CLOSE = "connection_close"
    DEATH_FETCH = "death_fetch"
    DEATH_REPORT = "death_report"
    EXPIRY = "expiry"
    LOG = "log"
    MEMBERSHIP = "membership"
    MEMBERSHIP_WATCH = "membership_watch"
    METRICS_CONNECTION = "metrics_connection"
    METRICS_SERVER = "metrics_server"
    OBJECT_CHECK = "object_check"
    OBJECT_CONFIRMATION = "object_confirmation"
    OBJECT_EXPIRY = "object_expiry"
    OBJECT_WATCH = "object_watch"
    OBSERVATIONS = "observations"
    PEER = "peer"
    PEER_CALL = "peer_call"
    PEER_CONNECTION = "peer_connection"
    PEER_REQUEST = "peer_request"
    PERMIT = "permit"
    PROBES = "probes"
    QUOTA = "quota"
    QUOTA_ISSUE = "quota_issue"
    READINESS_CONNECTION = "readiness_connection"
    TURN = "turn"


POLICIES = {
    Task.ANNOUNCEMENT: FailurePolicy.RESTART,
    Task.CLIENT_CONNECTION: FailurePolicy.CONTAIN,
    Task.COMPACTION: FailurePolicy.RESTART,
    Task.CONFIRMATION_REQUEST: FailurePolicy.CONTAIN,
    Task.CONNECTION_CLOSE: FailurePolicy.CONTAIN,
    Task.DEATH_FETCH: FailurePolicy.RESTART,
    Task.DEATH_REPORT: FailurePolicy.CONTAIN,
    Task.EXPIRY: FailurePolicy.RESTART,
    Task.LOG: FailurePolicy.END,
    Task.MEMBERSHIP: FailurePolicy.RESTART,
    Task.MEMBERSHIP_WATCH: FailurePolicy.RESTART,
    Task.METRICS_CONNECTION: FailurePolicy.CONTAIN,
    Task.METRICS_SERVER: FailurePolicy.RESTART,
    Task.OBJECT_CHECK: FailurePolicy.RESTART,
    Task.OBJECT_CONFIRMATION: FailurePolicy.RESTART,
    Task.OBJECT_EXPIRY: FailurePolicy.RESTART,
    Task.OBJECT_WATCH: FailurePolicy.RESTART,
    Task.OBSERVATIONS: FailurePolicy.CONTAIN,
    Task.PEER: FailurePolicy.RESTART,
    Task.PEER_CALL: FailurePolicy.CONTAIN,
    Task.PEER_CONNECTION: FailurePolicy.CONTAIN,
    Task.PEER_REQUEST: FailurePolicy.CONTAIN,
    Task.PERMIT: FailurePolicy.CONTAIN,
    Task.PROBES: FailurePolicy.RESTART,
    Task.QUOTA: FailurePolicy.CONTAIN,
    Task.QUOTA_ISSUE: FailurePolicy.RESTART,
    Task.READINESS_CONNECTION: FailurePolicy.CONTAIN,
    Task.TURN: FailurePolicy.CONTAIN,
}

OPTIONAL_TASKS = frozenset({Task.DEATH_FETCH, Task.METRICS_SERVER, Task.PEER})
"""Tasks without which a process serves all calls. Their failure is no lack of readiness."""


@final
class _Failures:
    """Failures of the tasks of one process.

    Attributes:
        failing_until: Time at which each task that failed again counts as sound, unless it
            fails before.
    """

    def __init__(self) -> None:
        self.failing_until: dict[object, float] = {}
        self._logged_at: dict[tuple[Task, str], float] = {}

    def record(self, task: Task, group: BaseExceptionGroup) -> None:
        """Counts a failure, and logs it unless the same one was logged recently."""
        policy = POLICIES[task]
        FAILURES.labels(task.value, policy.value).inc()
        error: BaseException = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        now = trio.current_time()
        self._logged_at = {
            key: at
            for key, at in self._logged_at.items()
            if at > now - LOG_INTERVAL_SECONDS
        }
        key = (task, repr(error))
        if key in self._logged_at:
            return
        self._logged_at[key] = now
        logger.error(
            "a task failed with an unexpected error",
            extra={"task": task.value, "outcome": policy.value, "reason": key[1]},
            exc_info=group,
        )


_failures: trio.lowlevel.RunVar[_Failures] = trio.lowlevel.RunVar("task_failures")


def _get_failures() -> _Failures:
    try:
        return _failures.get()
    except LookupError:
        failures = _Failures()
        _failures.set(failures)
        return failures


def has_failing_task() -> bool:
    """Returns whether a task that calls depend on fails again after each restart."""
    now = trio.current_time()
    return any(until > now for until in _get_failures().failing_until.values())


async def run_supervised(
    task: Task, run: Callable[..., Awaitable[object]], *args: object
) -> bool:
    """Runs a task, and handles an unexpected error by the policy of the task.

    Cancellations and errors that are meant for the process, such as KeyboardInterrupt,
    pass through.

    Args:
        task: What the task does.
        run: The function to run.
        args: Its arguments.

    Returns:
        Whether the last run ended without an error.

    Raises:
        Exception: The task failed, and its failure ends the process.
    """
    policy = POLICIES[task]
    failures = _get_failures()
    identity = object()
    restarts = 0
    try:
        while True:
            started = trio.current_time()
            if await _try_run(task, run, *args):
                return True
            if policy is not FailurePolicy.RESTART:
                return False
            if trio.current_time() - started >= STABLE_SECONDS:
                restarts = 0
            restarts += 1
            backoff = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2**restarts)
            if restarts >= FAILING_RESTARTS and task not in OPTIONAL_TASKS:
                restarts_at = trio.current_time() + backoff
                failures.failing_until[identity] = restarts_at + STABLE_SECONDS
            await trio.sleep(backoff)
    finally:
        failures.failing_until.pop(identity, None)


async def _try_run(
    task: Task, run: Callable[..., Awaitable[object]], *args: object
) -> bool:
    """Returns whether a task ended without an unexpected error."""
    failed = False
    try:
        await run(*args)
    except* Exception as group:
        _get_failures().record(task, group)
        if POLICIES[task] is FailurePolicy.END:
            raise
        failed = True
    return not failed
