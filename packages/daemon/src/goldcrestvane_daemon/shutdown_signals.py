"""Handling of signals from the end of the start until the process is gone."""

import signal
from collections.abc import Callable
from enum import Enum

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.startup_signals import (
    HANDLED_SIGNALS,
    SHUTDOWN_SIGNALS,
    release_signals,
)

logger = get_logger("stop")


class ProcessState(Enum):
    """State in which a process receives a signal."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


SHUTDOWN_EFFECTS = {
    ProcessState.STARTING: "the process stops as soon as it has started",
    ProcessState.SERVING: "the process stops",
    ProcessState.STOPPING: "the process is stopping already",
}
"""Effects of the shutdown signals. A repeated one does not cut off calls."""

RELOAD_EFFECT = "settings file changed; it takes effect at the next start"
"""Effect of SIGHUP, which means that the settings file has changed."""


async def handle_signals(
    shutdown: trio.Event,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Logs signals and sets an event on SIGTERM or SIGINT, until cancelled.

    Signals that arrive after the cancellation are ignored until the process is gone.

    Args:
        shutdown: Event to set. It may also be set by others, so that the process stops
            without a signal.
        task_status: Reports that no signal can kill the process any more.
    """
    early: list[int] = []
    # Trio puts these handlers back when its receiver is left, and raises the signals
    # again that nobody has read from it.
    _set_handlers(lambda number, _frame: early.append(number))
    release_signals()
    try:
        with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            for number in early:
                _handle(number, ProcessState.STARTING, shutdown)
            task_status.started()
            async for number in signals:
                stopping = shutdown.is_set()
                state = ProcessState.STOPPING if stopping else ProcessState.SERVING
                _handle(number, state, shutdown)
    finally:
        _set_handlers(signal.SIG_IGN)


def _handle(number: int, state: ProcessState, shutdown: trio.Event) -> None:
    stops = number in SHUTDOWN_SIGNALS
    logger.info(
        "received a signal",
        extra={
            "signal": signal.Signals(number).name,
            "state": state.value,
            "effect": SHUTDOWN_EFFECTS[state] if stops else RELOAD_EFFECT,
        },
    )
    if stops:
        shutdown.set()


def _set_handlers(handler: Callable[..., object] | signal.Handlers) -> None:
    for number in HANDLED_SIGNALS:
        signal.signal(number, handler)
