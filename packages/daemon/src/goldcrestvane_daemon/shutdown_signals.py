"""Signals that the platform sends to a process."""

import signal

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.startup_signals import release_signals

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)

logger = get_logger("stop")


async def wait_for_shutdown_signal(
    *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Waits for SIGTERM or SIGINT.

    SIGHUP means that the settings file has changed. The file is read only at the start
    of a process, so the signal is logged and must not stop the process.
    """
    with trio.open_signal_receiver(*SHUTDOWN_SIGNALS, signal.SIGHUP) as signals:
        release_signals()
        task_status.started()
        async for number in signals:
            if number in SHUTDOWN_SIGNALS:
                return
            logger.info("settings file changed; it takes effect at the next start")
