"""Entry point of ``goldcrestvaned``."""

import gc
import logging
import pkgutil
import sys
from typing import NoReturn, Protocol

import trio
from absl import app, flags

from goldcrestvane_common.logs import configure_bounded_logs, configure_logs
from goldcrestvane_daemon.platform.machine import MachineSettings, read_machine_settings
from goldcrestvane_daemon.settings import InvalidSettings, load_settings

EXIT_INVALID_SETTINGS = 2
FLAGS = flags.FLAGS

PLATFORM_ROLES = {
    "frontend": "goldcrestvane_daemon.frontend.process:FrontendProcess",
    "ledger": "goldcrestvane_daemon.ledger.process:LedgerProcess",
}
"""Roles on the Passolungo platform; the other roles take their settings as flags.

A role is imported when it starts, since imports are most of the time to readiness.
"""


class PlatformProcess(Protocol):
    """A role on the Passolungo platform."""

    def __init__(self, settings: MachineSettings) -> None: ...

    async def run(self) -> None:
        """Runs until SIGTERM and the end of what is under way."""
        ...


def main(arguments: list[str]) -> None:
    """Runs one process until it is told to stop.

    Args:
        arguments: The command line after absl has taken its flags.
    """
    if len(arguments) > 1:
        _refuse(f"Unexpected argument {arguments[1]!r}; all settings are flags.")
    try:
        if FLAGS.role in PLATFORM_ROLES:
            run_on_platform(FLAGS.role)
            return
        settings = load_settings()
    except InvalidSettings as error:
        _refuse(str(error))
    configure_logs(level=settings.log_level, process=settings.instance)
    logging.getLogger("goldcrestvane").setLevel(settings.log_level)
    # Imported here, since the roles on the platform do without hypercorn.
    from goldcrestvane_daemon.supervisor import run_process

    trio.run(run_process, settings)


def run_on_platform(role: str) -> None:
    """Runs a role whose settings come from the platform's file.

    Raises:
        InvalidSettings: The file is missing, or does not fit the role.
    """
    settings = read_machine_settings()
    configure_bounded_logs(level=FLAGS.log_level, process=settings.instance)
    logging.getLogger("goldcrestvane").setLevel(FLAGS.log_level)
    process = import_role(role)
    trio.run(process(settings).run)


def import_role(role: str) -> type[PlatformProcess]:
    """Returns the class of a role, without collections while it is imported.

    What modules allocate stays, so looking through it finds nothing; it is also left
    out of the collections later on.
    """
    gc.disable()
    process = pkgutil.resolve_name(PLATFORM_ROLES[role])
    gc.freeze()
    gc.enable()
    return process


def _refuse(message: str) -> NoReturn:
    print(f"goldcrestvaned: settings are not valid:\n{message}", file=sys.stderr)
    sys.exit(EXIT_INVALID_SETTINGS)


def run() -> None:
    """Runs `main` under absl, which parses the flags."""
    try:
        app.run(main)
    except flags.Error as error:
        _refuse(str(error))


if __name__ == "__main__":
    run()
