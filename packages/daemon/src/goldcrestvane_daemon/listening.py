"""Listening sockets that are opened before the rest of the process is imported.

Connections that wait in the backlog are served as soon as the process is ready, see
`bootstrap`.
"""

import errno
import select
import socket
import time

from goldcrestvane_daemon.start_retries import StartRetries

LISTEN_BACKLOG = 512
"""Maximum number of pending connections. A full backlog delays clients by seconds."""

_early_listeners: dict[str, socket.socket] = {}
_started_at = time.monotonic()


def measure_start() -> float:
    """Returns the milliseconds since this process began to listen."""
    return round((time.monotonic() - _started_at) * 1000, 1)


def listen_early(address: str) -> None:
    """Listens on an address; `open_listener` returns the socket later.

    Args:
        address: ``host:port``.

    Raises:
        OSError: The address stays in use or does not belong to this machine.
        ValueError: The address is malformed.
    """
    _early_listeners[address] = _listen(address)


def open_listener(address: str) -> socket.socket:
    """Returns a socket that listens on an address.

    Args:
        address: ``host:port``.

    Raises:
        OSError: The address stays in use or does not belong to this machine.
        ValueError: The address is malformed.
    """
    return _early_listeners.pop(address, None) or _listen(address)


def _listen(address: str) -> socket.socket:
    """Listens on an address once no other process uses it."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    retries = StartRetries(address)
    while True:
        try:
            return socket.create_server(
                (host, int(port)), family=family, backlog=LISTEN_BACKLOG
            )
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            retries.wait_after(error)


def has_pending_connection(listener: socket.socket) -> bool:
    """Returns whether a connection waits to be accepted."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))
