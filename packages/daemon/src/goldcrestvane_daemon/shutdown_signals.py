"""Signals that a process on the platform gets."""

import signal

import trio

from goldcrestvane_common.logs import get_logger

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

logger = get_logger("stop")


async def wait_for_shutdown_signal(
    *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Returns when the process is told to stop.

    A hang-up says that the settings file has changed. What it holds is read at the
    start of a process, and the signal must not end it.
    """
    with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
        task_status.started()
        async for number in signals:
            if number in STOP_SIGNALS:
                return
            logger.info("settings file changed; it is read at the next start")
