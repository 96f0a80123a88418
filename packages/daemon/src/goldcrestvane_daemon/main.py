"""Entry point of ``goldcrestvaned``."""

import logging
import sys
from typing import NoReturn

import trio
from absl import app, flags

from goldcrestvane_common.logs import configure_bounded_logs, configure_logs
from goldcrestvane_daemon.frontend.process import FrontendProcess
from goldcrestvane_daemon.ledger.process import LedgerProcess
from goldcrestvane_daemon.platform.machine import read_machine_settings
from goldcrestvane_daemon.settings import InvalidSettings, load_settings

EXIT_INVALID_SETTINGS = 2
FLAGS = flags.FLAGS

PLATFORM_ROLES = {"frontend": FrontendProcess, "ledger": LedgerProcess}
"""Roles on the Passolungo platform; the other roles take their settings as flags."""


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
    trio.run(PLATFORM_ROLES[role](settings).run)


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
