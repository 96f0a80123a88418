"""Start of a process: it listens before it imports anything else.

Load pattern: all processes are killed while callers have calls in flight, and the callers
come back at once. Until a process listens, connections to it are refused, and programs
fail whose calls are refused several times in a row. The settings file, the flags and the
logs need imports that take longer than the interpreter itself, so the addresses come from
an environment variable.
"""

import importlib
import os
import sys

from goldcrestvane_daemon.startup_signals import hold_signals

LISTEN_VARIABLE = "GOLDCRESTVANE_LISTEN_EARLY"
"""Environment variable with ``host:port`` addresses, separated by commas; empty entries
are ignored."""

EXIT_INVALID_SETTINGS = 2


def run() -> None:
    """Listens on the addresses of the environment and runs the daemon.

    Exits with `EXIT_INVALID_SETTINGS` if it cannot listen on one of them.
    """
    addresses = os.environ.get(LISTEN_VARIABLE, "").split(",")
    hold_signals()
    # Imported here since a signal kills the process until it is held.
    from goldcrestvane_daemon.listening import listen_early

    for address in filter(None, addresses):
        try:
            listen_early(address)
        except (OSError, ValueError) as error:
            print(
                f"goldcrestvaned: {LISTEN_VARIABLE}: got {address!r}, expected a free "
                f"host:port of this machine: {error}",
                file=sys.stderr,
            )
            sys.exit(EXIT_INVALID_SETTINGS)
    importlib.import_module("goldcrestvane_daemon.main").run()


if __name__ == "__main__":
    run()
