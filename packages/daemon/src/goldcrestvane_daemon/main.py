"""Entry point of ``goldcrestvaned``."""

import logging
import sys
from typing import NoReturn

import trio
from absl import app, flags

from goldcrestvane_common.logs import configure_logs
from goldcrestvane_daemon.settings import InvalidSettings, load_settings
from goldcrestvane_daemon.supervisor import run_process

EXIT_INVALID_SETTINGS = 2


def main(arguments: list[str]) -> None:
    """Runs one process until it is told to stop.

    Args:
        arguments: The command line after absl has taken its flags.
    """
    if len(arguments) > 1:
        _refuse(f"Unexpected argument {arguments[1]!r}; all settings are flags.")
    try:
        settings = load_settings()
    except InvalidSettings as error:
        _refuse(str(error))
    configure_logs(level=settings.log_level, process=settings.instance)
    logging.getLogger("goldcrestvane").setLevel(settings.log_level)
    trio.run(run_process, settings)


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
