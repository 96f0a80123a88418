"""Entry point of ``goldcrestvaned``."""

import gc
import importlib
import logging
import socket
import sys
from collections.abc import Callable
from typing import NamedTuple, NoReturn, Protocol

from absl import app, flags

from goldcrestvane_daemon.listening import open_listener
from goldcrestvane_daemon.platform.machine import (
    MachineSettings,
    UnusableSettingsFile,
    read_machine_settings,
)
from goldcrestvane_daemon.settings import InvalidSettings, load_settings
from goldcrestvane_daemon.start_retries import StartRetries
from goldcrestvane_daemon.startup_signals import hold_signals

EXIT_INVALID_SETTINGS = 2
FLAGS = flags.FLAGS


class PlatformRole(NamedTuple):
    """A role on the Passolungo platform.

    Attributes:
        module: Module of its process.
        name: Class of its process.
        get_address: Returns the address on which it serves its callers.
    """

    module: str
    name: str
    get_address: Callable[[MachineSettings], str | None]


PLATFORM_ROLES = {
    "frontend": PlatformRole(
        "goldcrestvane_daemon.frontend.process",
        "FrontendProcess",
        lambda settings: settings.client_address,
    ),
    "ledger": PlatformRole(
        "goldcrestvane_daemon.ledger.process",
        "LedgerProcess",
        lambda settings: settings.peer_address,
    ),
}
"""Roles on the Passolungo platform; the other roles read their settings from flags.

Only the role that starts is imported, since imports take most of the time to readiness.
"""


class PlatformProcess(Protocol):
    """Process of a role on the Passolungo platform."""

    def __init__(
        self, settings: MachineSettings, listener: socket.socket | None
    ) -> None: ...

    async def run(self) -> None:
        """Runs until SIGTERM, then finishes the calls in flight."""
        ...


def main(arguments: list[str]) -> None:
    """Runs one process until it is stopped.

    Args:
        arguments: Command line without the flags that absl has parsed.
    """
    hold_signals()
    if len(arguments) > 1:
        _exit_invalid_settings(
            f"Unexpected argument {arguments[1]!r}; all settings are flags."
        )
    try:
        if FLAGS.role in PLATFORM_ROLES:
            run_on_platform(FLAGS.role)
            return
        settings = load_settings()
    except InvalidSettings as error:
        _exit_invalid_settings(str(error))
    # Imported here so that the roles on the platform do not import hypercorn.
    import trio

    from goldcrestvane_common.logs import configure_logs
    from goldcrestvane_daemon.supervisor import run_process

    configure_logs(level=settings.log_level, process=settings.instance)
    logging.getLogger("goldcrestvane").setLevel(settings.log_level)
    try:
        listener = open_listener(settings.listen)
    except OSError as error:
        _exit_invalid_settings(
            f"--listen: got {settings.listen!r}, expected a free host:port: {error}"
        )
    trio.run(run_process, settings, listener)


def run_on_platform(role: str) -> None:
    """Runs a role that reads its settings from the platform's file.

    Raises:
        InvalidSettings: The file stays missing or is not valid for the role.
    """
    settings = wait_for_machine_settings()
    address = PLATFORM_ROLES[role].get_address(settings)
    listener = open_listener(address) if address else None
    process = import_role(role)
    # Imported here so that the process listens before these imports.
    import trio

    from goldcrestvane_common.logs import configure_bounded_logs

    configure_bounded_logs(level=FLAGS.log_level, process=settings.instance)
    logging.getLogger("goldcrestvane").setLevel(FLAGS.log_level)
    trio.run(process(settings, listener).run)


def wait_for_machine_settings() -> MachineSettings:
    """Returns the settings of this machine once their file is there and complete.

    Raises:
        InvalidSettings: The file stays missing or malformed.
    """
    retries = StartRetries("settings")
    while True:
        try:
            return read_machine_settings()
        except UnusableSettingsFile as error:
            retries.wait_after(error)


def import_role(role: str) -> type[PlatformProcess]:
    """Imports and returns the class of a role, with garbage collection disabled.

    Objects that modules allocate on import live until the process exits, so a
    collection would free none of them. They are frozen to exclude them from later
    collections as well.
    """
    gc.disable()
    found = PLATFORM_ROLES[role]
    process = getattr(importlib.import_module(found.module), found.name)
    gc.freeze()
    gc.enable()
    return process


def _exit_invalid_settings(message: str) -> NoReturn:
    print(f"goldcrestvaned: settings are not valid:\n{message}", file=sys.stderr)
    sys.exit(EXIT_INVALID_SETTINGS)


def run() -> None:
    """Runs `main` under absl, which parses the flags."""
    try:
        app.run(main)
    except flags.Error as error:
        _exit_invalid_settings(str(error))


if __name__ == "__main__":
    run()
